package peer

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/node"
	pb "eelgrassring.dev/internal/peer/peerpb"
	"eelgrassring.dev/internal/suspect"
)

// encodeSuspects adds to a heartbeat what the node has found of requests and the ends of
// servers.
func encodeSuspects(out *pb.HeartbeatRequest, p node.Peer, now time.Time) {
	for _, s := range p.Strikes {
		out.Strikes = append(out.Strikes, &pb.Strike{Server: string(s.Server), Incarnation: s.Incarnation, Subject: uint64(s.Subject), Strong: s.IsStrong})
	}
	out.Sound = append(out.Sound, numbersOf(p.Sound)...)
	for _, r := range p.Refusals {
		out.Refusals = append(out.Refusals, &pb.Refusal{
			Subjects: numbersOf(r.Subjects), SinceMs: now.Sub(r.Since).Milliseconds(), DecidedMs: now.Sub(r.DecidedAt).Milliseconds(), ForMs: r.Until.Sub(now).Milliseconds(), Late: r.IsLate,
		})
	}
}

// decodeSuspects adds to a peer what its heartbeat says of requests and the ends of servers.
func decodeSuspects(p *node.Peer, r *pb.HeartbeatRequest, now time.Time) {
	for _, s := range r.Strikes {
		p.Strikes = append(p.Strikes, suspect.Strike{Subject: suspect.Digest(s.Subject), Server: ring.VM(s.Server), Incarnation: s.Incarnation, IsStrong: s.Strong})
	}
	p.Sound = digestsOf(r.Sound)
	for _, m := range r.Refusals {
		p.Refusals = append(p.Refusals, suspect.Refusal{
			Subjects: digestsOf(m.Subjects), Since: now.Add(-millis(m.SinceMs)), DecidedAt: now.Add(-millis(m.DecidedMs)), Until: now.Add(millis(m.ForMs)), IsLate: m.Late,
		})
	}
}

func numbersOf(digests []suspect.Digest) []uint64 {
	var out []uint64
	for _, d := range digests {
		out = append(out, uint64(d))
	}
	return out
}

func digestsOf(numbers []uint64) []suspect.Digest {
	var out []suspect.Digest
	for _, n := range numbers {
		out = append(out, suspect.Digest(n))
	}
	return out
}
