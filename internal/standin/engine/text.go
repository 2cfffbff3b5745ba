package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of generated text.
var vocabulary = []string{
	"assay", "barrel", "collar", "drill", "estate", "facies", "grade", "harvest",
	"interval", "lees", "mineral", "oxide", "pressing", "quartz", "reef", "vintage",
}

// Token returns the i-th token that a model generates for a prompt. It depends
// only on its arguments, so that tests can compute the expected text.
func Token(model, prompt string, seed int64, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d|%d", model, prompt, seed, i))
	return fmt.Sprintf("%s%d ", vocabulary[h%uint64(len(vocabulary))], (h>>32)%1000)
}

// Text returns the first n tokens that a model generates for a prompt.
func Text(model, prompt string, seed int64, n int) string {
	out := ""
	for i := range n {
		out += Token(model, prompt, seed, i)
	}
	return out
}
