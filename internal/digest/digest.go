// Package digest defines the messages that nodes exchange over UDP and a
// transport for them.
//
// Terms:
//
//   - Peer: another node of the serving system.
//   - Digest: the state that a node sends to its peers at intervals.
//   - Probe: a request to a peer to inspect a backend server that the sender may
//     be unable to reach.
//   - Tree: with many nodes, state is aggregated up a tree of nodes in reports
//     and distributed down it in summaries. Its root is the controller, the node
//     that decides which backend servers form model replicas.
//   - Epoch: the number that identifies a replica and is never reused.
//   - Registry: the entries of the discovered backend servers in the store.
//
// Invariant: every message fits into one datagram. Datagrams may be lost; later
// messages replace the lost ones, so nothing depends on a single message.
package digest

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// maxDatagram is the maximum size of a message, in bytes. It is small enough to
// cross any link unfragmented.
const maxDatagram = 1400

// Digest is the state that a node sends to its peers at intervals. Replicas are
// identified by their epochs.
type Digest struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// ConfigNumber is the number of the node's active routing configuration, or 0.
	ConfigNumber int64 `cbor:"3,keyasint"`
	// OldConfirmedAge is always NoConfirmedAge. Nodes of earlier versions read it, and take
	// its absence for a confirmation just now.
	OldConfirmedAge int64 `cbor:"4,keyasint"`
	// Loads counts the node's running requests at each replica. StalledMillis holds the
	// replicas whose streams to this node have stalled, and for how long; 0 means that
	// the node has requests there but no event yet.
	Loads         map[uint64]int   `cbor:"5,keyasint,omitempty"`
	StalledMillis map[uint64]int64 `cbor:"6,keyasint,omitempty"`
	Draining      bool             `cbor:"7,keyasint,omitempty"`
	// Abandoned lists replicas that the controller no longer uses though their
	// heads are still registered as open.
	Abandoned []uint64 `cbor:"8,keyasint,omitempty"`
	// Era is the newest era of the store that the node knows: it rises with each restore
	// of the store from an older copy.
	Era int64 `cbor:"9,keyasint,omitempty"`
}

// NoConfirmedAge is the value of Digest.OldConfirmedAge.
const NoConfirmedAge = -1

// ProbeRequest asks a peer to inspect the backend server at an address, which the
// sender may be unable to reach. ID is repeated in the ProbeReply.
type ProbeRequest struct {
	ID      uint64 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ProbeReply answers a ProbeRequest: whether the server answered the peer, and the
// server's incarnation, which changes at each start of its process.
type ProbeReply struct {
	ID          uint64 `cbor:"1,keyasint"`
	Answered    bool   `cbor:"2,keyasint,omitempty"`
	Incarnation string `cbor:"3,keyasint,omitempty"`
}

// PrefillNotice announces that a node sent a prompt to a replica, and the estimated
// time that its prefill takes.
type PrefillNotice struct {
	_             struct{} `cbor:",toarray"`
	Epoch         uint64
	PrefillMillis uint16
}

// Report carries the aggregated state of a node and all its descendants to the node's
// parent in the tree of nodes (see the package comment). Nodes counts these nodes; 0
// means that the sender now reports to another parent. ConfigNumber is the largest number
// of an active routing configuration among them.
type Report struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Nodes        int
	ConfigNumber int64
	Replicas     ReplicaStatuses
	// Requests and Retries are the retry usage of all these nodes; see retry.Usage.
	Requests int
	Retries  int
	// Era is as in Digest.
	Era int64
}

// Summary carries the aggregated state of all nodes from the root of the tree of nodes,
// the controller, down to every node. Term is the number of the root's term as the
// controller; Sequence increases with each summary of the term. ConfigNumber is as in
// Report, for all nodes.
type Summary struct {
	_            struct{} `cbor:",toarray"`
	Root         string
	Term         int64
	Sequence     uint64
	Nodes        int
	ConfigNumber int64
	Replicas     ReplicaStatuses
	// Checksums holds a checksum for each bucket of server IDs, over the registry
	// entries that every node needs, as the root knows them. It is not valid unless
	// HasRegistry is set: the root has listed the registry in its term.
	Checksums   BucketChecksums
	HasRegistry bool
	// NodesChecksum covers the names of all nodes.
	NodesChecksum uint16
	// IsPartial is set in a summary sent before the regular interval has passed. It
	// leaves out Replicas, NodesChecksum, Requests and Retries.
	IsPartial bool
	// Abandoned and Era are as in Digest; Requests and Retries are as in Report.
	Abandoned []uint64
	Requests  int
	Retries   int
	Era       int64
}

// BucketCount is the number of buckets into which the registry's entries are divided
// by a hash of the server's ID. A node that missed a change requests only the
// entries of one bucket.
const BucketCount = 8

// EntriesRequest asks a node for the registry entries of the given buckets, which are
// parts of the registry; see BucketCount.
type EntriesRequest struct {
	_       struct{} `cbor:",toarray"`
	Buckets []int
}

// BucketListing lists the server IDs of those registry entries of a bucket (see
// BucketCount) that every node needs. The entries are sent in other messages. Revision
// is that of the newest change of the registry that the sender knows, deletions
// included.
type BucketListing struct {
	_        struct{} `cbor:",toarray"`
	Bucket   int
	Revision int64
	IDs      []string
}

// Entry is the registry entry of a backend server as of a revision of the store, or
// the entry's deletion.
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

// Strikes announces that a backend server has ended under the subjects with the given
// digests; see package suspect.
type Strikes struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation string
	Strong      []uint64
	Weak        []uint64
}

// Sound announces that responses to requests with these subjects were complete or, if
// Complete is not set, have gone on for a while.
type Sound struct {
	_        struct{} `cbor:",toarray"`
	Subjects []uint64
	Complete bool
}

// Refusal is a decision to refuse requests with all of the subjects; see package
// suspect. SinceMillis and DecidedMillis are the ages of its first strike and of the
// decision, ForMillis is how long it still holds, and Late is as in suspect.Refusal.
type Refusal struct {
	_             struct{} `cbor:",toarray"`
	Subjects      []uint64
	SinceMillis   int64
	DecidedMillis int64
	ForMillis     int64
	Late          bool
}

// Limit is what a response said of how many requests a second its server takes from all
// nodes together, AgeMillis ago. Server identifies an incarnation of a server; see
// quota.Key.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Server    uint64
	IsLimited bool
	PerSecond float32
	AgeMillis int64
}

// PermitRequest asks the home node of a limited server for a permit to send one request
// there; see package quota. ID is repeated in the PermitReply.
type PermitRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Server     uint64
	PerSecond  float32
	AgeMillis  int64
	WaitMillis int64
}

// PermitReply answers a PermitRequest. Result is a quota.Result.
type PermitReply struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Result     uint8
	WaitMillis int64
	AgeMillis  int64
}

// ColdNotice is what a node knows of an incarnation of a server that may be cold; see
// quota.ColdNotice. PerThousand is its rate in requests in a thousand seconds. AnswerAgeMillis is
// NoAnswer if it knows no answer.
type ColdNotice struct {
	_                struct{} `cbor:",toarray"`
	Server           uint64
	PerThousand      int64
	StartMillis      int64
	SightedMillis    int64
	EntryRevision    int64
	EntryLeftMillis  int64
	AnswerAgeMillis  int64
	AnswerLeftMillis int64
}

// NoAnswer is the value of ColdNotice.AnswerAgeMillis without an answer.
const NoAnswer = -1

// ColdRequest is a PermitRequest for a cold server, which a PermitReply answers. Named is the limit
// that the server named, or nil; its Server is not set.
type ColdRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Notice     ColdNotice
	Named      *Limit
	WaitMillis int64
}

// ColdStart tells a node of servers that may be cold, or asks it for a permit for one.
type ColdStart struct {
	Notices []ColdNotice `cbor:"1,keyasint,omitempty"`
	Request *ColdRequest `cbor:"2,keyasint,omitempty"`
}

// Exchange tells the receiver when its routing configuration is known to have been the
// newest one, and the registry to be complete, as moments of the receiver's own clock; see package echo. Stamp is the
// sender's, or 0 if none is due. Echo is a stamp of the receiver, or 0 if the sender has none. ConfirmedNumber and
// ConfirmedLagMillis are the sender's confirmation: the number of its configuration, and the
// lag of the moment at which this was last known to be the newest one. RegistryLagMillis, in
// a summary, is that of the moment up to which its checksums cover all changes of the
// registry. A lag is missing if the moment is not known or there is no echo.
type Exchange struct {
	_                  struct{} `cbor:",toarray"`
	Stamp              uint64
	Echo               uint64
	ConfirmedNumber    int64
	ConfirmedLagMillis *int64
	RegistryLagMillis  *int64
}

// Evacuations is what the sender knows of the evacuated availability zones; see package
// evacuation. ListedAt is the revision of the store as of which it is complete, or 0, and
// LagMillis the lag of the moment as of which it is, as in Exchange.
type Evacuations struct {
	_         struct{} `cbor:",toarray"`
	ListedAt  int64
	LagMillis *int64
	Changes   []EvacuationChange
}

// EvacuationChange is the beginning of a zone's evacuation, or its end.
type EvacuationChange struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision int64
	IsEnd    bool
}

// Message is the content of one datagram. Exactly one field is set, besides Exchange, which
// every Digest, Report and Summary comes with, and Evacuations, which they come with where
// zones can be evacuated.
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
	Strikes        *Strikes        `cbor:"10,keyasint,omitempty"`
	Sound          *Sound          `cbor:"11,keyasint,omitempty"`
	// Refusals holds the sender's refusals. It is sent with each digest, report and summary
	// while there are any, so that a node that has just started learns of them.
	Refusals []Refusal `cbor:"12,keyasint,omitempty"`
	// Limits holds limits that have begun or ended, or some of those that the sender knows.
	Limits        []Limit        `cbor:"13,keyasint,omitempty"`
	PermitRequest *PermitRequest `cbor:"14,keyasint,omitempty"`
	PermitReply   *PermitReply   `cbor:"15,keyasint,omitempty"`
	Exchange      *Exchange      `cbor:"16,keyasint,omitempty"`
	Evacuations   *Evacuations   `cbor:"17,keyasint,omitempty"`
	ColdStart     *ColdStart     `cbor:"19,keyasint,omitempty"`
	// Pinned comes with a digest or report.
	Pinned *Pinned `cbor:"20,keyasint,omitempty"`
	// SettledEra comes with a digest, report or summary: the era of the store that the sender
	// knows to be settled (see package era), or 0.
	SettledEra int64 `cbor:"21,keyasint,omitempty"`
}

// Pinned names the replicas that are not active at the nodes that a digest or report covers, and
// at which they have requests that end with the replica. Without it, from a node of an earlier
// version or with too many of them, all their requests may be such ones.
type Pinned struct {
	_        struct{} `cbor:",toarray"`
	Replicas []uint64
}

// Transport sends and receives messages between nodes over a UDP socket.
type Transport struct {
	conn *net.UDPConn
}

// Listen opens a UDP socket at an IP address and port. Serve receives from it.
func Listen(address string) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse the listen address for digests: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Transport{conn: conn}, nil
}

// Send sends a message to an IP address and port in one datagram and returns the
// encoded size in bytes.
func (t *Transport) Send(address string, m Message) (int, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		return 0, err
	}
	if len(encoded) > maxDatagram {
		return 0, fmt.Errorf("message has %d bytes; the limit is %d", len(encoded), maxDatagram)
	}
	return t.conn.WriteToUDPAddrPort(encoded, to)
}

// Serve calls handle for every message until the transport is closed. Datagrams
// that cannot be decoded are ignored.
func (t *Transport) Serve(handle func(from string, m Message)) {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var m Message
		if n <= maxDatagram && cbor.Unmarshal(buffer[:n], &m) == nil {
			handle(from.String(), m)
		}
	}
}

// Close closes the socket, which ends Serve.
func (t *Transport) Close() error { return t.conn.Close() }
