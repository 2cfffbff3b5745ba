package claim

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/standin/platform"
)

func TestSettlingNeverOverwritesAnotherClaim(t *testing.T) {
	// Guards against recording an outcome over the claim of another node. That node
	// claimed and answered the request after the first claim's lease had expired
	// while the first node was paused.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := platform.NewKeyspace()
		l := NewLedger(Config{Store: keys, Node: "a", Batch: DefaultBatchConfig()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		id := Identity{Workspace: "w", Key: "k"}
		claim, verdict, _, failure := l.Claim(ctx, id, "print", time.Now().Add(time.Minute))
		is.True(failure == nil)
		is.Equal(verdict, VerdictRun)
		other, err := json.Marshal(Record{Writer: "b/1", Fingerprint: "print", State: StateDone, Response: &Response{Status: 200, Body: []byte("b")}})
		is.NoErr(err)
		_, err = keys.Commit(ctx, ring.Txn{Writes: []ring.Write{{Key: id.StoreKey(), Value: other}}})
		is.NoErr(err)
		short, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		is.True(claim.Complete(short, Response{Status: 200, Body: []byte("a")}) != nil)
		stored, _, err := keys.Get(ctx, id.StoreKey())
		is.NoErr(err)
		is.Equal(string(stored.Value), string(other))
		cancel()
		<-done
	})
}
