package eelgrassring_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// callsWithALock lists the calls that functions make while they hold a lock, to another
// object that may have a lock of its own, with the reason why no cycle can follow.
var callsWithALock = map[string]string{
	"admission.Close m.demand.sent.add":                    "a field that the same lock guards",
	"admission.Arrive c.random.Float64":                    "the same",
	"admission.Arrive m.demand.isExcess":                   "the same",
	"admission.Arrive m.demand.arrive":                     "the same",
	"admission.Arrive m.late.push":                         "the same",
	"admission.Close m.late.remove":                        "the same",
	"admission.ObserveFirstEvent m.probe.observe":          "the same",
	"drain.SetReadDeadline c.Conn.SetReadDeadline":         "a connection's deadline; it calls nothing back",
	"drain.closeIfIdle c.Conn.SetReadDeadline":             "the same",
	"drain.stopClosing c.Conn.SetReadDeadline":             "the same",
	"intake.SetReadDeadline c.Conn.SetReadDeadline":        "the same",
	"intake.endBody c.Conn.SetReadDeadline":                "the same",
	"agent.startCall ct.load.addCall":                      "in the goroutine that it starts, without the lock",
	"agent.checkRegistryChecksums a.tree.bucketsToRequest": "a field that the same lock guards",
	"agent.exchangeAndZonesFor a.echoes.IsStampDue":        "a field that the same lock guards",
	"agent.exchangeAndZonesFor a.echoes.Last":              "the same",
	"agent.exchangeAndZonesFor a.echoClock.Stamp":          "a value without a lock",
	"agent.evacuationsFor a.evacuations.set.State":         "a field that the same lock guards",
	"agent.updateEvacuations e.set.Zones":                  "the same",
	"agent.updateEvacuations a.cold.TakeBack":              "the register takes its lock only, and calls nothing back; it must come before the fleet's change",
	"agent.updateEvacuations a.fleet.SetEvacuated":         "the fleet takes its lock only, and calls nothing back; it must follow the set in order",
	"agent.applyExchange a.echoes.Record":                  "a field that the same lock guards",
	"agent.applySummary a.tree.hasSeen":                    "a field that the same lock guards",
	"agent.isForwarded a.tree.hasSeen":                     "the same",
	"head.expectRequest c.checker.reset":                   "a field that the same lock guards",
	"head.isPassed c.checker.check":                        "the same",
	"head.update r.changed.Broadcast":                      "the condition of the same lock; it calls nothing back",
	"head.wait r.changed.Wait":                             "the same; it waits without the lock",
	"mirror.graceEnd m.config.Contact.outageEnd":           "the record of the mirrors of a node takes its lock only, and calls nothing back",
	"election.HoldsLease t.number.Era":                     "a value without a lock",
	"quota.Decide g.meter.reserve":                         "a field that the same lock guards",
	"quota.Grant g.meter.reserve":                          "the same",
	"quota.NextAt g.meter.next":                            "the same",
	"retry.RecordRequest b.requests.add":                   "a field that the same lock guards",
	"retry.Take b.retries.add":                             "the same",
	"retry.Usage b.requests.sum":                           "the same",
	"retry.Usage b.retries.sum":                            "the same",
	"retry.allows b.requests.sum":                          "the same",
	"retry.allows b.retries.sum":                           "the same",
	"gateway.acquire r.recordOf().score":                   "a field that the same lock guards",
	"gateway.watchSilence w.timer.Reset":                   "a timer; it calls back in another goroutine",
	"retry.Force b.retries.add":                            "a field that the same lock guards",
	"gateway.countRequest h.state.CountRequest":            "a field that the same lock guards",
	"gateway.countSent h.state.CountSent":                  "the same",
	"gateway.decide h.state.Decide":                        "the same",
	"gateway.delay h.state.Delay":                          "the same",
	"gateway.recordAttempt h.state.RecordAttempt":          "the same",
	"gateway.recordFull h.state.RecordRefusal":             "the same",
	"gateway.recordLate h.state.RecordLate":                "the same",
	"gateway.cancelLost s.table.IsLost":                    "the table of nodes takes its lock only, and calls nothing back",
	"gateway.startRequest s.table.BeginRequest":            "the same",
	"gateway.Release s.table.EndRequest":                   "the same",
	"gateway.isWithinLimitLocked s.table.LimitView":        "the same",
	"gateway.pickRoute s.table.Candidates":                 "the same",
	"gateway.pickRoute s.picker.Pick":                      "a field that the same lock guards",
	"gateway.Demand s.queue.LenOf":                         "a field that the same lock guards",
	"gateway.awaitGrant s.queue.Remove":                    "the same",
	"gateway.explainTarget s.scheduler.queue.LenOf":        "the same",
	"gateway.isWithinLimitLocked s.queue.LenOf":            "the same",
	"gateway.markDemandStart s.queue.LenOf":                "the same",
	"gateway.startQueued s.queue.Next":                     "the same",
	"gateway.startQueued s.queue.RemoveExpired":            "the same",
	"etcd.Close c.conn.Close":                              "a connection that no callback of uses this client",
	"node.Candidates t.configuration.Groups":               "an immutable configuration",
	"node.Candidates t.configuration.VM":                   "the same",
	"node.QuotaView n.table.registeredNodes":               "the table of nodes takes its lock only, and calls nothing back",
	"peer.Compress c.Compressor.Compress":                  "takes a writer of a pool; it calls nothing back",
}

// harmless are the ends of calls that take no lock: of atomic values, times and contexts.
var harmless = []string{".IsZero", ".Sub", ".Before", ".After", ".Add", ".Age", ".Load", ".Store", ".Stop", ".Compare", ".Equal", ".Lock", ".Unlock", ".RLock", ".RUnlock"}

// TestNoCallLeavesAPackageWithALock guards against a deadlock of a node: two goroutines that
// take two locks in opposite orders, because each calls another object, or a function that it
// was given, while it holds its own. Calls through a field need an entry in callsWithALock.
func TestNoCallLeavesAPackageWithALock(t *testing.T) {
	found := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && slices.Contains([]string{"internal/fake", "internal/standin", "internal/endless", "platform/standin", "cmd/bench", "review", "journal", ".git"}, path):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			return scanLocks(path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for call := range found {
		if callsWithALock[call] == "" {
			t.Errorf("a call is made while a lock is held: %s", call)
		}
	}
	for call := range callsWithALock {
		if !found[call] {
			t.Errorf("no such call: %s", call)
		}
	}
}

// scanLocks adds the calls through fields that the functions of a file make with a lock.
func scanLocks(path string, found map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, d := range file.Decls {
		fn, ok := d.(*ast.FuncDecl)
		if !ok || fn.Body == nil {
			continue
		}
		for _, span := range lockedSpans(fn) {
			ast.Inspect(fn.Body, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || call.Pos() <= span[0] || call.Pos() >= span[1] {
					return true
				}
				name := callName(call.Fun)
				isHarmless := slices.ContainsFunc(harmless, func(end string) bool { return strings.HasSuffix(name, end) })
				if strings.Count(name, ".") >= 2 && !isHarmless {
					found[file.Name.Name+"."+fn.Name.Name+" "+name] = true
				}
				return true
			})
		}
	}
	return nil
}

// lockedSpans returns the parts of a function in which it holds a lock: from each Lock to the
// next Unlock, or to the end if that is deferred. A function whose comment says that a lock
// is held holds it all the time.
func lockedSpans(fn *ast.FuncDecl) [][2]token.Pos {
	if doc := fn.Doc.Text(); strings.Contains(doc, "mu is held") || strings.Contains(doc, "mu must be held") || strings.HasSuffix(fn.Name.Name, "Locked") {
		return [][2]token.Pos{{fn.Body.Pos(), fn.Body.End()}}
	}
	var locks, unlocks []token.Pos
	ast.Inspect(fn.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.DeferStmt:
			return !strings.HasSuffix(callName(n.Call.Fun), "Unlock")
		case *ast.CallExpr:
			name := callName(n.Fun)
			switch {
			case strings.HasSuffix(name, "Unlock"):
				unlocks = append(unlocks, n.Pos())
			case strings.HasSuffix(name, "Lock"), strings.HasSuffix(name, "rLockReplicas"):
				locks = append(locks, n.Pos())
			}
		}
		return true
	})
	var out [][2]token.Pos
	for _, lock := range locks {
		end := fn.Body.End()
		if i := slices.IndexFunc(unlocks, func(p token.Pos) bool { return p > lock }); i >= 0 {
			end = unlocks[i]
		}
		out = append(out, [2]token.Pos{lock, end})
	}
	return out
}

// callName returns the names in the expression of a call, such as a.fleet.Put.
func callName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return callName(e.X) + "." + e.Sel.Name
	case *ast.CallExpr:
		return callName(e.Fun) + "()"
	}
	return "?"
}
