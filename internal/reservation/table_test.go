package reservation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

func TestReserveGrantsAtMostTheSlots(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Reserve("g", "n1", 2), ResultGranted)
	is.Equal(table.Reserve("g", "n2", 2), ResultBusy) // n1's request is still pending
	table.RecordFirstToken("g", "n1")
	is.Equal(table.Reserve("g", "n2", 2), ResultGranted)
	table.RecordFirstToken("g", "n2")
	is.Equal(table.Reserve("g", "n3", 2), ResultFull)
	table.Release("g", "n1")
	is.Equal(table.Reserve("g", "n3", 2), ResultGranted)
}

func TestHeartbeatCorrectsLostMessages(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Reserve("g", "n1", 1), ResultGranted)
	table.Release("g", "other") // this holder has no request at g; must change nothing
	is.Equal(table.Reserve("g", "n2", 1), ResultFull)
	table.Reconcile("n1", map[ring.Group]int{}) // n1 reports no requests at g; its Release was lost
	is.Equal(table.Reserve("g", "n2", 1), ResultGranted)
	table.RemoveHolder("n2")
	is.Equal(table.Reserve("g", "n1", 1), ResultGranted)
}

// The loss of a node must move only the groups whose home node it was, and the groups
// must be spread over all nodes.
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
		is.True(count[n] > 60) // an even share is 100
	}
}
