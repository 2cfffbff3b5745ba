// Package catalog defines the keys that the system uses in the platform's
// key-value service, and reads and applies the accepted configuration.
//
// Terms:
//
//   - Accepted configuration: the document under the configuration key, with
//     a number that increases by one with each applied document.
//   - Base: the number of the accepted configuration that an operator's
//     document was derived from.
//
// Invariants: a document is applied only if its base is still the accepted
// configuration; if the response to the write is lost, the nonce in the history
// tells whether the document was applied.
package catalog

import (
	ring "eelgrassring.dev"
)

// The keys and key prefixes. Every node watches all keys below StatePrefix.
const (
	StatePrefix      = "eelgrass/state/"
	ConfigurationKey = StatePrefix + "configuration"
	ControllerKey    = StatePrefix + "controller"
	// EraKey holds the number of an era of the store that is settled; see ring.StoreEra.
	EraKey        = StatePrefix + "era"
	GroupPrefix   = StatePrefix + "group/"
	NodePrefix    = StatePrefix + "node/"
	OwnerPrefix   = "eelgrass/owner/"
	EpochKey      = "eelgrass/epoch"
	HistoryPrefix = "eelgrass/history/"
	ClaimPrefix   = "eelgrass/claim/"
)

// GroupKey returns the key of a group's record, which lists its members and epoch.
func GroupKey(g ring.Group) string { return GroupPrefix + string(g) }

// OwnerKey returns the key whose value names the group that owns a VM.
func OwnerKey(vm ring.VM) string { return OwnerPrefix + string(vm) }

// NodeKey returns the key of a node's membership record, which other nodes read to
// find the node.
func NodeKey(name string) string { return NodePrefix + name }
