package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/ratelimit"
)

const (
	// limitWindow, limitExcess, limitSlack and limitContact are those of the users' rule: from
	// limitContact after it first named a limit, a server gets in any limitWindow at most
	// limitExcess times what it allows, plus limitSlack requests.
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second
	serverLimit  = 4.0
)

// mostIn returns the largest number of requests that a server got in a limitWindow, from a
// time on.
func mostIn(l *ratelimit.Limit, from time.Time) int {
	most := 0
	var counted []time.Time
	for _, at := range l.Arrivals() {
		if at.Before(from) {
			continue
		}
		counted = append(counted, at)
		for at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// sendFor sends calls at a rate for a time, and returns how many were served.
func sendFor(s *fake.System, perSecond int, lasts time.Duration, call func(i int) fake.Call) int {
	random := rand.New(rand.NewPCG(1, 34))
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range int(float64(perSecond) * lasts.Seconds()) {
		delay := time.Duration(random.Int64N(int64(lasts)))
		wait.Go(func() {
			time.Sleep(delay)
			if r := s.Do(call(i)); r.Status < 300 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return served
}

// TestDeclaredGroupsGetNoMoreThanTheirLimit guards against heads of declared groups, and
// servers of services, that get many times the requests that they say they take, from all
// nodes together.
func TestDeclaredGroupsGetNoMoreThanTheirLimit(t *testing.T) {
	for name, call := range map[string]func(i int) fake.Call{
		"chat": func(i int) fake.Call { return fake.Chat(fmt.Sprint("n", i%3+1), keyA, fmt.Sprint("p", i), 5) },
		"once": func(i int) fake.Call {
			return withKey(fake.Chat(fmt.Sprint("n", i%3+1), keyA, fmt.Sprint("p", i), 5), i)
		},
		"sign-off": func(i int) fake.Call { return fake.SignOff(fmt.Sprint("n", i%3+1), keyA, fmt.Sprint("s", i)) },
		"echo": func(i int) fake.Call {
			return fake.Call{Node: fmt.Sprint("n", i%3+1), APIKey: keyA, Method: "PUT", Path: "/services/records/echo", Body: "x"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(2, 2, 1, 5), 3), func(is *is.I, s *fake.System) {
				time.Sleep(6 * time.Second) // until the groups may use all their slots
				limits := []*ratelimit.Limit{&s.Services["127.1.1.1:80"].Limit}
				if name == "chat" || name == "once" {
					limits = []*ratelimit.Limit{s.Limit(members(s, "g1")[0].VM), s.Limit(members(s, "g2")[0].VM)}
				}
				for _, l := range limits {
					l.Set(serverLimit)
				}
				begin := time.Now()
				const lasts = 16 * time.Second
				served := sendFor(s, 30, lasts, call)
				for _, l := range limits {
					if most := mostIn(l, begin.Add(limitContact)); float64(most) > limitExcess*serverLimit*limitWindow.Seconds()+limitSlack {
						t.Errorf("a server got %d requests in %s at a limit of %g a second", most, limitWindow, serverLimit)
					}
				}
				if could := serverLimit * float64(len(limits)) * lasts.Seconds(); float64(served) < 0.8*could {
					t.Errorf("%d requests were served, the limits allow %.0f", served, could)
				}
				for _, l := range limits {
					l.End()
				}
				time.Sleep(2 * time.Second)
				sendFor(s, 2, 3*time.Second, call) // They find out that the limits have ended.
				if served := sendFor(s, 20, 5*time.Second, call); served < 95 {
					t.Errorf("%d of 100 requests were served after the limits had ended", served)
				}
			})
		})
	}
}

// withKey returns the call with an idempotency key.
func withKey(c fake.Call, i int) fake.Call {
	c.IdempotencyKey = fmt.Sprint("key", i)
	return c
}
