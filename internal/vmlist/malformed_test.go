package vmlist

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/head/headtest"
)

// TestMalformedListIsNoList guards against VMs that count as about to stop because a malformed
// response says so. It comes on a connection that carried a sound one before.
func TestMalformedListIsNoList(t *testing.T) {
	const list = `[{"vm":"a","state":"leaving"}]`
	sound := headtest.Sound(200, "", list)
	for _, malformed := range headtest.Malformed(200, "", list) {
		t.Run(malformed.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &headtest.Server{Texts: []string{sound, malformed.Text}}
				c := New(Config{Address: "s:1"})
				c.http.Transport.(*head.Transport).Dial = s.Dial
				vms, err := c.VMs(t.Context())
				is.NoErr(err)
				is.Equal(len(vms), 1)
				vms, err = c.VMs(t.Context())
				is.True(errors.Is(err, head.ErrMalformed))
				is.Equal(len(vms), 0)
				time.Sleep(time.Second)
			})
		})
	}
}
