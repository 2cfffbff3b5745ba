package reservation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

func TestReserveGrantsAtMostTheSlots(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	is.Equal(b.Reserve("g", "n1", 2), ResultGranted)
	is.Equal(b.Reserve("g", "n2", 2), ResultBusy) // n1 waits for its first token
	b.RecordFirstToken("g", "n1")
	is.Equal(b.Reserve("g", "n2", 2), ResultGranted)
	b.RecordFirstToken("g", "n2")
	is.Equal(b.Reserve("g", "n3", 2), ResultFull)
	b.Release("g", "n1")
	is.Equal(b.Reserve("g", "n3", 2), ResultGranted)
}

func TestHeartbeatCorrectsLostMessages(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	is.Equal(b.Reserve("g", "n1", 1), ResultGranted)
	b.Release("g", "other") // a message that belongs to nothing
	is.Equal(b.Reserve("g", "n2", 1), ResultFull)
	b.Reconcile("n1", map[ring.Group]int{}) // n1 has nothing there any more
	is.Equal(b.Reserve("g", "n2", 1), ResultGranted)
	b.RemoveHolder("n2")
	is.Equal(b.Reserve("g", "n1", 1), ResultGranted)
}

func TestHomeNodeChangesOnlyForGroupsOfALostNode(t *testing.T) {
	is := is.New(t)
	before := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	after := before[:5]
	count := map[string]int{}
	for i := range 600 {
		g := ring.Group(fmt.Sprint("g", i))
		old := HomeNode(g, before)
		count[old]++
		if old != "n6" {
			is.Equal(HomeNode(g, after), old)
		}
	}
	for _, n := range before {
		is.True(count[n] > 60) // spread: a sixth is 100
	}
}
