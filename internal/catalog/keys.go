// Package catalog names the keys that the system keeps in the platform's
// key-value service, and reads and applies the accepted configuration.
//
// Terms:
//
//   - Accepted configuration: the document under the configuration key, with
//     a number that grows by one at each apply.
//   - Base: the number of the accepted configuration that an operator's
//     document was made from.
//
// Invariants: an apply takes effect only if its base is still in force; its
// nonce tells an apply with a lost answer whether it took effect.
package catalog

import (
	ring "eelgrassring.dev"
)

// The keys. All keys that every node watches begin with StatePrefix.
const (
	StatePrefix      = "eelgrass/state/"
	ConfigurationKey = StatePrefix + "configuration"
	ControllerKey    = StatePrefix + "controller"
	GroupPrefix      = StatePrefix + "group/"
	NodePrefix       = StatePrefix + "node/"
	OwnerPrefix      = "eelgrass/owner/"
	EpochKey         = "eelgrass/epoch"
	HistoryPrefix    = "eelgrass/history/"
	ClaimPrefix      = "eelgrass/claim/"
)

// GroupKey returns the key of a group's record.
func GroupKey(g ring.Group) string { return GroupPrefix + string(g) }

// OwnerKey returns the key that names a VM's group.
func OwnerKey(vm ring.VM) string { return OwnerPrefix + string(vm) }

// NodeKey returns the key of a node's membership.
func NodeKey(name string) string { return NodePrefix + name }
