package main

import (
	"flag"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/grpc"

	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/standin/platform"
)

var update = flag.Bool("update", false, "write golden parts of scripts instead of comparing")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"eelgrass": main})
}

// startStore serves the platform's key-value service on loopback.
func startStore(e *testscript.Env) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	platform.Register(server, platform.NewKeyspace(), &platform.Faults{})
	go func() { _ = server.Serve(listener) }()
	e.Defer(server.Stop)
	e.Setenv("STORE", listener.Addr().String())
	return nil
}

// startAdmin serves the admin interface of a node that knows nothing yet.
func startAdmin(e *testscript.Env) {
	table := node.NewTable(node.TableConfig{EvidenceAge: node.EvidenceAge})
	n := node.New(node.Config{Name: "n1", Zone: "a", Entry: "127.0.0.1:8081", Table: table, Log: &event.Log{}})
	g := gateway.New(gateway.Config{Node: n, Metrics: metric.New(), Queue: 1})
	a := admin.New(admin.Config{Name: "n1", Version: "test", Node: n, Gateway: g, Metrics: metric.New(), Stop: func() {}})
	server := httptest.NewServer(a.Handler())
	e.Defer(server.Close)
	e.Setenv("NODE", strings.TrimPrefix(server.URL, "http://"))
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			startAdmin(e)
			return startStore(e)
		},
	})
}
