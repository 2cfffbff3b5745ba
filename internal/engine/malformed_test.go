package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/head/headtest"
)

// forMalformed runs a test in virtual time for each malformed response with the status and the
// body. before are sound responses on the same connection.
func forMalformed(t *testing.T, status int, body string, before []string, test func(is *is.I, c *Control, s *headtest.Server)) {
	t.Helper()
	for _, malformed := range headtest.Malformed(status, "", body) {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &headtest.Server{Texts: append(before, malformed.Text)}
				c := NewControl(ControlConfig{Timeout: testTimeout})
				c.keepAliveClient.Transport.(*head.Transport).Dial = s.Dial
				c.freshClient.Transport.(*head.Transport).Dial = s.Dial
				test(is.New(t), c, s)
				c.keepAliveClient.CloseIdleConnections()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestMalformedStatusIsNoStatus guards against using a status with a malformed head, which comes
// on a connection that carried a sound one before.
func TestMalformedStatusIsNoStatus(t *testing.T) {
	sound := headtest.Sound(200, "", `{"epoch":3}`)
	forMalformed(t, 200, `{"epoch":4}`, []string{sound}, func(is *is.I, c *Control, _ *headtest.Server) {
		_, err := c.Status(context.Background(), "s:1")
		is.NoErr(err)
		status, err := c.Status(context.Background(), "s:1")
		is.True(errors.Is(err, head.ErrMalformed))
		is.Equal(status, ring.Status{})
	})
}

// TestMalformedResponseToEngineOrderProvesNothing guards against an order that counts as carried
// out, or as fenced, though the response is malformed. It is sent once.
func TestMalformedResponseToEngineOrderProvesNothing(t *testing.T) {
	for _, status := range []int{200, 412} {
		forMalformed(t, status, "{}", nil, func(is *is.I, c *Control, s *headtest.Server) {
			err := c.Send(context.Background(), "s:1", ring.Order{})
			is.True(errors.Is(err, head.ErrMalformed))
			is.True(!errors.Is(err, ring.ErrFenced))
			is.Equal(s.Requests(), 1)
		})
	}
}
