package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/head/headtest"
)

// TestResetRequestToEngineProvesNothing guards against using a status, or the outcome of an order,
// because of what has come of a response to a request that was reset: the write takes the error,
// before or after the response ends.
func TestResetRequestToEngineProvesNothing(t *testing.T) {
	for _, status := range []int{200, 412} {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d, %s", status, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Second) // Connections end.
					is := is.New(t)
					s := &headtest.Server{Texts: []string{headtest.Unframed(status, "", `{"epoch":4}`)}}
					dial := func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := s.Dial(ctx, network, address)
						return &headtest.SlowConn{Conn: conn, Delay: delay, Err: headtest.ErrReset}, err
					}
					c := NewControl(ControlConfig{Timeout: testTimeout})
					c.keepAliveClient.Transport.(*head.Transport).Dial = dial
					c.freshClient.Transport.(*head.Transport).Dial = dial
					err := c.Send(context.Background(), "s:1", ring.Order{})
					is.True(err != nil)
					is.True(!errors.Is(err, ring.ErrFenced))
					synctest.Wait()
					is.Equal(s.Requests(), 1) // an order is sent once
					got, err := c.Status(context.Background(), "s:1")
					is.True(err != nil)
					is.Equal(got, ring.Status{})
				})
			})
		}
	}
}
