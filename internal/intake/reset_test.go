package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResetUploadIsNoBody guards against a part of an upload that is taken for the whole because a
// look at what a connection holds takes the error of its reset, after which reads end as if the
// client had closed it in order. Uploads have a length or chunks, which show that they were cut off.
func TestResetUploadIsNoBody(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 1000\r\n\r\npart",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		for _, isPeeked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, peeked %v", name, isPeeked), func(t *testing.T) {
				is := is.New(t)
				isReset, read := make(chan struct{}), make(chan error, 1)
				s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					part := make([]byte, len("part"))
					_, err := io.ReadFull(r.Body, part)
					<-isReset
					if isPeeked {
						FromContext(r.Context()).hasUnread()
					}
					if err == nil {
						_, err = io.Copy(io.Discard, r.Body)
					}
					read <- err
				})}
				d := newTestBudget(Limits{Memory: 184 << 20, Descriptors: 4100, Fields: 4096}).Callers()
				d.Protect(s)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				go func() { _ = s.Serve(d.Listen(l)) }()
				defer s.Close()
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond) // The part arrives before the reset.
				is.NoErr(c.(*net.TCPConn).SetLinger(0))
				is.NoErr(c.Close())
				time.Sleep(20 * time.Millisecond)
				close(isReset)
				is.True(<-read != nil)
			})
		}
	}
}
