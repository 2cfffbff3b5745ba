package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"google.golang.org/grpc"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/agent"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/peer"
	"eelgrassring.dev/internal/settings"
	"eelgrassring.dev/platform"
)

const (
	// storeTimeout bounds a call to the store; it answers in milliseconds, and
	// a slow one within half a second.
	storeTimeout = 900 * time.Millisecond
	// maxWatchWait is how long the store may hold a watch without a change.
	maxWatchWait = 5 * time.Second
	// retryFraction is the part of the platform's budget of retries by requests that
	// the nodes use, for their counts of each other lag. The part that does not
	// depend on requests is used whole.
	retryFraction = 0.8
	// memoryLimitFraction is the part of the process's bound that the runtime is told.
	memoryLimitFraction = 0.6
	// headerTimeout bounds the reading of a request's head, idleTimeout an idle
	// connection of a caller.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's head, in bytes.
	maxHeaderBytes = 64 << 10
	// drainMargin is taken off the time that the platform grants a stop.
	drainMargin = 900 * time.Millisecond
)

// runRouted runs a node on a platform that declares routes and discovers
// backend servers.
func runRouted(s settings.Settings, path string) error {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimitMB<<20)))
	}
	app := fx.New(
		fx.Supply(s),
		fx.Provide(newIncarnation, newLog, newPlatformStore, fleet.New, newAgent, metric.New, newRoutedGateway),
		fx.Invoke(func(l fx.Lifecycle, stop fx.Shutdowner, a *agent.Agent, fl *fleet.Fleet, f *gateway.Front, m *metric.Registry, log *event.Log) {
			serveRouted(l, stop, s, path, a, fl, f, m, log)
		}),
		fx.StopTimeout(time.Duration(s.DrainTimeout)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}

func newPlatformStore(s settings.Settings) ring.Store {
	return platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, Timeout: storeTimeout, WatchWait: maxWatchWait})
}

func newAgent(s settings.Settings, i incarnation, store ring.Store, f *fleet.Fleet, log *event.Log) (*agent.Agent, error) {
	port, err := digest.Listen(s.DigestAddress)
	if err != nil {
		return nil, err
	}
	return agent.New(agent.Config{
		Name: s.Name, Incarnation: string(i), Zone: ring.Zone(s.Zone), PeerAddress: s.DigestAddress, Transport: port,
		Store: store, Directory: platform.Directory{}, Control: platform.NewControl(), ConfigFetcher: peer.NewClient(), Fleet: f, Log: log,
		Timing: agent.DefaultTiming(), Composition: composition.DefaultOptions(), Revocation: time.Duration(s.MaxRevocationDelay),
	}), nil
}

func newRoutedGateway(s settings.Settings, a *agent.Agent, f *fleet.Fleet, m *metric.Registry, log *event.Log) *gateway.Front {
	return gateway.NewFront(gateway.FrontConfig{
		Node: a, Fleet: f, Dialect: platform.Dialect{}, Log: log, Metrics: m,
		RetryRatio: s.RetryRatio * retryFraction, RetryBurst: s.RetryBurst,
	})
}

func serveRouted(l fx.Lifecycle, stop fx.Shutdowner, s settings.Settings, path string, a *agent.Agent, fl *fleet.Fleet, f *gateway.Front, m *metric.Registry, log *event.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	ready := &http.Server{Handler: readyHandler(a), ReadHeaderTimeout: headerTimeout}
	operators := admin.New(admin.Config{Version: version, System: admin.NewRouted(s.Name, ring.Zone(s.Zone), a, fl, f), Metrics: m, Stop: func() { _ = stop.Shutdown() }})
	adminServer := &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout}
	peers := grpc.NewServer()
	peer.RegisterConfigSource(peers, a)
	stopped := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, one := range []struct {
				address string
				server  *http.Server
			}{{s.CallerAddress, callers}, {s.ReadyAddress, ready}, {s.AdminAddress, adminServer}} {
				listener, err := net.Listen("tcp", one.address)
				if err != nil {
					return fmt.Errorf("listen on %s: %w", one.address, err)
				}
				go func() { _ = one.server.Serve(listener) }()
			}
			listener, err := net.Listen("tcp", s.DigestAddress)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", s.DigestAddress, err)
			}
			go func() { _ = peers.Serve(listener) }()
			go func() { a.Run(ctx); close(stopped) }()
			go checkSettingsOnSIGHUP(ctx, path, log)
			log.Write(event.Started, slog.String("callers", s.CallerAddress), slog.String("version", version))
			return nil
		},
		OnStop: func(context.Context) error {
			log.Write(event.Draining)
			a.Drain()
			begin := time.Now()
			// The balancer lags: connections that it still opens are served.
			time.Sleep(time.Duration(s.BalancerLag))
			left, release := context.WithDeadline(context.Background(), begin.Add(time.Duration(s.DrainTimeout)-drainMargin))
			defer release()
			err := callers.Shutdown(left)
			cancel()
			peers.Stop()
			<-stopped
			log.Write(event.Stopped, slog.Any("error", err))
			return nil
		},
	})
}

// readyHandler tells the balancer whether to send new connections.
func readyHandler(a *agent.Agent) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !a.IsReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}

// checkSettingsOnSIGHUP checks the settings again when the process is told that they changed.
// Addresses and bounds are those of the start: the platform restarts a process
// for new ones.
func checkSettingsOnSIGHUP(ctx context.Context, path string, log *event.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			_, err := settings.Read(path)
			log.Write(event.SettingsChecked, slog.Any("error", err))
		}
	}
}
