package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"eelgrassring.dev/internal/drain"
	"eelgrassring.dev/internal/event"
)

// oneConnListener accepts one connection in memory, which works in virtual time.
type oneConnListener struct {
	conns  chan net.Conn
	closed sync.Once
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *oneConnListener) Close() error {
	l.closed.Do(func() { close(l.conns) })
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestDrainAnswersPendingRequestsBeforeItsDeadline guards against ending the process
// while requests wait for a server: their connections would be closed without an answer.
// The drain must wait until the answers are written.
func TestDrainAnswersPendingRequestsBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pending := make(chan struct{})
		callers := drain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-pending
			w.WriteHeader(http.StatusBadGateway)
		})})
		l := &oneConnListener{conns: make(chan net.Conn)}
		go func() { _ = callers.Serve(l) }()
		caller, conn := net.Pipe()
		l.conns <- conn
		status := make(chan int, 1)
		go func() {
			fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(7*time.Second + answerMargin/2) // A caller that reads late.
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Error(err)
				return
			}
			status <- response.StatusCode
		}()
		begin := time.Now()
		is.NoErr(drainCallers(callers, func() { close(pending) }, 2*time.Second, begin.Add(7*time.Second+answerMargin)))
		is.Equal(<-status, http.StatusBadGateway)
		is.True(time.Since(begin) >= 7*time.Second)
	})
}

// TestHangupDoesNotEndTheNode guards against a node that ends by a SIGHUP, with all
// requests under way, because the signal comes before the node has started. The node
// must check its settings file once it runs.
func TestHangupDoesNotEndTheNode(t *testing.T) {
	is := is.New(t)
	hangups := notifyHangups()
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	lines, out := io.Pipe()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(l fx.Lifecycle) {
			checkSettingsOnHangup(l, hangups, filepath.Join(t.TempDir(), "none.json"), event.NewLog(slog.New(slog.NewTextHandler(out, nil))))
		}),
	)
	is.NoErr(app.Start(context.Background()))
	line, err := bufio.NewReader(lines).ReadString('\n')
	is.NoErr(err)
	is.True(line != "")
	lines.Close()
	is.NoErr(app.Stop(context.Background()))
}

// TestTerminationWhileTheNodeStarts guards against a node that a SIGTERM ends at once, with
// the requests that it has taken, because the signal comes between the opening of its
// listeners and the end of its start. Further signals do not end the shutdown early.
func TestTerminationWhileTheNodeStarts(t *testing.T) {
	is := is.New(t)
	// If the application does not receive the signals, they must not end the test.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	terminate := func() {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Error(err)
		}
		<-signals
	}
	hasStopped := make(chan struct{})
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(l fx.Lifecycle) {
			l.Append(fx.StartStopHook(terminate, func() {
				terminate()
				close(hasStopped)
			}))
		}),
	)
	result := make(chan error, 1)
	go func() { result <- runApp(app) }()
	select {
	case err := <-result:
		is.NoErr(err)
		<-hasStopped
	case <-time.After(10 * time.Second):
		t.Fatal("the application did not receive the signal")
	}
}
