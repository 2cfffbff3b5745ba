package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/agent"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/drain"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/peer"
	"eelgrassring.dev/internal/settings"
	"eelgrassring.dev/internal/suspect"
	"eelgrassring.dev/platform"
)

const (
	// storeTimeout bounds a call to the store. The store answers in milliseconds,
	// or within half a second when it is slow.
	storeTimeout = 900 * time.Millisecond
	// maxWatchWait is how long the store may hold a watch call open without a
	// change.
	maxWatchWait = 5 * time.Second
	// retryFraction is the part of the platform's retry ratio (retries per
	// request) that the nodes use. They stay below the ratio because their
	// counts of each other's retries lag. The burst does not depend on requests
	// and is used in full.
	retryFraction = 0.8
	// idleTimeout bounds the time that a client's connection may be idle.
	idleTimeout = 2 * time.Minute
	// drainMargin is subtracted from the time that the platform allows for a stop.
	// answerMargin before the rest is over, the requests without a response are answered.
	// leaveMargin after the rest, the node no longer waits for its last writes to the store;
	// flushTimeout follows.
	drainMargin  = 500 * time.Millisecond
	answerMargin = 400 * time.Millisecond
	leaveMargin  = 150 * time.Millisecond
	// settleTime is how long after the load balancer's lag the requests on connections that
	// it opened last may arrive. From then on, only callers that keep their connections send
	// more.
	settleTime = 750 * time.Millisecond
)

// runRouted runs a node on a platform that declares routes and lists the
// backend servers in a registry. path is the settings file.
func runRouted(s settings.Settings, path string) error {
	hangups := notifyHangups()
	limitMemory(s)
	return runApp(fx.New(
		fx.Supply(s),
		fx.Provide(newIncarnation, newLog, newPlatformStore, fleet.New, newSuspects, newAgent, metric.New, newBudget, newRoutedGateway),
		fx.Invoke(func(l fx.Lifecycle, stop fx.Shutdowner, a *agent.Agent, fl *fleet.Fleet, f *gateway.Front, suspects *suspect.Registry, m *metric.Registry, budget *intake.Budget, log *event.Log) {
			serveRouted(l, stop, s, a, fl, f, suspects, m, budget, log)
			checkSettingsOnHangup(l, hangups, path, log)
		}),
		fx.StopTimeout(time.Duration(s.DrainTimeout)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	))
}

// newPlatformStore returns a client of the platform's key-value service.
func newPlatformStore(s settings.Settings) ring.Store {
	return platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, Timeout: storeTimeout, WatchWait: maxWatchWait})
}

// newSuspects returns the registry of what backend servers have ended under.
func newSuspects() *suspect.Registry { return &suspect.Registry{} }

// newAgent listens for digests (the state that peers send by datagram) and
// returns the agent, which keeps this node's view of the backend servers and
// peers.
func newAgent(s settings.Settings, i incarnation, store ring.Store, f *fleet.Fleet, suspects *suspect.Registry, log *event.Log) (*agent.Agent, error) {
	transport, err := digest.Listen(s.DigestAddress)
	if err != nil {
		return nil, err
	}
	return agent.New(agent.Config{
		Name: s.Name, Incarnation: string(i), Zone: ring.Zone(s.Zone), PeerAddress: s.DigestAddress, Transport: transport,
		Store: store, Directory: platform.Directory{}, Control: platform.NewControl(), ConfigFetcher: peer.NewClient(), Fleet: f, Log: log,
		Timing: agent.DefaultTiming(), Composition: composition.DefaultOptions(), Revocation: time.Duration(s.MaxRevocationDelay), Evacuation: time.Duration(s.MaxEvacuationDelay), IsFirstStart: s.IsFirstStart, Suspects: suspects,
	}), nil
}

// newRoutedGateway returns the handler of the callers' requests, which routes
// them to the replicas in the fleet (the table of backend servers).
func newRoutedGateway(s settings.Settings, a *agent.Agent, f *fleet.Fleet, suspects *suspect.Registry, m *metric.Registry, budget *intake.Budget, log *event.Log) *gateway.Front {
	return gateway.NewFront(gateway.FrontConfig{
		Node: a, Fleet: f, Dialect: platform.Dialect{}, Log: log, Metrics: m,
		RetryRatio: s.RetryRatio * retryFraction, RetryBurst: s.RetryBurst, Hedge: s.Hedge, Suspects: suspects, Intake: budget,
	})
}

// serveRouted starts the agent and the listeners when the application starts,
// and shuts them down gracefully when it stops.
func serveRouted(l fx.Lifecycle, stop fx.Shutdowner, s settings.Settings, a *agent.Agent, fl *fleet.Fleet, f *gateway.Front, suspects *suspect.Registry, m *metric.Registry, budget *intake.Budget, log *event.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	adminAPI := admin.New(admin.Config{Version: version, System: admin.NewRouted(s.Name, ring.Zone(s.Zone), a, fl, f), Metrics: m, Stop: func() { _ = stop.Shutdown() }, Suspects: suspects, AnnounceSound: a.AnnounceSound})
	callerServer := &http.Server{Handler: f, IdleTimeout: idleTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	callers := drain.NewServer(callerServer)
	readyServer := &http.Server{Handler: readyHandler(a), IdleTimeout: idleTimeout}
	adminServer := &http.Server{Handler: adminAPI.Handler(), IdleTimeout: idleTimeout}
	callerListener, readyListener, adminListener := budget.Callers(), budget.Auxiliary(), budget.Auxiliary()
	protect(callerServer, callerListener, s)
	protect(readyServer, readyListener, s)
	protect(adminServer, adminListener, s)
	peers := peer.NewServer()
	peer.RegisterConfigSource(peers, a)
	stopped := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, endpoint := range []struct {
				address  string
				server   interface{ Serve(net.Listener) error }
				listener *intake.Listener
			}{{s.CallerAddress, callers, callerListener}, {s.ReadyAddress, readyServer, readyListener}, {s.AdminAddress, adminServer, adminListener}} {
				listener, err := listenAt(endpoint.address, endpoint.listener)
				if err != nil {
					return fmt.Errorf("listen on %s: %w", endpoint.address, err)
				}
				go func() { _ = endpoint.server.Serve(listener) }()
			}
			listener, err := listenAt(s.DigestAddress, budget.Nodes())
			if err != nil {
				return fmt.Errorf("listen on %s: %w", s.DigestAddress, err)
			}
			go func() { _ = peers.Serve(listener) }()
			go budget.Run(ctx)
			go func() { a.Run(ctx); close(stopped) }()
			log.Write(event.Started, slog.String("callers", s.CallerAddress), slog.String("version", version))
			return nil
		},
		OnStop: func(context.Context) error {
			begin := time.Now()
			deadline := begin.Add(time.Duration(s.DrainTimeout) - drainMargin)
			log.Write(event.Draining)
			f.BeginStop(gateway.Stop{SettledAt: begin.Add(time.Duration(s.BalancerLag) + settleTime), AnswerAt: deadline.Add(-answerMargin)})
			a.Drain()
			answerPending := func() {
				f.AnswerPending()
				event.EnlargePipe(os.Stdout, pendingPipeSize)
			}
			err := drainCallers(callers, answerPending, time.Duration(s.BalancerLag), deadline)
			cutOff := f.LogCutOff()
			cancel()
			peers.Stop()
			waitUntil(stopped, deadline.Add(leaveMargin))
			log.Write(event.Stopped, slog.Any("error", err), slog.Int("cut_off", cutOff), slog.Int64("took_ms", time.Since(begin).Milliseconds()))
			return nil
		},
	})
}

// waitUntil waits until a channel is closed, at most until the deadline.
func waitUntil(closed <-chan struct{}, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

// drainCallers ends the service of callers by the deadline. It keeps accepting
// connections for lag, the time in which the load balancer notices that the node is not
// ready. Then it waits for the responses, and calls answerPending so early that the
// answers are sent before the deadline.
func drainCallers(callers *drain.Server, answerPending func(), lag time.Duration, deadline time.Time) error {
	timer := time.AfterFunc(time.Until(deadline.Add(-answerMargin)), answerPending)
	defer timer.Stop()
	time.Sleep(lag)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return callers.Drain(ctx)
}

// readyHandler tells the load balancer whether the node accepts new connections.
func readyHandler(a *agent.Agent) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !a.IsReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}
