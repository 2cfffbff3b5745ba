package vmlist

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/head/headtest"
)

// TestResetListIsNoList guards against VMs that count as about to stop because of what has come of
// a list whose request was reset: the write takes the error, before or after the list ends.
func TestResetListIsNoList(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second) // Connections end.
				is := is.New(t)
				s := &headtest.Server{Texts: []string{headtest.Unframed(200, "", `[{"vm":"a","state":"leaving"}]`)}}
				c := New(Config{Address: "s:1"})
				c.http.Transport.(*head.Transport).Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := s.Dial(ctx, network, address)
					return &headtest.SlowConn{Conn: conn, Delay: delay, Err: headtest.ErrReset}, err
				}
				vms, err := c.VMs(t.Context())
				is.True(err != nil)
				is.Equal(len(vms), 0)
			})
		})
	}
}
