// Package catalog defines the keys that the system uses in the platform's
// key-value service, and reads and applies the accepted configuration.
//
// Terms:
//
//   - Accepted configuration: the document under the configuration key, with
//     a number that increases by one with each apply.
//   - Base: the number of the accepted configuration that an operator's
//     document was derived from.
//
// Invariants: an apply takes effect only if its base is still the accepted
// configuration; if the response to an apply is lost, the nonce in the history
// tells whether it took effect.
package catalog

import (
	ring "eelgrassring.dev"
)

// The keys and key prefixes. Every node watches all keys below StatePrefix.
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

// GroupKey returns the key of a group's record, which lists its members and epoch.
func GroupKey(g ring.Group) string { return GroupPrefix + string(g) }

// OwnerKey returns the key that names the group which a VM is a member of.
func OwnerKey(vm ring.VM) string { return OwnerPrefix + string(vm) }

// NodeKey returns the key of a node's membership record, by which other nodes find
// it.
func NodeKey(name string) string { return NodePrefix + name }
