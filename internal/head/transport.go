package head

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper over HTTP/1.1 whose errors, and those of the bodies, wrap
// ErrMalformed if a head or the trailer of a response is malformed.
type Transport struct {
	// Dial opens the connections. It may be replaced before the first request.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	base *http.Transport
}

// NewTransport returns a Transport with the settings of base, which it takes over. The limit on
// heads, base.MaxResponseHeaderBytes, must be set. Informational responses are read together with
// the final one, so that base.ExpectContinueTimeout must be 0: bodies are sent at once.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{Dial: base.DialContext, base: base}
	if t.Dial == nil {
		t.Dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, int(base.MaxResponseHeaderBytes)), nil
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var c *Conn
	isReused := false
	trace := &httptrace.ClientTrace{
		// It is called right before the request is written, when the connection carries nothing else.
		GotConn: func(info httptrace.GotConnInfo) {
			c, isReused = info.Conn.(*Conn), info.Reused
			c.expectRequest()
		},
		// It is called before the last flush of the transport's buffer. That writes the whole of a
		// short request, nothing of a long body with a length, or the last bytes of a head that is
		// longer than the buffer or of a body in chunks, for which the end counts a moment early.
		WroteRequest: func(info httptrace.WroteRequestInfo) { c.request.end(info.Err) },
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if isReused && c.passedStatus() != response.StatusCode {
		response.Body.Close()
		return nil, malformed("it came before its request")
	}
	checkTrailer(response)
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
