package head

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head/headtest"
)

// unframedText is a response that ends with its connection.
var unframedText = headtest.Unframed(200, testHeader, testBody)

// stuckConn is a connection from which a text can be read, and whose writes return when it is
// closed or its deadline has passed.
type stuckConn struct {
	textConn
	once sync.Once
	done chan struct{}
	err  error
}

func newStuckConn(text string) *stuckConn {
	return &stuckConn{textConn: textConn{Reader: strings.NewReader(text)}, done: make(chan struct{})}
}

// Write implements net.Conn.
func (c *stuckConn) Write([]byte) (int, error) {
	<-c.done
	return 0, c.err
}

// end makes the writes return.
func (c *stuckConn) end(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
	})
}

// Close implements net.Conn.
func (c *stuckConn) Close() error {
	c.end(net.ErrClosed)
	return nil
}

// SetDeadline implements net.Conn.
func (c *stuckConn) SetDeadline(at time.Time) error {
	time.AfterFunc(time.Until(at), func() { c.end(os.ErrDeadlineExceeded) })
	return nil
}

// readText reads a response and its body from a connection.
func readText(c *Conn) (string, error) {
	response, err := c.ReadResponse(http.MethodPost)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestEndAfterAFailedWriteIsNotThatOfTheResponse guards against taking what has come of an unframed
// response for the whole when its connection was reset: the kernel tells that once, to the write,
// and ends the reads as if the server had closed the connection in order. The write may return
// before or after the end is read.
func TestEndAfterAFailedWriteIsNotThatOfTheResponse(t *testing.T) {
	for _, response := range []string{unframedText, strings.Replace(unframedText, "HTTP/1.1", "HTTP/1.0", 1)} {
		for _, size := range []int{0, 1, 5000, 1 << 20} {
			for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%.8s, %d bytes, %s", response, size, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						defer time.Sleep(time.Second) // Connections end.
						is := is.New(t)
						server := &headtest.Server{Texts: []string{response}}
						dial := func(ctx context.Context, network, address string) (net.Conn, error) {
							conn, err := server.Dial(ctx, network, address)
							return &headtest.SlowConn{Conn: conn, Delay: delay, Err: headtest.ErrReset, Upload: size}, err
						}
						text, err := post(newTestTransport(dial), bytes.NewReader(make([]byte, size)))
						is.True(err != nil)
						is.True(strings.HasPrefix(testBody, text))
						raw, err := dial(t.Context(), "", "")
						is.NoErr(err)
						c := NewConn(raw, testLimit)
						request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n", size)
						go func() { _ = c.WriteRequest([]byte(request + strings.Repeat("x", size))) }()
						text, err = readText(c)
						is.Equal(text, testBody)
						is.True(errors.Is(err, io.ErrUnexpectedEOF))
						is.True(errors.Is(err, headtest.ErrReset))
						is.True(!errors.Is(err, io.EOF)) // A reader would take it for the end.
						is.Equal(c.RequestError(), headtest.ErrReset)
					})
				})
			}
		}
	}
}

// TestEndWaitsForTheWrite guards against taking a whole response for a part because its end is
// read before the write of the request returns.
func TestEndWaitsForTheWrite(t *testing.T) {
	for _, size := range []int{0, 1, 5000, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second)
				is := is.New(t)
				server := &headtest.Server{Texts: []string{unframedText}}
				text, err := post(newTestTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := server.Dial(ctx, network, address)
					return &headtest.SlowConn{Conn: conn, Delay: 10 * time.Millisecond}, err
				}), bytes.NewReader(make([]byte, size)))
				is.NoErr(err)
				is.Equal(text, testBody)
			})
		})
	}
}

// TestEndWaitsForTheNextWrite guards against taking the time between two writes of a request for
// its end.
func TestEndWaitsForTheNextWrite(t *testing.T) {
	for _, want := range []error{nil, headtest.ErrReset} {
		for _, written := range []string{"", "the head"} {
			t.Run(fmt.Sprintf("%q, %v", written, want), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					begin := time.Now()
					raw := textConn{Reader: strings.NewReader(unframedText)}
					c := NewConn(&headtest.SlowConn{Conn: raw, Err: want, Upload: len(written) + 1}, testLimit)
					if written != "" {
						_, err := c.Write([]byte(written))
						is.NoErr(err)
					}
					time.AfterFunc(time.Second, func() { _ = c.WriteRequest([]byte("the body")) })
					text, err := readText(c)
					is.Equal(text, testBody)
					is.True(errors.Is(err, want))
					is.Equal(time.Since(begin), time.Second)
				})
			})
		}
	}
}

// TestEndWaitsForABufferedRequest guards against taking a request for written that the transport has
// only buffered: it says so before it writes.
func TestEndWaitsForABufferedRequest(t *testing.T) {
	for _, want := range []error{nil, headtest.ErrReset} {
		synctest.Test(t, func(t *testing.T) {
			is, begin := is.New(t), time.Now()
			c := NewConn(&headtest.SlowConn{Conn: textConn{Reader: strings.NewReader(unframedText)}, Err: want}, testLimit)
			c.request.end(nil)
			time.AfterFunc(time.Second, func() { _, _ = c.Write([]byte("request")) })
			_, err := readText(c)
			is.True(errors.Is(err, want))
			is.Equal(time.Since(begin), time.Second)
		})
	}
}

// TestEndWaitsForTheLastRequest guards against taking an earlier request on a connection for the one
// whose response ends with it.
func TestEndWaitsForTheLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, begin := is.New(t), time.Now()
		texts := iotest.OneByteReader(strings.NewReader(headtest.Sound(200, testHeader, testBody) + unframedText))
		c := NewConn(textConn{Reader: texts}, testLimit)
		is.NoErr(c.WriteRequest([]byte("first")))
		for _, wait := range []time.Duration{0, time.Second} {
			text, err := readText(c)
			is.NoErr(err)
			is.Equal(text, testBody)
			is.Equal(time.Since(begin), wait)
			c.expectRequest()
			time.AfterFunc(time.Second, func() { _ = c.WriteRequest([]byte("second")) })
		}
	})
}

// TestWaitForAWriteEnds guards against a reader that waits forever for a write that the server
// does not take: the deadline of the connection ends both, as does closing it.
func TestWaitForAWriteEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c net.Conn)
		want error
	}{
		{"deadline", func(c net.Conn) { _ = c.SetDeadline(time.Now().Add(time.Second)) }, os.ErrDeadlineExceeded},
		{"close", func(c net.Conn) { time.AfterFunc(time.Second, func() { c.Close() }) }, net.ErrClosed},
	} {
		for _, isSent := range []bool{true, false} {
			if !isSent && c.name == "deadline" {
				continue // It is that of the write.
			}
			t.Run(fmt.Sprintf("%s, sent %v", c.name, isSent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is, begin := is.New(t), time.Now()
					conn := NewConn(newStuckConn(unframedText), testLimit)
					c.end(conn)
					if isSent {
						go func() { _ = conn.WriteRequest([]byte("request")) }()
					}
					text, err := readText(conn)
					is.Equal(text, testBody)
					is.True(errors.Is(err, c.want))
					is.Equal(time.Since(begin), time.Second)
				})
			})
		}
	}
}

// TestPartOfAFramedResponseWaitsForNoWrite guards against waiting where the outcome does not depend
// on the write: a head, or a body with a length or chunks, shows itself that it was cut off.
func TestPartOfAFramedResponseWaitsForNoWrite(t *testing.T) {
	for _, text := range []string{"", unframedText[:20], headtest.Sound(200, testHeader, testBody)[:60], "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"} {
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, begin := is.New(t), time.Now()
				conn := NewConn(newStuckConn(text), testLimit)
				defer conn.Close()
				go func() { _ = conn.WriteRequest([]byte("request")) }()
				_, err := readText(conn)
				is.True(err != nil)
				is.Equal(time.Since(begin), time.Duration(0))
			})
		})
	}
}

// TestErrorOfAReadNamesThatOfTheWrite guards against losing why a response was cut off: whoever
// closes the connection after a failed write ends the reads with an error of its own.
func TestErrorOfAReadNamesThatOfTheWrite(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	go func() { _, _ = io.CopyN(io.Discard, server, 7) }()
	c := NewConn(&headtest.SlowConn{Conn: client, Err: headtest.ErrReset}, testLimit)
	is.Equal(c.WriteRequest([]byte("request")), headtest.ErrReset)
	c.Close()
	_, err := readText(c)
	is.True(errors.Is(err, headtest.ErrReset))
}

// TestUnframedResponseOnAKeptConnection guards against taking the requests before for the one whose
// response ends with the connection.
func TestUnframedResponseOnAKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second)
		is := is.New(t)
		server := &headtest.Server{Texts: []string{headtest.Sound(200, testHeader, testBody), "HTTP/1.1 204 X\r\n\r\n", unframedText}}
		conns := 0
		transport := newTestTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
			conns++
			return server.Dial(ctx, network, address)
		})
		for _, want := range []string{testBody, "", testBody, testBody} {
			text, err := post(transport, strings.NewReader("x"))
			is.NoErr(err)
			is.Equal(text, want)
		}
		is.Equal(conns, 2)
	})
}
