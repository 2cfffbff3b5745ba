package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// runWorker serves one plain worker. It prints what it does, a line each, and reads commands on its
// standard input: "leaving" makes it say so in all its answers.
func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	address := flags.String("listen", "", "address")
	id := flags.String("id", "", "the worker's id")
	work := flags.Duration("work", 0, "time that a request takes")
	unframed := flags.Bool("unframed", false, "answer without a length, half at once and half after the work")
	size := flags.Int("size", 800, "bytes of an answer")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &worker{id: *id, work: *work, unframed: *unframed, size: *size}
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			w.leaving.Store(in.Text() == "leaving")
		}
		os.Exit(0) // The script has ended.
	}()
	fmt.Println("up", *id, time.Now().UnixMilli())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

type worker struct {
	id       string
	work     time.Duration
	unframed bool
	size     int
	leaving  atomic.Bool
}

// bodyOf returns the whole body of the answer to a request: a client can tell it from a part of it.
func bodyOf(attempt string, size int) []byte {
	text := strings.Repeat("certificate for "+attempt+"; ", size/16+1)
	return []byte(text[:size-4] + "end\n")
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !w.reply(c, r) {
			return
		}
	}
}

// reply answers a request and reports whether the connection stays open.
func (w *worker) reply(c net.Conn, r *http.Request) bool {
	head := func(status string, length int, fields ...string) {
		if w.leaving.Load() {
			fields = append(fields, "Server-Leaving: 1")
		}
		if length >= 0 {
			fields = append(fields, "Content-Length: "+strconv.Itoa(length))
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+strings.Join(fields, "\r\n")+"\r\n\r\n")
	}
	attempt := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/health" && w.leaving.Load():
		head("503 Service Unavailable", 0, "X-Instance-Id: "+w.id)
		return true
	case r.URL.Path == "/health":
		head("200 OK", 0, "X-Instance-Id: "+w.id)
		return true
	case r.Header.Get("X-Expect-Instance") != w.id:
		head("421 Misdirected Request", 0, "X-Instance-Id: "+w.id)
		return true
	case attempt == "":
		head("400 Bad Request", 0, "X-Not-Executed: 1")
		return true
	}
	fmt.Println("run", w.id, attempt, time.Now().UnixMilli())
	body := bodyOf(attempt, w.size)
	seal := fmt.Sprintf("X-Response-Seal: 1.%x", len(body))
	if !w.unframed {
		time.Sleep(w.work)
		head("200 OK", len(body), "X-Attempt-Id: "+attempt, seal)
		_, _ = c.Write(body)
		fmt.Println("done", w.id, attempt, time.Now().UnixMilli())
		return true
	}
	head("200 OK", -1, "X-Attempt-Id: "+attempt, seal, "Connection: close")
	_, _ = c.Write(body[:len(body)/2])
	time.Sleep(w.work)
	_, _ = c.Write(body[len(body)/2:])
	fmt.Println("done", w.id, attempt, time.Now().UnixMilli())
	return false
}
