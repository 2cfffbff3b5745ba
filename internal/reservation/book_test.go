package reservation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

func TestBookGrantsNoMoreThanTheSlots(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.Equal(b.Ask("g", "n1", 2), AnswerGranted)
	is.Equal(b.Ask("g", "n2", 2), AnswerBusy) // n1 waits for its first token
	b.Started("g", "n1")
	is.Equal(b.Ask("g", "n2", 2), AnswerGranted)
	b.Started("g", "n2")
	is.Equal(b.Ask("g", "n3", 2), AnswerFull)
	b.Released("g", "n1")
	is.Equal(b.Ask("g", "n3", 2), AnswerGranted)
}

func TestHeartbeatCorrectsLostMessages(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.Equal(b.Ask("g", "n1", 1), AnswerGranted)
	b.Released("g", "other") // a message that belongs to nothing
	is.Equal(b.Ask("g", "n2", 1), AnswerFull)
	b.Correct("n1", map[ring.Group]int{}) // n1 has nothing there any more
	is.Equal(b.Ask("g", "n2", 1), AnswerGranted)
	b.Drop("n2")
	is.Equal(b.Ask("g", "n1", 1), AnswerGranted)
}

func TestHomeMovesOnlyForGroupsOfTheLostNode(t *testing.T) {
	is := is.New(t)
	before := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	after := before[:5]
	count := map[string]int{}
	for i := range 600 {
		g := ring.Group(fmt.Sprint("g", i))
		old := Home(g, before)
		count[old]++
		if old != "n6" {
			is.Equal(Home(g, after), old)
		}
	}
	for _, n := range before {
		is.True(count[n] > 60) // spread: a sixth is 100
	}
}
