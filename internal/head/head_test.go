package head

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"eelgrassring.dev/internal/head/headtest"
)

const (
	testBody   = "the whole body"
	testHeader = "X-Test: 1\r\n"
	testLimit  = 64 << 10
)

// textConn is a connection from which a text can be read.
type textConn struct {
	net.Conn
	io.Reader
}

// Read implements net.Conn.
func (c textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Write implements net.Conn.
func (c textConn) Write(p []byte) (int, error) { return len(p), nil }

// readers returns readers of a text that return it in one or in many parts.
func readers(text string) map[string]io.Reader {
	return map[string]io.Reader{"at once": strings.NewReader(text), "by bytes": iotest.OneByteReader(strings.NewReader(text))}
}

// readAll reads a response and its body.
func readAll(in io.Reader, limit int) (*http.Response, string, error) {
	c := NewConn(textConn{Reader: in}, limit)
	if err := c.WriteRequest([]byte("request")); err != nil {
		return nil, "", err
	}
	response, err := c.ReadResponse(http.MethodPost)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestMalformedResponsesAreRefused guards against a malformed response that is returned, or
// whose error tells a part of it.
func TestMalformedResponsesAreRefused(t *testing.T) {
	for _, r := range headtest.Malformed(200, testHeader, testBody) {
		for pace, in := range readers(r.Text) {
			t.Run(r.Name+" "+pace, func(t *testing.T) {
				_, _, err := readAll(in, testLimit)
				if !errors.Is(err, ErrMalformed) {
					t.Fatalf("got %v", err)
				}
				if strings.Contains(err.Error(), "X") || strings.Contains(err.Error(), "body ") {
					t.Errorf("the error tells a part of the response: %v", err)
				}
			})
		}
	}
}

// TestOddResponsesAreRead guards against refusing or changing a response that follows the grammar.
func TestOddResponsesAreRead(t *testing.T) {
	for _, status := range []int{200, 302, 404, 500, 600, 999} {
		for _, r := range headtest.Odd(status, testHeader, testBody) {
			for pace, in := range readers(r.Text) {
				t.Run(fmt.Sprint(status, " ", r.Name, " ", pace), func(t *testing.T) {
					is := is.New(t)
					got, body, err := readAll(in, testLimit)
					is.NoErr(err)
					is.Equal(body, testBody)
					text := bufio.NewReader(strings.NewReader(r.Text))
					var want *http.Response
					for want == nil || want.StatusCode < 200 {
						want, err = http.ReadResponse(text, nil)
						is.NoErr(err)
					}
					is.Equal(got.StatusCode, status)
					is.Equal(got.Status, want.Status)
					is.Equal(got.Header, want.Header)
					is.Equal(got.ContentLength, want.ContentLength)
				})
			}
		}
	}
}

// TestPartOfAHeadIsNotMalformed guards against taking a response that is cut off for a malformed
// one: on-call tells the two apart.
func TestPartOfAHeadIsNotMalformed(t *testing.T) {
	for _, r := range headtest.Odd(200, testHeader, testBody) {
		for n := range len(r.Text) {
			if _, _, err := readAll(strings.NewReader(r.Text[:n]), testLimit); err == nil || errors.Is(err, ErrMalformed) {
				t.Errorf("%q: got %v", r.Text[:n], err)
			}
		}
	}
}

// TestHeadsHaveALimit guards against heads that take memory, or time, without end.
func TestHeadsHaveALimit(t *testing.T) {
	sound := headtest.Sound(200, testHeader, testBody)
	length := strings.Index(sound, testBody)
	_, _, err := readAll(strings.NewReader(sound), length)
	is.New(t).NoErr(err)
	for pace, in := range readers(sound) {
		if _, _, err := readAll(in, length-1); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s: got %v", pace, err)
		}
	}
	if _, _, err := readAll(strings.NewReader(strings.Repeat("HTTP/1.1 103 X\r\n\r\n", testLimit)), testLimit); !errors.Is(err, ErrTooLong) {
		t.Errorf("informational responses: got %v", err)
	}
}

// newTestTransport returns a Transport with a dialer.
func newTestTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return NewTransport(&http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: testLimit})
}

// newServedTransport returns a Transport whose connections are served by serve.
func newServedTransport(serve func(in *bufio.Reader, c net.Conn)) *Transport {
	return newTestTransport(func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			serve(bufio.NewReader(server), server)
		}()
		return client, nil
	})
}

// post sends a request with the body and returns the body of the response.
func post(t *Transport, body io.Reader) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://s:1/", body)
	if err != nil {
		return "", err
	}
	response, err := t.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestTransportChecksEachResponse guards against checking only the first response on a
// connection, and against taking the body of one for the head of the next.
func TestTransportChecksEachResponse(t *testing.T) {
	for _, r := range headtest.Malformed(200, testHeader, testBody) {
		t.Run(r.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &headtest.Server{}
				for _, sound := range headtest.Odd(200, testHeader, testBody) {
					server.Texts = append(server.Texts, strings.Replace(sound.Text, "HTTP/1.0 200 X", "HTTP/1.0 200 X\r\nConnection: keep-alive", 1))
				}
				sound := len(server.Texts)
				server.Texts = append(server.Texts, r.Text)
				conns := 0
				transport := newTestTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
					conns++
					return server.Dial(ctx, network, address)
				})
				for range sound {
					text, err := post(transport, strings.NewReader("x"))
					is.NoErr(err)
					is.Equal(text, testBody)
				}
				_, err := post(transport, strings.NewReader("x"))
				is.True(errors.Is(err, ErrMalformed))
				is.Equal(conns, 1)
				transport.CloseIdleConnections()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestTransportReadsAnEarlyResponse guards against taking the body of a response that comes before
// the request has been written for a head.
func TestTransportReadsAnEarlyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newServedTransport(func(in *bufio.Reader, c net.Conn) {
			for {
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3*len(testBody))
				for range 3 {
					_, _ = io.CopyN(io.Discard, request.Body, 8<<10)
					_, _ = io.WriteString(c, testBody)
				}
				_, _ = io.Copy(io.Discard, request.Body)
			}
		})
		for range 3 {
			text, err := post(transport, bytes.NewReader(make([]byte, 64<<10)))
			is.NoErr(err)
			is.Equal(text, strings.Repeat(testBody, 3))
			time.Sleep(time.Millisecond)
		}
		transport.CloseIdleConnections()
		time.Sleep(time.Second)
	})
}

// TestExtraResponseIsNoResponse guards against taking a second response of a server for the response
// to the next request on the connection. Requests that wait for the connection get it while the
// transport holds what came with the first response.
func TestExtraResponseIsNoResponse(t *testing.T) {
	const extra = "the extra body"
	for range 300 {
		transport := newServedTransport(func(in *bufio.Reader, c net.Conn) {
			for {
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, headtest.Sound(200, testHeader, testBody)+headtest.Sound(200, testHeader, extra))
			}
		})
		transport.base.MaxConnsPerHost = 1
		var wait sync.WaitGroup
		for range 10 {
			wait.Go(func() {
				text, err := post(transport, strings.NewReader("x"))
				if text == extra {
					t.Error("the extra response was taken for one")
				}
				if err != nil && !errors.Is(err, ErrMalformed) {
					t.Errorf("got %v", err)
				}
			})
		}
		wait.Wait()
		transport.CloseIdleConnections()
	}
}

// TestTransportSendsABodyAtOnce guards against waiting for the response to "Expect: 100-continue",
// which is read together with the final one.
func TestTransportSendsABodyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := newServedTransport(func(in *bufio.Reader, c net.Conn) {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, headtest.Sound(200, testHeader, testBody))
		})
		r, err := http.NewRequest(http.MethodPost, "http://s:1/", strings.NewReader("x"))
		is.NoErr(err)
		r.Header.Set("Expect", "100-continue")
		begin := time.Now()
		response, err := transport.RoundTrip(r)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(text), testBody)
		is.Equal(time.Since(begin), time.Duration(0))
		time.Sleep(time.Second)
	})
}

// FuzzReadResponse checks that whatever a server sends, a response that is returned has a status
// and fields, and that it does not depend on the parts in which the bytes arrive.
func FuzzReadResponse(f *testing.F) {
	for _, r := range append(headtest.MalformedHeads(200, testHeader, testBody), headtest.Odd(200, testHeader, testBody)...) {
		f.Add([]byte(r.Text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, body, err := readAll(bytes.NewReader(data), testLimit)
		inBytes, bodyInBytes, errInBytes := readAll(iotest.OneByteReader(bytes.NewReader(data)), testLimit)
		if (err == nil) != (errInBytes == nil) || body != bodyInBytes {
			t.Fatalf("by bytes: %q, %v; at once: %q, %v", bodyInBytes, errInBytes, body, err)
		}
		if response == nil {
			return
		}
		if response.StatusCode < 200 || response.StatusCode > 999 || inBytes.StatusCode != response.StatusCode {
			t.Errorf("status %d, by bytes %d", response.StatusCode, inBytes.StatusCode)
		}
		for name, values := range response.Header {
			for _, value := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
					t.Errorf("field %q: %q", name, value)
				}
			}
		}
	})
}
