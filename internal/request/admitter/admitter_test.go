package admitter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	interactive = messenger.Priority_PRIORITY_INTERACTIVE
	standard    = messenger.Priority_PRIORITY_STANDARD
	batch       = messenger.Priority_PRIORITY_BATCH
)

func newAdmitter(capacity int) *Admitter {
	return &Admitter{
		Capacity: func(identifier.Target, matcher.Regions, time.Time) int { return capacity },
		Entries:  func(time.Time) int { return 1 },
	}
}

func request(team *parser.Team, cost int, p messenger.Priority, wait time.Duration) *identifier.Request {
	return &identifier.Request{
		Team: team, Cost: cost, Priority: p, Target: identifier.Target{Model: "m"}, Deadline: time.Now().Add(wait),
	}
}

// TestStopEndsWaitAsCallerGone guards against a request that waits when the daemon stops,
// whose caller is informed that it has closed the connection.
func TestStopEndsWaitAsCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newAdmitter(1)
		team := &parser.Team{Name: "t"}
		_, err := a.Admit(t.Context(), request(team, 1, standard, time.Minute), time.Now())
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(&drainer.StoppedError{After: time.Minute}) })
		_, err = a.Admit(ctx, request(team, 1, standard, time.Minute), time.Now())
		var refused *identifier.RequestError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Check(refused.Code, qt.Equals, "entry-stopping")
		c.Check(refused.Outcome, qt.Equals, identifier.OutcomeNotRun)
	})
}

// loadGenerator sends the requests of one team from a number of concurrent
// workers. A request runs for timePerToken times its cost.
type loadGenerator struct {
	admitter *Admitter
	team     *parser.Team
	workers  int
	cost     int
	priority messenger.Priority
	until    time.Time

	tokens atomic.Int64
}

// timePerToken is the run time of a simulated request per token of its cost.
const timePerToken = 10 * time.Microsecond

func (l *loadGenerator) run(done *sync.WaitGroup) {
	defer done.Done()
	for time.Now().Before(l.until) {
		now := time.Now()
		permit, err := l.admitter.Admit(context.Background(), request(l.team, l.cost, l.priority, time.Minute), now)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		time.Sleep(time.Duration(l.cost) * timePerToken)
		permit.Release(time.Now())
		// Requests that run after the end are not counted, because the teams no
		// longer compete for capacity then.
		if time.Now().Before(l.until) {
			l.tokens.Add(int64(l.cost))
		}
	}
}

// TestFairShare guards against a team with far more requests that takes capacity
// due to a small team. Capacity is divided in tokens, by the weights of the teams.
func TestFairShare(t *testing.T) {
	tests := []struct {
		name  string
		small *loadGenerator
		flood *loadGenerator
		// share is the fraction of the tokens that is due to the small team.
		share float64
	}{
		{
			name:  "equal weights",
			small: &loadGenerator{team: &parser.Team{Name: "small", Weight: 1}, workers: 20, cost: 1000, priority: standard},
			flood: &loadGenerator{team: &parser.Team{Name: "flood", Weight: 1}, workers: 500, cost: 1000, priority: standard},
			share: 0.5,
		},
		{
			name:  "unequal weights, larger requests of the flooding team",
			small: &loadGenerator{team: &parser.Team{Name: "small", Weight: 1}, workers: 60, cost: 300, priority: standard},
			flood: &loadGenerator{team: &parser.Team{Name: "flood", Weight: 3}, workers: 500, cost: 3000, priority: standard},
			share: 0.25,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmitter(8)
				var done sync.WaitGroup
				for _, l := range []*loadGenerator{tt.flood, tt.small} {
					l.admitter, l.until = a, time.Now().Add(20*time.Second)
					for range l.workers {
						done.Add(1)
						go l.run(&done)
					}
				}
				done.Wait()
				small, total := float64(tt.small.tokens.Load()), float64(tt.small.tokens.Load()+tt.flood.tokens.Load())
				got := small / total
				t.Logf("share %.3f, due %.3f", got, tt.share)
				qt.Assert(t, got >= 0.95*tt.share, qt.IsTrue, qt.Commentf("share %v, due %v", got, tt.share))
				capacity := 8 * float64(20*time.Second) / float64(timePerToken)
				qt.Assert(t, total >= 0.95*capacity, qt.IsTrue)
			})
		})
	}
}

// TestPriorities guards against interactive requests that run after batch
// requests, and against starvation of batch requests.
func TestPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		team := &parser.Team{Name: "t"}
		first, err := a.Admit(t.Context(), request(team, 1, standard, time.Hour), time.Now())
		qt.Assert(t, err, qt.IsNil)
		order := make(chan messenger.Priority, 100)
		for _, p := range []messenger.Priority{batch, standard, interactive} {
			for range 20 {
				go admit(a, request(team, 1, p, time.Hour), order)
			}
			synctest.Wait()
		}
		first.Release(time.Now())
		var got []messenger.Priority
		for range 60 {
			got = append(got, <-order)
		}
		counts := map[messenger.Priority]int{}
		for _, p := range got[:21] {
			counts[p]++
		}
		qt.Assert(t, counts, qt.DeepEquals, map[messenger.Priority]int{interactive: 20, batch: 1})
	})
}

// admit runs a request without a duration and sends its priority once it is admitted.
func admit(a *Admitter, req *identifier.Request, order chan<- messenger.Priority) {
	permit, err := a.Admit(context.Background(), req, time.Now())
	if err == nil {
		order <- req.Priority
		permit.Release(time.Now())
	}
}

// TestRefusals guards against requests that are admitted or kept waiting when they
// must be rejected, wrong statuses and a missing retry-after time.
func TestRefusals(t *testing.T) {
	team := &parser.Team{Name: "t"}
	requestLimited := &parser.Team{Name: "limited", RequestsPerSecond: 2}
	tokenLimited := &parser.Team{Name: "tokens", TokensPerSecond: 100}
	tests := []struct {
		name     string
		capacity int
		entries  int
		req      func() *identifier.Request
		times    int
		status   int
		code     string
	}{
		{name: "no replica", req: func() *identifier.Request { return request(team, 1, standard, time.Minute) }, times: 1, status: 503, code: "no-replica"},
		{name: "within the limit", capacity: 100, entries: 1, req: func() *identifier.Request { return request(requestLimited, 1, standard, time.Minute) }, times: 10},
		{name: "requests per second", capacity: 100, entries: 1, req: func() *identifier.Request { return request(requestLimited, 1, standard, time.Minute) }, times: 11, status: 429, code: "rate_limit_exceeded"},
		{name: "limit divided among the entry daemons", capacity: 100, entries: 5, req: func() *identifier.Request { return request(requestLimited, 1, standard, time.Minute) }, times: 3, status: 429, code: "rate_limit_exceeded"},
		{name: "tokens per second", capacity: 100, entries: 1, req: func() *identifier.Request { return request(tokenLimited, 250, standard, time.Minute) }, times: 3, status: 429, code: "rate_limit_exceeded"},
		{name: "no free slot before the deadline", capacity: 1, entries: 1, req: func() *identifier.Request { return request(team, 1, standard, time.Second) }, times: 2, status: 503, code: "queue-timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := newAdmitter(tt.capacity)
				a.Entries = func(time.Time) int { return tt.entries }
				var err error
				for i := range tt.times {
					c.Assert(err, qt.IsNil, qt.Commentf("request %d", i))
					_, err = a.Admit(t.Context(), tt.req(), time.Now())
				}
				if tt.status == 0 {
					c.Assert(err, qt.IsNil)
					return
				}
				var refused *identifier.RequestError
				c.Assert(errors.As(err, &refused), qt.IsTrue)
				c.Assert(refused.Status, qt.Equals, tt.status)
				c.Assert(refused.Code, qt.Equals, tt.code)
				c.Assert(refused.Outcome, qt.Equals, identifier.OutcomeNotRun)
				c.Assert(refused.RetryAfter > 0, qt.IsTrue)
			})
		})
	}
}

// TestEarlyRefusal guards against requests that are queued although they cannot
// run before their deadline.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		team := &parser.Team{Name: "t"}
		order := make(chan messenger.Priority, 100)
		permit, err := a.Admit(t.Context(), request(team, 100, standard, time.Hour), time.Now())
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		permit.Release(time.Now())
		_, err = a.Admit(t.Context(), request(team, 100, standard, time.Hour), time.Now())
		qt.Assert(t, err, qt.IsNil)
		for range 10 {
			go admit(a, request(team, 100, standard, time.Hour), order)
		}
		synctest.Wait()
		// 10 requests of 1 s each are queued ahead of this one.
		began := time.Now()
		_, err = a.Admit(t.Context(), request(team, 100, standard, 5*time.Second), began)
		qt.Assert(t, err, qt.ErrorMatches, ".* are overloaded")
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		a.Capacity = func(identifier.Target, matcher.Regions, time.Time) int { return 20 }
		a.Wake(time.Now())
		for range 10 {
			<-order
		}
	})
}

// TestGoodputUnderOverload guards against capacity spent on requests that miss
// their deadlines, at an arrival rate of twice the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots    = 8
			cost     = 100
			service  = 100 * time.Millisecond
			duration = 30 * time.Second
			seed     = 3
		)
		t.Logf("seed %d", seed)
		random := rand.New(rand.NewPCG(seed, seed))
		a := newAdmitter(slots)
		team := &parser.Team{Name: "t"}
		var inTime atomic.Int64
		start := time.Now()
		for time.Since(start) < duration {
			run := time.Duration((0.5 + random.Float64()) * float64(service))
			go serveOne(a, request(team, cost, standard, time.Second), run, start.Add(duration), &inTime)
			time.Sleep(time.Duration(random.ExpFloat64() * float64(service) / slots / 2))
		}
		time.Sleep(2 * time.Second)
		capacity := float64(slots) * duration.Seconds() / service.Seconds()
		goodput := float64(inTime.Load()) / capacity
		t.Logf("goodput %.3f of the capacity", goodput)
		qt.Assert(t, goodput >= 0.95, qt.IsTrue)
	})
}

// serveOne runs a request and counts it if it ends before its deadline and before
// the end of the measurement.
func serveOne(a *Admitter, req *identifier.Request, run time.Duration, until time.Time, inTime *atomic.Int64) {
	permit, err := a.Admit(context.Background(), req, time.Now())
	if err != nil {
		return
	}
	time.Sleep(run)
	now := time.Now()
	permit.Release(now)
	if !now.After(req.Deadline) && now.Before(until) {
		inTime.Add(1)
	}
}

// TestConcurrencyLimit guards against a limit that stays high on a slow server, falls
// on an idle one, or does not grow on a fast one.
func TestConcurrencyLimit(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name     string
		delay    time.Duration
		inFlight int
		check    func(limit int) bool
	}{
		{name: "fast server, saturated", delay: 50 * time.Millisecond, inFlight: 1000, check: func(l int) bool { return l > initialLimit }},
		{name: "slow server, saturated", delay: 2 * time.Second, inFlight: 1000, check: func(l int) bool { return l < initialLimit/2 }},
		{name: "slow server, underused", delay: 2 * time.Second, inFlight: 1, check: func(l int) bool { return l == initialLimit }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConcurrency()
			for range 20 {
				c.Observe(50*time.Millisecond, 1, now)
			}
			for i := range 100 {
				c.Observe(tt.delay, tt.inFlight, now.Add(time.Duration(i)*100*time.Millisecond))
			}
			qt.Assert(t, tt.check(c.Limit()), qt.IsTrue, qt.Commentf("limit %d", c.Limit()))
		})
	}
}

// TestConcurrencyLimitBaseline guards against a limit that grows during an overload
// because the baseline follows the delay of the overload, and against one that
// falls on a server that became permanently slower while it was underused.
func TestConcurrencyLimitBaseline(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int
		delay    func(limit int) time.Duration
		check    func(limit int) bool
	}{
		// The delay with eight requests in progress is minSlowDelay.
		{
			name: "overload", inFlight: 1000,
			delay: func(limit int) time.Duration { return time.Duration(limit) * minSlowDelay / 8 },
			check: func(limit int) bool { return limit <= 16 },
		},
		{
			name: "permanently slower while underused", inFlight: 1,
			delay: func(int) time.Duration { return time.Second },
			check: func(limit int) bool { return limit > initialLimit },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConcurrency()
			now := time.Unix(0, 0)
			c.Observe(50*time.Millisecond, 1, now)
			for _, inFlight := range []int{tt.inFlight, 1000} {
				for range 10_000 {
					now = now.Add(10 * time.Millisecond)
					c.Observe(tt.delay(c.Limit()), inFlight, now)
				}
			}
			qt.Assert(t, tt.check(c.Limit()), qt.IsTrue, qt.Commentf("limit %d", c.Limit()))
		})
	}
}
