package admin

import (
	"net/url"
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
)

// Declared implements System for a node whose groups are declared by name.
type Declared struct {
	name    string
	node    *node.Node
	gateway *gateway.Server
}

// NewDeclared returns the System of node n with gateway g.
func NewDeclared(name string, n *node.Node, g *gateway.Server) *Declared {
	return &Declared{name: name, node: n, gateway: g}
}

// Status implements System.
func (d *Declared) Status(now time.Time) Status {
	n := d.node
	c, number := n.Table().Configuration()
	out := Status{
		Node: d.name, Controller: n.IsController(), Draining: n.IsDraining(), StoreConnected: n.IsStoreUp(), ConfigNumber: number,
		Nodes: d.nodeStatuses(number, now),
	}
	t := n.Meter().Totals()
	out.Objectives = Objectives{t.Current.DownGroups, t.Current.StrandedAccelerators, deployment.Duration(t.GroupDowntime), deployment.Duration(t.StrandedTime)}
	if c != nil {
		out.Groups = d.groupStatuses(c, now)
		out.VMs = d.vmStatuses(c, now)
	}
	return out
}

func (d *Declared) nodeStatuses(number int64, now time.Time) []NodeStatus {
	n := d.node
	out := []NodeStatus{{Name: d.name, Zone: n.Zone(), CallerAddress: n.CallerAddress(), ConfigNumber: number, Draining: n.IsDraining(), Live: true}}
	for _, p := range n.Table().Peers() {
		age := deployment.Duration(0)
		if !p.HeardAt.IsZero() {
			age = deployment.Duration(now.Sub(p.HeardAt).Round(time.Millisecond))
		}
		out = append(out, NodeStatus{p.Name, p.Zone, p.CallerAddress, p.ConfigNumber, p.Draining, p.IsLive(now), age})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (d *Declared) groupStatuses(c *deployment.Configuration, now time.Time) []GroupStatus {
	var out []GroupStatus
	for _, declared := range c.Groups() {
		g := d.node.Table().Group(declared.Name, now)
		r := g.Record.Record
		status := GroupStatus{
			Name: declared.Name, Phase: r.Phase, Epoch: r.Epoch, Spec: r.Spec, Serving: g.Reason == node.ReasonNone,
			Reason: g.Reason, ReasonVM: g.VM, Outstanding: g.Outstanding, Load: g.EstimatedRequests, Slowness: g.Slowness,
		}
		for _, m := range r.Members {
			status.Members = append(status.Members, m.VM)
		}
		out = append(out, status)
	}
	return out
}

func (d *Declared) vmStatuses(c *deployment.Configuration, now time.Time) []VMStatus {
	var out []VMStatus
	for _, declared := range c.VMs() {
		report, leaving := d.node.Table().VMReport(declared.Name, now)
		status := VMStatus{Name: declared.Name, Zone: declared.Zone, Domain: declared.Domain, Leaving: leaving}
		if !report.RequestedAt.IsZero() {
			age := now.Sub(report.RequestedAt)
			status.Phase, status.Group, status.Epoch = report.Status.Phase, report.Status.Group, report.Status.Epoch
			status.HasRecentReport = age <= node.MaxReportAge
			status.ReportAge = deployment.Duration(age.Round(time.Millisecond))
		}
		out = append(out, status)
	}
	return out
}

// Explain implements System.
func (d *Declared) Explain(q url.Values) gateway.Explanation {
	return d.gateway.Explain(ring.Workspace(q.Get("workspace")), ring.Application(q.Get("application")), q.Get("model"))
}

// UpdateGauges implements System.
func (d *Declared) UpdateGauges(m *metric.Registry) {
	t := d.node.Meter().Totals()
	m.SetGauge("groups_down", float64(t.Current.DownGroups))
	m.SetGauge("accelerators_stranded", float64(t.Current.StrandedAccelerators))
	m.SetGauge("group_downtime_seconds", t.GroupDowntime.Seconds())
	m.SetGauge("accelerator_stranded_seconds", t.StrandedTime.Seconds())
	m.SetGauge("recoveries", float64(t.Recoveries))
	for part, duration := range map[string]time.Duration{
		"detect": t.RecoveryTimes.Detect, "decide": t.RecoveryTimes.Decide, "order": t.RecoveryTimes.Order, "load": t.RecoveryTimes.Load, "ready": t.RecoveryTimes.Ready,
	} {
		m.SetGauge("recovery_seconds", duration.Seconds(), "part", part)
	}
	_, number := d.node.Table().Configuration()
	m.SetGauge("configuration_number", float64(number))
}
