package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"google.golang.org/grpc"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/drain"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/etcd"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/peer"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/settings"
	"eelgrassring.dev/internal/vmlist"
)

// stopMargin is added to the load balancer's lag and the drain timeout. The sum
// bounds the whole shutdown.
const stopMargin = 15 * time.Second

// When the drain timeout is over, pending requests are answered. answerTime is how long their
// callers may take to read the answers, and outcomeTime when the recording of claims' outcomes
// is given up, both counted from then.
const (
	answerTime  = 5 * time.Second
	outcomeTime = 10 * time.Second
)

// flushTimeout bounds the time that the end of the process waits for a slow log output.
const flushTimeout = 200 * time.Millisecond

// If the log output is a full pipe, it gets pendingPipeSize bytes when the node answers what
// is pending, and lastPipeSize at the end of the process, so that the last warnings are in it
// although its reader is slow. A process without privileges may have no larger pipe.
const (
	pendingPipeSize = 256 << 10
	lastPipeSize    = 1 << 20
)

// incarnation identifies one run of the process. It changes at each start.
type incarnation string

// runDeclared runs a node whose configuration declares the VMs and the groups. path
// is the settings file.
func runDeclared(s settings.Settings, path string) error {
	limitMemory(s)
	return runApp(declaredApp(s, path))
}

// runApp runs an application until it is told to stop. A SIGTERM that comes while it starts
// stops it too: its listeners may have taken requests already.
func runApp(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	_ = app.Done() // Starts to receive signals, which Run does only once the application has started.
	app.Run()
	return nil
}

// declaredApp returns the application that runDeclared runs.
func declaredApp(s settings.Settings, path string) *fx.App {
	hangups := notifyHangups()
	return fx.New(
		fx.Supply(s),
		fx.Provide(newIncarnation, newLog, newStore, newNode, newLedger, metric.New, newBudget, newGateway, newAdmin),
		fx.Invoke(func(l fx.Lifecycle, n *node.Node, ledger *claim.Ledger, g *gateway.Server, a *admin.Server, budget *intake.Budget, log *event.Log) {
			checkSettingsOnHangup(l, hangups, path, log)
			serveDeclared(l, s, n, ledger, g, a, budget, log)
		}),
		fx.StopTimeout(time.Duration(s.BalancerLag)+time.Duration(s.DrainTimeout)+stopMargin),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

// newIncarnation returns the incarnation of this run, which is its start time.
func newIncarnation() incarnation {
	return incarnation(strconv.FormatInt(time.Now().UnixNano(), 36))
}

// newLog returns a log that writes to standard output without blocking its
// callers. Dropped lines are counted and reported once a second. When the application
// has stopped, the lines that are queued are written before the process ends, as far as
// the output takes them in time.
func newLog(l fx.Lifecycle, s settings.Settings) (*event.Log, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	writer := event.NewWriter(os.Stdout)
	newLogger := func(out io.Writer) *slog.Logger {
		return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})).With("node", s.Name)
	}
	log := event.NewSplitLog(newLogger(writer), newLogger(writer.Urgent()))
	l.Append(fx.StopHook(func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		event.EnlargePipe(os.Stdout, lastPipeSize)
		_ = writer.Flush(ctx) // There is nowhere left to report an error.
	}))
	go clock.Every(context.Background(), time.Second, func(context.Context) {
		if n := writer.TakeDropped(); n > 0 {
			log.Write(event.LinesDropped, slog.Int64("lines", n))
		}
	})
	return log, nil
}

// newStore returns a client of the platform's etcd-compatible key-value
// service.
func newStore(s settings.Settings) (ring.Store, error) {
	return etcd.New(etcd.Config{Address: s.StoreAddress})
}

// newNode returns a node that is not running yet, with clients of the store,
// its peers and the backend servers.
func newNode(s settings.Settings, i incarnation, store ring.Store, log *event.Log) *node.Node {
	timing := node.DefaultTiming()
	return node.New(node.Config{
		Name: s.Name, Incarnation: string(i), Zone: ring.Zone(s.Zone), PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
		Store: store, VMList: vmlist.New(vmlist.Config{Address: s.VMListAddress}),
		Backends: engine.NewControl(engine.ControlConfig{Timeout: timing.ProbeTimeout}),
		Peers:    peer.NewClient(), Table: node.NewTable(node.TableConfig{MaxReportAge: node.MaxReportAge}), Log: log,
		Timing: timing, Placement: placement.DefaultOptions(),
	})
}

// newLedger returns the ledger that records claims on idempotency keys in the
// store, so that a non-idempotent request runs at most once.
func newLedger(s settings.Settings, i incarnation, store ring.Store, n *node.Node) *claim.Ledger {
	batch := claim.DefaultBatchConfig()
	batch.Nodes = n.NodeCount
	return claim.NewLedger(claim.Config{Store: store, Node: s.Name + "/" + string(i), Batch: batch})
}

// newGateway returns the server of the callers' requests.
func newGateway(s settings.Settings, n *node.Node, l *claim.Ledger, log *event.Log, m *metric.Registry, budget *intake.Budget) *gateway.Server {
	return gateway.New(gateway.Config{
		Node: n, Ledger: l, Log: log, Metrics: m, MaxBody: s.MaxBody, QueueLimit: s.MaxQueue,
		FirstTimeout: time.Duration(s.FirstByteTimeout), StallTimeout: time.Duration(s.EventGapTimeout), MaxWait: time.Duration(s.MaxWait),
		Intake: budget,
	})
}

// newAdmin returns the admin interface of the node; a drain request to it stops
// the application.
func newAdmin(s settings.Settings, n *node.Node, g *gateway.Server, m *metric.Registry, stop fx.Shutdowner) *admin.Server {
	return admin.New(admin.Config{
		Version: version, System: admin.NewDeclared(s.Name, n, g), Metrics: m,
		Stop: func() { _ = stop.Shutdown() }, Suspects: n.Suspects(), AnnounceSound: n.AnnounceSound,
	})
}

// nodeServers contains the servers of one node, one per listen address.
type nodeServers struct {
	callers *drain.Server
	admin   *http.Server
	peers   *grpc.Server
	// callerListener, adminListener and peerListener limit the connections.
	callerListener, adminListener, peerListener *intake.Listener
}

// serveDeclared starts the node when the application starts, and shuts it down
// gracefully when the application stops.
func serveDeclared(l fx.Lifecycle, s settings.Settings, n *node.Node, ledger *claim.Ledger, g *gateway.Server, a *admin.Server, budget *intake.Budget, log *event.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := &http.Server{Handler: g.Handler(), IdleTimeout: idleTimeout}
	servers := &nodeServers{
		callers: drain.NewServer(callers), callerListener: budget.Callers(),
		admin: &http.Server{Handler: a.Handler(), IdleTimeout: idleTimeout}, adminListener: budget.Auxiliary(),
		peers: peer.NewServer(), peerListener: budget.Nodes(),
	}
	protect(callers, servers.callerListener, s)
	protect(servers.admin, servers.adminListener, s)
	peer.RegisterNode(servers.peers, n)
	stopped := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := servers.listen(s); err != nil {
				return err
			}
			go budget.Run(ctx)
			go ledger.Run(ctx)
			go g.Run(ctx)
			go func() { n.Run(ctx); close(stopped) }()
			log.Write(event.Started, slog.String("callers", s.CallerAddress), slog.String("version", version))
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Write(event.Draining)
			lag, drainTimeout := time.Duration(s.BalancerLag), time.Duration(s.DrainTimeout)
			end := time.Now().Add(lag + drainTimeout)
			g.BeginStop(end.Add(-min(time.Duration(s.FirstByteTimeout), drainTimeout/4)))
			answer := time.AfterFunc(time.Until(end), g.AnswerPending)
			defer answer.Stop()
			n.Drain()
			// The load balancer notices the failed readiness late: keep
			// accepting connections until then.
			time.Sleep(lag)
			err := drainUntil(stop, servers.callers, end.Add(answerTime))
			cutOff := g.LogCutOff()
			settled, cancelSettled := context.WithDeadline(stop, end.Add(outcomeTime))
			defer cancelSettled()
			g.WaitSettled(settled)
			cancel()
			<-stopped
			servers.peers.Stop()
			_ = servers.admin.Close()
			log.Write(event.Stopped, slog.Any("error", err), slog.Int("cut_off", cutOff))
			return err
		},
	})
}

// drainUntil drains a server until the deadline at the latest.
func drainUntil(ctx context.Context, s *drain.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.Drain(ctx)
}

// listen opens the listen addresses and starts to serve each of them in the
// background.
func (n *nodeServers) listen(s settings.Settings) error {
	for _, endpoint := range []struct {
		address  string
		listener *intake.Listener
		serve    func(net.Listener) error
	}{
		{s.CallerAddress, n.callerListener, n.callers.Serve}, {s.AdminAddress, n.adminListener, n.admin.Serve}, {s.PeerAddress, n.peerListener, n.peers.Serve},
	} {
		listener, err := listenAt(endpoint.address, endpoint.listener)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", endpoint.address, err)
		}
		go func() { _ = endpoint.serve(listener) }()
	}
	return nil
}
