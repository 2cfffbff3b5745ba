package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// vocabulary are the vocabulary of generated answers.
var vocabulary = []string{
	"assay", "barrel", "collar", "drill", "estate", "facies", "grade", "harvest",
	"interval", "lees", "mineral", "oxide", "pressing", "quartz", "reef", "vintage",
}

// Token returns the i-th token of the answer that a model gives to a prompt.
// It depends on nothing else, so that a test can compute every answer.
func Token(model, prompt string, seed int64, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d|%d", model, prompt, seed, i))
	return fmt.Sprintf("%s%d ", vocabulary[h%uint64(len(vocabulary))], (h>>32)%1000)
}

// Text returns the whole answer of n tokens.
func Text(model, prompt string, seed int64, n int) string {
	out := ""
	for i := range n {
		out += Token(model, prompt, seed, i)
	}
	return out
}
