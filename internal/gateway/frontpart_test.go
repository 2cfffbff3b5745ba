package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/route"
	"eelgrassring.dev/internal/suspect"
)

// partDay is a time in which some requests have a part in their prompts that ends each
// server that begins a response to them. No two of these requests are alike.
type partDay struct {
	seed uint64
	// deadly and sound are the requests a second of either kind, for lasts.
	deadly, sound int
	lasts         time.Duration
	// parts are the number of shared parts of a prompt, and position is that of the
	// deadly one among them.
	parts, position int
	// endAfter is the time from the first event of a deadly request to the end of its server,
	// and streamTime that to the end of a sound response.
	endAfter, streamTime time.Duration
	// crashes is the number of servers that end for another reason.
	crashes int
}

// partOutcome is what servers and callers saw of a partDay.
type partOutcome struct {
	mu sync.Mutex
	// ends are the times at which servers ended under deadly requests, and sends those at
	// which deadly requests reached servers.
	ends, sends []time.Time
	// sound are the sound requests, in any order.
	sound []soundRequest
}

// soundRequest is the result of a sound request. isSuspect is set if it was refused as a
// suspect.
type soundRequest struct {
	sentAt              time.Time
	isServed, isSuspect bool
}

// suspects counts the sound requests that were refused as suspects.
func (o *partOutcome) suspects() int {
	count := 0
	for _, r := range o.sound {
		if r.isSuspect {
			count++
		}
	}
	return count
}

// servedAfter counts the sound requests that were sent later than delay after the fifth
// end, or the last one if there are fewer, and those of them that were served.
func (o *partOutcome) servedAfter(delay time.Duration) (served, sent int) {
	if len(o.ends) == 0 {
		return 0, 0
	}
	from := o.ends[min(len(o.ends), 5)-1].Add(delay)
	for _, r := range o.sound {
		if r.sentAt.Before(from) {
			continue
		}
		sent++
		if r.isServed {
			served++
		}
	}
	return served, sent
}

// sendsAfter counts the deadly requests that reached servers later than delay after the
// n-th end.
func (o *partOutcome) sendsAfter(n int, delay time.Duration) int {
	if len(o.ends) < n {
		return 0
	}
	count := 0
	for _, at := range o.sends {
		if at.After(o.ends[n-1].Add(delay)) {
			count++
		}
	}
	return count
}

// partNode is a node of a partDay. It tells the other nodes what it finds.
type partNode struct {
	*testNode
	front  *Front
	name   string
	known  *suspect.Registry
	quota  *quota.Client
	others []*partNode
}

func (n *partNode) Quota() *quota.Client { return n.quota }

// QuotaView implements quota.Cluster.
func (n *partNode) QuotaView(time.Time) quota.View {
	v := quota.View{Self: n.name, Members: []string{n.name}, Share: 1, Version: 1}
	for _, other := range n.others {
		v.Members = append(v.Members, other.name)
	}
	return v
}

// AskPermit implements quota.Cluster.
func (n *partNode) AskPermit(_ context.Context, home string, r quota.Request) (quota.Reply, bool) {
	for _, other := range n.others {
		if other.name == home {
			time.Sleep(partNodeLatency)
			reply := other.quota.Gate().Grant(r, other.QuotaView(time.Now()), time.Now())
			time.Sleep(partNodeLatency)
			return reply, true
		}
	}
	return quota.Reply{}, false
}

// AnnounceLimit implements quota.Cluster.
func (n *partNode) AnnounceLimit(o quota.Observation) {
	n.tell(func(to *partNode) { to.quota.Gate().Registry().Observe(o) })
}

// partNodeLatency is the time that a message between two nodes takes.
const partNodeLatency = 2 * time.Millisecond

// tell delivers a message to the other nodes.
func (n *partNode) tell(deliver func(to *partNode)) {
	for _, to := range n.others {
		time.AfterFunc(partNodeLatency, func() { deliver(to) })
	}
}

func (n *partNode) NodeCount() int { return 1 + len(n.others) }

func (n *partNode) AnnounceStrike(s suspect.Strike) {
	n.tell(func(to *partNode) { to.known.Add(s, time.Now()) })
}

func (n *partNode) AnnounceSound(subjects []suspect.Digest, isComplete bool) {
	n.tell(func(to *partNode) { to.known.Acquit(subjects, isComplete, time.Now()) })
}

func (n *partNode) AnnounceRefusals() {
	refusals, _ := n.known.Decide(time.Now())
	n.tell(func(to *partNode) {
		for _, r := range refusals {
			to.known.Adopt(r, time.Now())
		}
	})
}

const (
	partServers = 12
	// partRestart is how long a server is away after its end.
	partRestart = 3 * time.Second
	// partPrefill is the time to the first event.
	partPrefill = 60 * time.Millisecond
	deadlyPart  = "d"
)

// play plays the day with three nodes before twelve replicas.
func (d partDay) play(t *testing.T) *partOutcome {
	out := &partOutcome{}
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		random := rand.New(rand.NewPCG(d.seed, 31))
		routes := testRoutes("k")
		routes.Services[1].Slots = 16
		h.node.set(route.NewTable(routes), true)
		for i := 3; i <= partServers; i++ {
			h.putPartServer(fmt.Sprint("e", i), "1", i)
		}
		h.handle = func(server string, _ int, r receivedRequest, c net.Conn) { d.respond(h, out, server, r, c) }
		nodes := h.addPartNodes(3)
		var calls sync.WaitGroup
		begin := time.Now()
		at := func(delay time.Duration, do func()) {
			calls.Go(func() {
				time.Sleep(time.Until(begin.Add(delay)))
				do()
			})
		}
		moment := func() time.Duration { return time.Duration(random.Int64N(int64(d.lasts))) }
		for i := range int(float64(d.deadly) * d.lasts.Seconds()) {
			id, node := fmt.Sprint("bad", i), nodes[random.IntN(len(nodes))]
			at(moment(), func() {
				for repeat := range 2 { // Callers repeat a request that failed.
					if w, isBroken := h.callNode(node, "body"+id, "T-Id", fmt.Sprint(id, "-", repeat), "T-Parts", d.prompt(id, true)); w.Code == 200 && !isBroken {
						t.Errorf("seed %d: a request with the deadly part was served", d.seed)
					}
				}
			})
		}
		for i := range int(float64(d.sound) * d.lasts.Seconds()) {
			id, node := fmt.Sprint("good", i), nodes[random.IntN(len(nodes))]
			at(moment(), func() {
				sentAt := time.Now()
				w, isBroken := h.callNode(node, "body"+id, "T-Id", id, "T-Parts", d.prompt(id, false))
				out.addSound(soundRequest{
					sentAt: sentAt, isServed: w.Code == 200 && !isBroken,
					isSuspect: w.Header().Get(headerCode) == fmt.Sprint(int(ring.CodeCrashesServers)),
				})
			})
		}
		for range d.crashes {
			server := fmt.Sprint("e", 1+random.IntN(partServers))
			at(moment(), func() { h.restart(server) })
		}
		calls.Wait()
		time.Sleep(2 * partRestart)
	})
	slices.SortFunc(out.ends, time.Time.Compare)
	return out
}

// prompt returns the parts of a request's prompt. The last one is its own.
func (d partDay) prompt(id string, isDeadly bool) string {
	var parts []string
	for i := range d.parts {
		if i == d.position && isDeadly {
			parts = append(parts, deadlyPart)
		}
		parts = append(parts, fmt.Sprint("shared", i))
	}
	if isDeadly && d.position >= d.parts {
		parts = append(parts, deadlyPart)
	}
	return strings.Join(append(parts, id), ",")
}

// respond responds to a request as a server. A deadly request ends it.
func (d partDay) respond(h *frontHarness, out *partOutcome, server string, r receivedRequest, c net.Conn) {
	isDeadly := slices.Contains(strings.Split(r.header.Get("T-Parts"), ","), deadlyPart)
	if isDeadly {
		out.mu.Lock()
		out.sends = append(out.sends, time.Now())
		out.mu.Unlock()
	}
	life := h.lifeOf(server)
	isOver := func() bool { return h.isRefused(server) || h.lifeOf(server) != life }
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.header.Get("T-Id"))
	time.Sleep(partPrefill)
	last, _ := numericEventID(r.header.Get("Last-Event-Id"))
	end := time.Now().Add(d.streamTime)
	if isDeadly {
		end = time.Now().Add(d.endAfter)
	}
	for !isOver() && time.Now().Before(end) {
		last++
		writeChunk(c, fmt.Sprintf("id: %d\ndata: piece\n\n", last))
		time.Sleep(20 * time.Millisecond)
	}
	switch {
	case isOver(): // The connection breaks with the process.
	case isDeadly:
		out.mu.Lock()
		out.ends = append(out.ends, time.Now())
		out.mu.Unlock()
		h.restart(server)
	default:
		endStream(c)
	}
}

// addSound adds the result of a sound request.
func (o *partOutcome) addSound(r soundRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sound = append(o.sound, r)
}

// putPartServer adds a replica of one server to the fleet.
func (h *frontHarness) putPartServer(id, incarnation string, epoch int) {
	h.fleet.Put(ring.Server{
		ID: ring.VM(id), Service: "engine", Address: id, Slots: 16, Model: "m", Incarnation: incarnation,
		Membership: ring.Membership{Group: ring.Group("g" + id), Epoch: ring.Epoch(epoch), State: ring.MemberOpen},
	}, ring.Revision(epoch+20))
}

// lifeOf returns the incarnation of a server.
func (h *frontHarness) lifeOf(server string) string {
	s, _ := h.fleet.Server(ring.VM(server))
	return s.Incarnation
}

// restart ends a server's process unless it is away, and starts it again after partRestart.
func (h *frontHarness) restart(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refused[server] {
		return
	}
	h.refused[server] = true
	time.AfterFunc(partRestart, func() {
		h.mu.Lock()
		delete(h.refused, server)
		h.starts++
		epoch := 100 + h.starts
		h.mu.Unlock()
		s, _ := h.fleet.Server(ring.VM(server))
		s.Incarnation = fmt.Sprint(epoch)
		if s.Membership.Group != "" {
			s.Membership.Epoch = ring.Epoch(epoch)
		}
		h.fleet.Put(s, ring.Revision(epoch+20))
	})
}

// addPartNodes returns nodes that know of each other.
func (h *frontHarness) addPartNodes(count int) []*partNode {
	nodes := make([]*partNode, count)
	for i := range nodes {
		nodes[i] = &partNode{testNode: h.node, name: fmt.Sprint("n", i), known: &suspect.Registry{}}
		nodes[i].quota = quota.NewClient(nodes[i])
		nodes[i].front = NewFront(FrontConfig{
			Node: nodes[i], Fleet: h.fleet, Dialect: testDialect{}, Log: event.NewLog(slog.New(slog.DiscardHandler)), Metrics: metric.New(),
			RetryRatio: 1, RetryBurst: 100, Dial: h.dial, Suspects: nodes[i].known,
		})
	}
	for i, n := range nodes {
		n.others = slices.Delete(slices.Clone(nodes), i, i+1)
	}
	return nodes
}

// playedDays are the outcomes of days by their seeds. Two tests look at each.
var playedDays = map[uint64]*partOutcome{}

// outcome plays the day unless it was played before.
func (d partDay) outcome(t *testing.T) *partOutcome {
	if playedDays[d.seed] == nil {
		playedDays[d.seed] = d.play(t)
	}
	return playedDays[d.seed]
}

// partDays are the days of the tests below: the rate of deadly requests, the place of the
// part, and the times until servers end differ.
func partDays() []partDay {
	var days []partDay
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 7))
		days = append(days, partDay{
			seed: seed, lasts: 14 * time.Second, sound: 60, deadly: []int{1, 3, 10, 40}[seed%4],
			parts: 1 + random.IntN(3), position: random.IntN(3), endAfter: 20 * time.Millisecond * time.Duration(1+random.IntN(8)),
			streamTime: time.Duration(200+random.IntN(800)) * time.Millisecond, crashes: random.IntN(6),
		})
	}
	return days
}

// TestRequestsThatShareADeadlyPartAreContained guards against server after server that ends
// under requests which are all different and share one part of their prompts. More than
// three of them must not reach servers later than 3 s after the fifth end.
func TestRequestsThatShareADeadlyPartAreContained(t *testing.T) {
	for _, day := range partDays() {
		t.Run(fmt.Sprint(day.seed), func(t *testing.T) {
			out := day.outcome(t)
			if n := out.sendsAfter(5, 3*time.Second); n > 3 {
				t.Errorf("%+v: %d requests reached servers later than 3 s after the fifth end; %d servers ended", day, n, len(out.ends))
			}
		})
	}
}

// TestRequestsBesideADeadlyPartAreServed guards against refusing sound requests because
// they were at servers that ended under others, and against replicas that end faster than
// they return. At least half of the sound requests that are sent later than 6 s after the
// fifth end must be served.
func TestRequestsBesideADeadlyPartAreServed(t *testing.T) {
	for _, day := range partDays() {
		t.Run(fmt.Sprint(day.seed), func(t *testing.T) {
			out := day.outcome(t)
			served, sent := out.servedAfter(6 * time.Second)
			if n := out.suspects(); n > 0 || 2*served < sent {
				t.Errorf("%+v: %d of %d sound requests were served later than 6 s after the fifth end, %d were refused as suspects; %d servers ended", day, served, sent, n, len(out.ends))
			}
		})
	}
}

// refuseDeadlyPart makes the registry refuse requests with deadlyPart, as another node does.
func (h *frontHarness) refuseDeadlyPart() {
	now := time.Now()
	h.front.config.Suspects.Adopt(suspect.Refusal{
		Subjects: []suspect.Digest{suspect.NewPartDigest("engine", "m", deadlyPart)}, Since: now, DecidedAt: now, Until: now.Add(time.Minute),
	}, now)
}

// TestWaitingRequestIsRefusedOnceItsPartIs guards against sending a request that waited for a
// replica while the part in its prompt was found to end servers, and against letting it wait on.
func TestWaitingRequestIsRefusedOnceItsPartIs(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.fillReplica("ge1")
		h.fillReplica("ge2")
		time.AfterFunc(100*time.Millisecond, h.refuseDeadlyPart)
		begin := time.Now()
		w, _ := h.call("POST", "/draft/x", "body", "T-Parts", "first,"+deadlyPart+",last")
		is.Equal(w.Header().Get(headerCode), fmt.Sprint(int(ring.CodeCrashesServers)))
		is.True(time.Since(begin) < 150*time.Millisecond)
		is.Equal(len(h.requests()), 0)
	})
}

// TestAttemptIsGivenUpOnceItsPartIsRefused guards against servers that end under requests
// which were sent before their part was refused and still wait there.
func TestAttemptIsGivenUpOnceItsPartIsRefused(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
			time.Sleep(2 * time.Second) // It waits for a slot.
			respond(c, 200, r.header.Get("T-Id"), "late")
		}
		time.AfterFunc(100*time.Millisecond, func() {
			h.refuseDeadlyPart()
			h.call("POST", "/draft/x", "other", "T-Parts", deadlyPart) // It meets the refusal.
		})
		begin := time.Now()
		w, _ := h.call("POST", "/draft/x", "body", "T-Parts", "first,"+deadlyPart+",last")
		is.Equal(w.Header().Get(headerCode), fmt.Sprint(int(ring.CodeCrashesServers)))
		is.True(time.Since(begin) < 150*time.Millisecond)
		is.Equal(len(h.requests()), 1)
		is.Equal(len(h.fleet.Candidates("engine", "m", nil, time.Now())), 2) // No replica counts as failed.
	})
}

// TestRefusedPartDoesNotStopSoundStreams guards against cutting streams that have begun
// when a part of their prompts is refused.
func TestRefusedPartDoesNotStopSoundStreams(t *testing.T) {
	withDeadlyRequests(t, 900*time.Millisecond, func(t *testing.T, is *is.I, h *frontHarness) {
		time.AfterFunc(300*time.Millisecond, func() {
			h.refuseDeadlyPart()
			h.call("POST", "/draft/x", "other", "T-Parts", deadlyPart) // It meets the refusal.
		})
		w, isBroken := h.call("POST", "/draft/x", "harmless", "T-Parts", deadlyPart+",last")
		is.True(!isBroken)
		is.Equal(w.Code, 200)
		// The complete response shows that the part is sound.
		is.True(h.front.config.Suspects.Judge([]suspect.Digest{1, suspect.NewPartDigest("engine", "m", deadlyPart)}, time.Now()).Refusal == nil)
	})
}

// TestIsolatedRequestsGoOneAtATime guards against requests with a suspected part that end replica
// after replica because a node sends them all at once.
func TestIsolatedRequestsGoOneAtATime(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		part := suspect.NewPartDigest("engine", "m", deadlyPart)
		for _, server := range []ring.VM{"x1", "x2"} {
			h.front.config.Suspects.Add(suspect.Strike{Subject: part, Server: server, IsStrong: true}, time.Now())
		}
		atOnce, most := 0, 0
		h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
			h.mu.Lock()
			atOnce++
			most = max(most, atOnce)
			h.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			h.mu.Lock()
			atOnce--
			h.mu.Unlock()
			respond(c, 404, r.header.Get("T-Id"), "no evidence")
		}
		var calls sync.WaitGroup
		for i := range 4 {
			calls.Go(func() { h.call("POST", "/draft/x", fmt.Sprint(i), "T-Parts", deadlyPart) })
		}
		calls.Wait()
		is.Equal(len(h.requests()), 4)
		is.Equal(most, 1)
		servers := map[string]bool{}
		for _, r := range h.requests() {
			servers[r.server] = true
		}
		is.Equal(len(servers), 1) // the replica that all nodes choose
	})
}
