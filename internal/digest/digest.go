// Package digest carries short messages between nodes by datagrams.
//
// Terms: a digest is what a node tells of itself at intervals; a question asks
// a peer to reach a backend server that the asker cannot reach.
//
// Invariants: every message is one datagram; a lost one is made good by the
// next, so nothing depends on a single message.
package digest

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// maxDatagram bounds a message, in bytes; it fits every link unfragmented.
const maxDatagram = 1400

// Digest is what a node tells of itself. Epochs identify replicas; spans are
// in milliseconds.
type Digest struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// ConfigNumber is the configuration in force, and Confirmed the age of the last
	// proof that it is the newest.
	ConfigNumber       int64 `cbor:"3,keyasint"`
	ConfirmedAgeMillis int64 `cbor:"4,keyasint"`
	// Loads are the requests at replicas, Still the replicas whose streams
	// stand still, and for how long.
	Loads         map[uint64]int   `cbor:"5,keyasint,omitempty"`
	StalledMillis map[uint64]int64 `cbor:"6,keyasint,omitempty"`
	Draining      bool             `cbor:"7,keyasint,omitempty"`
	// Abandoned are replicas that the controller gave up though their heads'
	// entries still stand.
	Abandoned []uint64 `cbor:"8,keyasint,omitempty"`
}

// ProbeRequest asks a peer to reach a backend server.
type ProbeRequest struct {
	ID      uint64 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ProbeReply tells whether the peer reached it, and which start of the server
// answered.
type ProbeReply struct {
	ID          uint64 `cbor:"1,keyasint"`
	Answered    bool   `cbor:"2,keyasint,omitempty"`
	Incarnation string `cbor:"3,keyasint,omitempty"`
}

// PrefillNotice tells that a replica was sent a prompt that takes so many
// milliseconds to read.
type PrefillNotice struct {
	_             struct{} `cbor:",toarray"`
	Epoch         uint64
	PrefillMillis uint16
}

// Report tells a node's parent in the tree what it and all below it know.
// Nodes counts them; 0 says that the node reports to another one now. Number
// and Confirmed are as in Digest.
type Report struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Nodes              int
	ConfigNumber       int64
	ConfirmedAgeMillis int64
	Replicas           ReplicaStatuses
	// Requests and Spent are the requests and the retries of the window.
	Requests int
	Retries  int
}

// Summary tells the nodes below what all know. Term numbers the root's term as
// the controller; Sequence grows within it.
type Summary struct {
	_                  struct{} `cbor:",toarray"`
	Root               string
	Term               int64
	Sequence           uint64
	Nodes              int
	ConfigNumber       int64
	ConfirmedAgeMillis int64
	Replicas           ReplicaStatuses
	// Checksums are checksums over what the root knows of the registry that matters
	// to every node, one for each bucket of identities. HasFullRegistry is not set by
	// a root that has not listed the registry in its term.
	Checksums       [BucketCount]uint16
	HasFullRegistry bool
	// NodesChecksum is a checksum over the names of all nodes.
	NodesChecksum uint16
	// IsPartial is set when only Number, Confirmed and Abandoned are told, because
	// one of them is news.
	IsPartial bool
	// Abandoned is as in Digest, Asked and Spent as in Report.
	Abandoned []uint64
	Requests  int
	Retries   int
}

// BucketCount is into how many parts the registry is split, so that a node which
// missed a change gets only its part anew.
const BucketCount = 8

// EntriesRequest asks for the registry's entries in buckets.
type EntriesRequest struct {
	_       struct{} `cbor:",toarray"`
	Buckets []int
}

// BucketListing lists all identities of a bucket; its entries travel beside it. At is the
// newest revision that the sender knows of any entry.
type BucketListing struct {
	_        struct{} `cbor:",toarray"`
	Bucket   int
	Revision int64
	IDs      []string
}

// Entry is a change of the registry that matters to every node.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Revision    int64
	Deleted     bool
	Incarnation string
	Service     string
	Address     string
	Zone        string
	Domain      string
	Staged      []string
	Slots       int
	Leaving     bool
	Model       string
	Group       string
	Epoch       uint64
	Rank        int
	State       string
}

// Message is one datagram; exactly one field is set.
type Message struct {
	Digest         *Digest         `cbor:"1,keyasint,omitempty"`
	ProbeRequest   *ProbeRequest   `cbor:"2,keyasint,omitempty"`
	ProbeReply     *ProbeReply     `cbor:"3,keyasint,omitempty"`
	PrefillNotice  *PrefillNotice  `cbor:"4,keyasint,omitempty"`
	Report         *Report         `cbor:"5,keyasint,omitempty"`
	Summary        *Summary        `cbor:"6,keyasint,omitempty"`
	Entries        []Entry         `cbor:"7,keyasint,omitempty"`
	EntriesRequest *EntriesRequest `cbor:"8,keyasint,omitempty"`
	BucketListing  *BucketListing  `cbor:"9,keyasint,omitempty"`
}

// Transport sends and receives messages.
type Transport struct {
	conn *net.UDPConn
}

// Listen opens a port at an address.
func Listen(address string) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address of digests: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Transport{conn: conn}, nil
}

// Send sends a message to an address. It returns the size of the message.
func (p *Transport) Send(address string, m Message) (int, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		return 0, err
	}
	if len(text) > maxDatagram {
		return 0, fmt.Errorf("message has %d bytes; the limit is %d", len(text), maxDatagram)
	}
	return p.conn.WriteToUDPAddrPort(text, at)
}

// Serve hands every message to take until the port is closed. Datagrams that
// are no messages are passed over.
func (p *Transport) Serve(take func(from string, m Message)) {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var m Message
		if cbor.Unmarshal(buffer[:n], &m) == nil {
			take(from.String(), m)
		}
	}
}

// Close ends Serve.
func (p *Transport) Close() error { return p.conn.Close() }
