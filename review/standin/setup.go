package main

import (
	"fmt"
)

// setUpPlain starts nodes and workers of a service without models.
func (e *env) setUpPlain(nodes, workers int) error {
	e.configure(1, []any{plainRoute("/book/", "unsafe", 1), plainRoute("/look/", "safe", 2)}, []any{plainService()}, []any{tenant("t1", "key-one")})
	for i := 1; i <= workers; i++ {
		if err := e.startWorker(fmt.Sprint("w", i), "records", 100+i); err != nil {
			return err
		}
	}
	if err := e.startNodes(nodes); err != nil {
		return err
	}
	if err := e.awaitReady(nodes); err != nil {
		return err
	}
	for i := 1; i <= nodes; i++ {
		if err := e.awaitService(i, "/look/x?pieces=1", "key-one", ""); err != nil {
			return err
		}
	}
	return nil
}

const modelHeader = "X-Model: m0\r\nX-Token-Count: 40,60\r\nX-Prompt-Prefix: aa:40\r\nContent-Length: 0\r\n"

// setUpModel starts nodes and two workers, each a group of its own.
func (e *env) setUpModel(nodes int) error {
	route := object{"name": "draft", "host": "desk.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "latencyGoalMs": 400, "gapTargetMs": 250, "priority": 1, "service": "lm", "attempts": 2, "public": false, "sticky": true, "resumable": true}
	engine := object{
		"slots": 26, "kvCapacity": 2470000, "kvTokenBytes": 35136, "linkMbps": 400000.0, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309,
		"chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "keepCount": 1, "far_x": 4.0, "formMs": 100.0, "usual": object{"prompt": 1115, "answer": 152},
		"models": []any{object{"name": "m0", "size": 1, "share": 1.0, "pace": 1.0, "loadS": 1.0, "warmS": 0.5}},
	}
	e.configure(1, []any{route}, []any{object{"name": "lm", "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false, "engine": engine}}, []any{tenant("t1", "key-one")})
	for i := 1; i <= 2; i++ {
		if err := e.startWorker(fmt.Sprint("w", i), "lm", 100+i); err != nil {
			return err
		}
	}
	if err := e.startNodes(nodes); err != nil {
		return err
	}
	if err := e.awaitReady(nodes); err != nil {
		return err
	}
	for i := 1; i <= nodes; i++ {
		if err := e.awaitService(i, "/draft/x?as=stream&pieces=1&gap=20", "key-one", modelHeader); err != nil {
			return err
		}
	}
	return nil
}
