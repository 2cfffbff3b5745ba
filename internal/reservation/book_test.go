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
	is.True(b.Ask("g", "n1", 3))
	is.True(b.Ask("g", "n2", 3))
	is.True(!b.Ask("g", "n3", 3)) // two wait for their first token
	b.Started("g", "n1")
	is.True(b.Ask("g", "n3", 3))
	b.Started("g", "n2")
	b.Started("g", "n3")
	is.True(!b.Ask("g", "n4", 3)) // full
	b.Released("g", "n1")
	is.True(b.Ask("g", "n4", 3))
}

func TestHeartbeatCorrectsLostMessages(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.True(b.Ask("g", "n1", 1))
	b.Released("g", "other") // a message that belongs to nothing
	is.True(!b.Ask("g", "n2", 1))
	b.Correct("n1", map[ring.Group]int{}) // n1 has nothing there any more
	is.True(b.Ask("g", "n2", 1))
	b.Drop("n2")
	is.True(b.Ask("g", "n1", 1))
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
