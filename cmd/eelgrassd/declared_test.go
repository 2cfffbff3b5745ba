package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/head/headtest"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/settings"
)

// lockedText collects what is written to it.
type lockedText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (t *lockedText) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.Write(b)
}

func (t *lockedText) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.String()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDeclared starts a node of the own interface without a store. Its configuration has the
// service app, with one server, and the key k. It checks the settings file at each SIGHUP. stop stops it as SIGTERM does.
func startDeclared(t *testing.T, server, settingsPath string, drainTimeout time.Duration) (url string, log *lockedText, stop func()) {
	t.Helper()
	s := settings.Default()
	s.Name, s.Zone, s.StoreAddress, s.VMListAddress, s.BalancerLag = "n1", "a", "127.0.0.1:1", "127.0.0.1:1", 0
	s.CallerAddress, s.PeerAddress, s.AdminAddress = freeAddress(t), "127.0.0.1:0", "127.0.0.1:0"
	s.DrainTimeout = deployment.Duration(drainTimeout)
	c, err := deployment.New(deployment.Document{
		Name: "test", Objective: deployment.Objective{Downtime: 1, Stranded: 1},
		Services: []deployment.Service{{Name: "app", Servers: []string{server}, Timeout: deployment.Duration(time.Minute)}},
		Workspaces: []deployment.Workspace{{Name: "w", Weight: 1, Limit: 100, Applications: []deployment.Application{{
			Name: "a", Key: deployment.HashKey("k"), Priority: deployment.PriorityNormal, Services: []ring.Service{"app"},
		}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	log = &lockedText{}
	hangups := notifyHangups()
	app := fx.New(
		fx.Supply(s),
		fx.Provide(newIncarnation, newStore, newNode, newLedger, metric.New, newBudget, newGateway, newAdmin),
		fx.Provide(func() *event.Log { return event.NewLog(slog.New(slog.NewJSONHandler(log, nil))) }),
		fx.Invoke(func(n *node.Node) { n.Table().ActivateConfiguration(1, nil, c, time.Now()) }),
		fx.Invoke(serveDeclared),
		fx.Invoke(func(l fx.Lifecycle, log *event.Log) { checkSettingsOnHangup(l, hangups, settingsPath, log) }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return "http://" + s.CallerAddress, log, func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout+stopMargin)
		defer cancel()
		_ = app.Stop(ctx)
	}
}

// callApp sends a request to the service app and returns the response with its whole body.
func callApp(ctx context.Context, url, method string, body io.Reader) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url+"/services/app/x", body)
	if err != nil {
		return nil, "", err
	}
	r.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// TestDrainAnswersWhatIsPending guards against a request that ends with the process, without an
// answer and without a line in the log: a drain that is shorter than the request must answer it,
// truthfully, when its time is over.
func TestDrainAnswersWhatIsPending(t *testing.T) {
	const drainTimeout = 600 * time.Millisecond
	for _, c := range []struct {
		name   string
		method string
		body   io.Reader
		code   string
	}{
		{"it may be repeated", http.MethodGet, nil, "3002"},
		{"it may not be repeated", http.MethodPost, strings.NewReader("x"), "3002"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			release, hasArrived := make(chan struct{}), make(chan struct{}, 10)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				hasArrived <- struct{}{}
				<-release
			}))
			defer server.Close()
			defer close(release)
			url, log, stop := startDeclared(t, strings.TrimPrefix(server.URL, "http://"), "", drainTimeout)
			type result struct {
				resp *http.Response
				text string
				err  error
			}
			done := make(chan result, 1)
			go func() {
				resp, text, err := callApp(context.Background(), url, c.method, c.body)
				done <- result{resp, text, err}
			}()
			<-hasArrived
			begin := time.Now()
			go stop()
			select {
			case r := <-done:
				is.NoErr(r.err)
				is.Equal(r.resp.Header.Get("Eelgrass-Code"), c.code)
				is.Equal(r.resp.Header.Get("Eelgrass-Ran"), "unknown")
				is.True(strings.Contains(log.String(), fmt.Sprintf(`"code":%s`, c.code)))
				is.True(time.Since(begin) >= drainTimeout)
			case <-time.After(drainTimeout + 3*time.Second):
				t.Fatal("no answer at the end of the drain")
			}
		})
	}
}

// TestDrainAnswersSlowBody guards against a request whose body is still arriving when the drain
// is over: it has not run, and its caller must learn that, instead of a closed connection.
func TestDrainAnswersSlowBody(t *testing.T) {
	is := is.New(t)
	const drainTimeout = 600 * time.Millisecond
	url, _, stop := startDeclared(t, freeAddress(t), "", drainTimeout)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /services/app/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	go stop()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(drainTimeout + 3*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get("Eelgrass-Code"), "2002")
	is.Equal(resp.Header.Get("Eelgrass-Ran"), "no")
}

// TestHangUpEndsNoRequest guards against SIGHUP ending a request, or the service of later ones,
// whatever has become of the settings file.
func TestHangUpEndsNoRequest(t *testing.T) {
	for name, change := range map[string]func(path string) error{
		"unchanged": func(string) error { return nil },
		"changed": func(path string) error {
			return os.WriteFile(path, []byte(strings.Replace(goodSettings, "127.0.0.1:1", "127.0.0.1:9", 1)), 0o600)
		},
		"half written": func(path string) error { return os.WriteFile(path, []byte(goodSettings[:40]), 0o600) },
		"missing":      os.Remove,
		"unreadable":   func(path string) error { return errors.Join(os.Remove(path), os.Mkdir(path, 0o700)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "n1.json")
			is.NoErr(os.WriteFile(path, []byte(goodSettings), 0o600))
			release, hasArrived := make(chan struct{}), make(chan struct{}, 10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "begin,")
				_ = http.NewResponseController(w).Flush()
				hasArrived <- struct{}{}
				<-release
				_, _ = io.WriteString(w, "end")
			}))
			defer server.Close()
			url, log, stop := startDeclared(t, strings.TrimPrefix(server.URL, "http://"), path, time.Second)
			defer stop()
			texts := make(chan string, 2)
			call := func() {
				resp, text, err := callApp(context.Background(), url, http.MethodGet, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					text = fmt.Sprint("failed: ", err, resp)
				}
				texts <- text
			}
			go call()
			<-hasArrived
			is.NoErr(change(path))
			is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
			for !strings.Contains(log.String(), "settings checked") {
				time.Sleep(5 * time.Millisecond)
			}
			go call()
			<-hasArrived
			close(release)
			is.Equal(<-texts, "begin,end")
			is.Equal(<-texts, "begin,end")
		})
	}
}

// TestServiceCallsInDrainCloseTheirConnection guards against a caller that stays at a stopping
// node for as long as it goes on sending: the response to a request that comes during the drain
// must be the last one on its connection, also if it is that of a service.
func TestServiceCallsInDrainCloseTheirConnection(t *testing.T) {
	is := is.New(t)
	release, hasArrived := make(chan struct{}), make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hasArrived <- struct{}{}
		<-release
		w.Header().Set("Keep-Alive", "timeout=5")
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	url, log, stop := startDeclared(t, strings.TrimPrefix(server.URL, "http://"), "", 5*time.Second)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	const request = "GET /services/app/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n\r\n"
	in := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	<-hasArrived
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	for !strings.Contains(log.String(), "draining") {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	for _, isLast := range []bool{false, true} {
		response, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(text), "done")
		is.Equal(response.Header.Get("Keep-Alive"), "") // the server's
		is.Equal(response.Close, isLast)
		_, _ = io.WriteString(conn, request)
	}
	<-stopped
}

// answerAll answers each connection's request with a text and closes the connection.
func answerAll(l net.Listener, text func() string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text())
			}
		}()
	}
}

// TestMalformedResponseReachesNoCaller guards against a malformed response of a server that the
// node forwards, or that closes its caller's connection: the caller is told that the request may
// have run, and gets sound responses on the same connection.
func TestMalformedResponseReachesNoCaller(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	const body = "the whole body"
	sound := headtest.Sound(200, "", body)
	var text atomic.Value
	text.Store(sound)
	go answerAll(l, func() string { return text.Load().(string) })
	url, log, stop := startDeclared(t, l.Addr().String(), "", time.Second)
	defer stop()
	malformed := headtest.Malformed(200, "", body)
	for _, r := range malformed {
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			text.Store(r.Text)
			response, got, err := callApp(t.Context(), url, http.MethodPost, strings.NewReader("x"))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get("Eelgrass-Ran"), "unknown")
			is.True(!strings.Contains(got, body))
			text.Store(sound)
			response, got, err = callApp(t.Context(), url, http.MethodPost, strings.NewReader("x"))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(got, body)
		})
	}
	is.Equal(strings.Count(log.String(), `"event":511`), len(malformed))
}

// TestResetUploadReachesNoCaller guards against a part of a response that the node forwards as
// complete: its server resets the connection while a long upload is being written.
func TestResetUploadReachesNoCaller(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	const body = "the whole body"
	const uploads = 10
	server := &headtest.EarlyServer{Part: headtest.Unframed(200, "", "the whole"), Resets: 2 * uploads, Pause: time.Millisecond, Whole: headtest.Sound(200, "", body)}
	go server.Serve(l)
	url, _, stop := startDeclared(t, l.Addr().String(), "", time.Second)
	defer stop()
	for _, size := range []int{1 << 20, 4 << 20} {
		for range uploads {
			response, got, err := callApp(t.Context(), url, http.MethodPost, strings.NewReader(strings.Repeat("x", size)))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get("Eelgrass-Ran"), "unknown")
			is.True(!strings.Contains(got, "the whole"))
		}
	}
	response, got, err := callApp(t.Context(), url, http.MethodPost, strings.NewReader(strings.Repeat("x", 4<<20)))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(got, body)
	is.Equal(server.Uploads(), 2*uploads+1)
}
