package agent

import (
	"log/slog"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/coldstart"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/quota"
)

const (
	// noticesPerDatagram is the number of notices that fit into a datagram. noticesRepeated are
	// repeated at a time, and coldInterval is the time between two repetitions.
	noticesPerDatagram = 24
	noticesRepeated    = 4
	coldInterval       = time.Second
	// registrySlack is how much longer than Timing.ResyncInterval ago a node that follows the
	// store may have read the registry, to be informed.
	registrySlack = 2 * time.Second
	// maxColdErrors bounds the errors that are remembered, and so logged once.
	maxColdErrors = 1000
)

// ColdServers returns what this node knows of cold servers.
func (a *Agent) ColdServers() *coldstart.Register { return a.cold }

// applyColdServices passes the services of the active configuration to the register of cold
// servers, and the servers that this node knows already if they are new there.
func (a *Agent) applyColdServices() {
	table := a.Routing()
	errs := a.cold.SetServices(table.Number(), table.Services())
	for _, err := range errs {
		a.logColdError(event.ColdRateInvalid, "", err.Error())
	}
	now := time.Now()
	var servers []ring.Server
	a.fleet.Each(func(s ring.Server, _ ring.Revision) { servers = append(servers, s) })
	for _, s := range servers {
		a.cold.See(s, now)
	}
}

// logColdError writes an event about what cannot be used of a service or a server, once for each
// text.
func (a *Agent) logColdError(kind event.Kind, vm ring.VM, text string) {
	a.coldMu.Lock()
	key := string(vm) + " " + text
	isNew := !a.coldErrors[key] && len(a.coldErrors) < maxColdErrors
	if isNew {
		a.coldErrors[key] = true
	}
	a.coldMu.Unlock()
	if isNew {
		a.log.Write(kind, slog.String("vm", string(vm)), slog.String("error", text))
	}
}

// observeColdEntry records what a server's registry entry says of how long it is cold.
func (a *Agent) observeColdEntry(s ring.Server, revision ring.Revision) {
	if s.ColdUnreadable {
		a.logColdError(event.ColdTimeUnreadable, s.ID, "the entry's time for which the server is still cold cannot be read")
	}
	if a.cold.ObserveEntry(s, revision, time.Now()) {
		a.log.Write(event.ServerCold, slog.String("vm", string(s.ID)), slog.Duration("for", s.ColdFor), slog.String("from", "entry"))
	}
}

// ObserveColdAnswer records what a server said in an answer of how long it is cold, and tells the
// other nodes if that has changed.
func (a *Agent) ObserveColdAnswer(s ring.Server, cold ring.ColdAnswer) {
	if cold.IsUnreadable {
		a.logColdError(event.ColdTimeUnreadable, s.ID, "the answer's time for which the server is still cold cannot be read")
	}
	now := time.Now()
	if !cold.IsSaid || !a.cold.ObserveAnswer(s, cold.For, now) {
		return
	}
	a.log.Write(event.ServerCold, slog.String("vm", string(s.ID)), slog.Duration("for", cold.For), slog.String("from", "answer"))
	if notices := a.coldNotices([]quota.Key{quota.KeyOf(s.ID, s.Incarnation)}, now); len(notices) > 0 {
		a.spread(digest.Message{ColdStart: &digest.ColdStart{Notices: notices}}, true)
	}
}

// observeColdReport records what a server said in its report of how long it is cold, if the server
// is registered with this incarnation. The report of another incarnation, or of another server
// that has its address now, says nothing of it.
func (a *Agent) observeColdReport(id ring.VM, report ring.Server) {
	if s, known := a.fleet.Server(id); known && s.Incarnation == report.Incarnation {
		a.ObserveColdAnswer(s, ring.ColdAnswer{IsSaid: report.SaysCold, IsUnreadable: report.ColdUnreadable, For: report.ColdFor})
	}
}

// markInformed tells the register of cold servers whether this node knows the whole registry.
func (a *Agent) markInformed(now time.Time) {
	isFollowing := a.serversMirror.IsWatching() && a.serversMirror.IsStoreUp()
	read := a.registryReadInstant()
	isRead := isFollowing && !read.IsZero() && read.Age() < a.config.Timing.ResyncInterval+registrySlack
	if isRead || a.rootSendsRegistry() {
		a.cold.MarkInformed(now)
	}
}

// coldNotices returns notices of the servers that this node knows.
func (a *Agent) coldNotices(keys []quota.Key, now time.Time) []digest.ColdNotice {
	var out []digest.ColdNotice
	for _, k := range keys {
		if n, known := a.cold.Notice(k, now); known {
			out = append(out, noticeMessage(n))
		}
	}
	return out
}

// sendColdNotices sends notices to a node and returns the number of bytes sent, which replies to
// requests for permits leave room for.
func (a *Agent) sendColdNotices(address string, notices []digest.ColdNotice) int {
	sent := 0
	defer func() { a.permits.replyLimiter.ReserveN(time.Now(), sent) }()
	for len(notices) > 0 {
		n := min(len(notices), noticesPerDatagram)
		sent += a.send(address, digest.Message{ColdStart: &digest.ColdStart{Notices: notices[:n]}})
		notices = notices[n:]
	}
	return sent
}

// coldNoticesOf returns notices of the servers of registry entries. A node that gets an entry for
// the first time takes its server for cold, unless a notice says that the server is known for
// longer.
func (a *Agent) coldNoticesOf(entries []digest.Entry) []digest.ColdNotice {
	var keys []quota.Key
	for _, e := range entries {
		if e.Revision != 0 && !e.Deleted {
			keys = append(keys, quota.KeyOf(ring.VM(e.ID), e.Incarnation))
		}
	}
	return a.coldNotices(keys, time.Now())
}

// repeatCold sends notices of servers that take requests and say that they are cold to this node's
// children in the tree of nodes, at most once every coldInterval, and returns the number of bytes
// sent: checksums do not show that a node has missed one. Servers that have just started need
// none: who gets their entry takes them for cold. Only the digest loop calls it.
func (a *Agent) repeatCold(children []string, now time.Time) int {
	if a.cold.IsUnused(now) || now.Before(a.coldRepeatAt) || len(children) == 0 {
		return 0
	}
	a.coldRepeatAt = now.Add(coldInterval)
	var keys []quota.Key
	for _, c := range a.cold.All(now) {
		if s, known := a.fleet.Server(c.VM); c.IsSaid && known && quota.KeyOf(s.ID, s.Incarnation) == c.Key && isNeededByAllNodes(s) {
			keys = append(keys, c.Key)
		}
	}
	if len(keys) > noticesRepeated {
		first := a.coldRepeated % len(keys)
		a.coldRepeated += noticesRepeated
		keys = append(keys[first:], keys[:first]...)[:noticesRepeated]
	}
	notices, sent := a.coldNotices(keys, now), 0
	for _, address := range children {
		sent += a.sendColdNotices(address, notices)
	}
	return sent
}

// applyCold records notices of a peer, or answers its request for a permit.
func (a *Agent) applyCold(from string, m *digest.ColdStart) {
	now := time.Now()
	var newer []digest.ColdNotice
	for _, n := range m.Notices {
		if a.cold.Apply(noticeOf(n), now) {
			newer = append(newer, n)
		}
	}
	if len(newer) > 0 {
		a.spread(digest.Message{ColdStart: &digest.ColdStart{Notices: newer}}, false)
	}
	r := m.Request
	if r == nil {
		return
	}
	notice := noticeOf(r.Notice)
	request := quota.Request{Server: notice.Server, Cold: &notice, MaxWait: millis(r.WaitMillis)}
	if r.Named != nil {
		request.IsNamed, request.PerSecond, request.Age = true, float64(r.Named.PerSecond), millis(r.Named.AgeMillis)
	}
	reply := a.quota.Gate().Grant(request, a.QuotaView(now), now)
	if reply.Result == quota.ResultWarm {
		a.sendWithin(a.permits.replyLimiter, from, digest.Message{ColdStart: &digest.ColdStart{Notices: a.coldNotices([]quota.Key{notice.Server}, now)}})
	}
	a.sendPermitReply(from, r.ID, reply)
}

// coldRequest returns the message that asks for a permit for a cold server.
func coldRequest(id uint64, r quota.Request) digest.Message {
	m := &digest.ColdRequest{ID: id, Notice: noticeMessage(*r.Cold), WaitMillis: r.MaxWait.Milliseconds()}
	if r.IsNamed {
		m.Named = &digest.Limit{PerSecond: float32(r.PerSecond), AgeMillis: r.Age.Milliseconds()}
	}
	return digest.Message{ColdStart: &digest.ColdStart{Request: m}}
}

// noticeMessage returns a notice in the form of a message.
func noticeMessage(n quota.ColdNotice) digest.ColdNotice {
	m := digest.ColdNotice{
		Server: uint64(n.Server), PerThousand: int64(1000 * n.PerSecond), StartMillis: n.Start.Milliseconds(), SightedMillis: n.Sighted.Milliseconds(),
		EntryRevision: n.EntryRevision, EntryLeftMillis: ceilMillis(n.EntryLeft), AnswerAgeMillis: digest.NoAnswer,
	}
	if n.HasAnswer {
		m.AnswerAgeMillis, m.AnswerLeftMillis = ceilMillis(n.AnswerAge), ceilMillis(n.AnswerLeft)
	}
	return m
}

// noticeOf is the reverse of noticeMessage.
func noticeOf(m digest.ColdNotice) quota.ColdNotice {
	return quota.ColdNotice{
		Server: quota.Key(m.Server), PerSecond: float64(m.PerThousand) / 1000, Start: boundedMillis(m.StartMillis), Sighted: boundedMillis(m.SightedMillis),
		EntryRevision: m.EntryRevision, EntryLeft: boundedMillis(m.EntryLeftMillis),
		HasAnswer: m.AnswerAgeMillis >= 0, AnswerAge: boundedMillis(m.AnswerAgeMillis), AnswerLeft: boundedMillis(m.AnswerLeftMillis),
	}
}

// boundedMillis returns a duration of a notice, which may come from a faulty node, within the
// bounds of one.
func boundedMillis(n int64) time.Duration { return millis(min(max(n, 0), time.Hour.Milliseconds())) }
