package limiter_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/limiter"
)

const (
	megabyte = 1e6
	// liveRequestShare is the share of the maximum rate that transfers may use
	// while live requests arrive.
	liveRequestShare = 0.6
)

func adaptive() limiter.Policy {
	return limiter.Adaptive{MinBytesPerSecond: megabyte, MaxBytesPerSecond: 9 * megabyte, Increase: megabyte, Decrease: 0.5}
}

// observe reports ten delays per second for the duration, during a transfer.
func observe(c *qt.C, l *limiter.Limiter, delay, during time.Duration) {
	for range int(during / (100 * time.Millisecond)) {
		c.Assert(l.Wait(context.Background(), limiter.Download, 1000), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		l.ObserveFirstToken(delay, time.Now())
	}
}

// tick advances the time by the duration without live requests.
func tick(l *limiter.Limiter, during time.Duration) {
	for range int(during / (100 * time.Millisecond)) {
		l.Tick(time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against random variation that lowers the rate: the mean of a few
// delays exceeds the tolerance by chance when prompts differ in length.
func TestRandomVariationDoesNotLowerRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const seed = 1
		t.Logf("seed %d", seed)
		random := rand.New(rand.NewPCG(seed, seed))
		delay := func() time.Duration { return time.Duration((0.5 + random.Float64()) * float64(60*time.Millisecond)) }
		l := &limiter.Limiter{DownloadPolicy: adaptive()}
		for range 200 {
			l.ObserveFirstToken(delay(), time.Now())
		}
		lowest := l.Rate(limiter.Download)
		for range 600 {
			observe(c, l, delay(), 100*time.Millisecond)
			lowest = min(lowest, l.Rate(limiter.Download))
		}
		c.Assert(lowest >= 5*megabyte, qt.IsTrue, qt.Commentf("%.0f", lowest))
	})
}

// Guards against transfers that keep their rate while they delay live
// requests, and against transfers that stay slow afterwards.
func TestAdaptiveFollowsFirstTokenDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: adaptive(), UploadPolicy: adaptive()}
		for range 50 {
			l.ObserveFirstToken(100*time.Millisecond, time.Now())
		}
		c.Assert(l.Rate(limiter.Download), qt.Equals, 5*megabyte)
		observe(c, l, 100*time.Millisecond, 2*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, liveRequestShare*9*megabyte)
		observe(c, l, 200*time.Millisecond, 3*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, megabyte)
		c.Assert(l.Rate(limiter.Upload), qt.Equals, megabyte)
		observe(c, l, 100*time.Millisecond, 20*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, liveRequestShare*9*megabyte)
		tick(l, 10*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, 9*megabyte)
	})
}

// Guards against varying delays that lower the rate although their mean does
// not change.
func TestAlternatingDelaysDoNotLowerRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: adaptive()}
		delays := []time.Duration{50 * time.Millisecond, 150 * time.Millisecond}
		for i := range 100 {
			l.ObserveFirstToken(delays[i%2], time.Now())
		}
		for i := range 100 {
			observe(c, l, delays[i%2], 100*time.Millisecond)
		}
		c.Assert(l.Rate(limiter.Download), qt.Equals, liveRequestShare*9*megabyte)
	})
}

// Guards against a transfer that stays slow on a VM without live requests.
func TestTickRaisesRateWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: adaptive()}
		tick(l, 2*time.Second)
		raised := l.Rate(limiter.Download)
		c.Assert(raised > 6*megabyte && raised < 8*megabyte, qt.IsTrue, qt.Commentf("%f", raised))
		tick(l, 10*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, 9*megabyte)
	})
}

// Guards against one delayed response that lowers the rate repeatedly after
// the last live request.
func TestRateRecoversAfterLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: adaptive()}
		l.ObserveFirstToken(100*time.Millisecond, time.Now())
		c.Assert(l.Wait(t.Context(), limiter.Download, 1000), qt.IsNil)
		l.Tick(time.Now())
		time.Sleep(300 * time.Millisecond)
		l.ObserveFirstToken(10*time.Second, time.Now())
		c.Assert(l.Rate(limiter.Download), qt.Equals, 2.5*megabyte)
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			l.Tick(time.Now())
		}
		c.Assert(l.Rate(limiter.Download), qt.Equals, 2.5*megabyte)
		for range 100 {
			time.Sleep(150 * time.Millisecond)
			l.Tick(time.Now())
		}
		c.Assert(l.Rate(limiter.Download), qt.Equals, 9*megabyte)
	})
}

// Guards against delays during a transfer that raise the baseline and thereby
// keep the rate high.
func TestTransferDoesNotRaiseBaseline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: adaptive()}
		l.ObserveFirstToken(100*time.Millisecond, time.Now())
		observe(c, l, 300*time.Millisecond, 30*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, megabyte)
	})
}

// Guards against transfers that exceed the rate of their policy, and against a
// nil policy that blocks them.
func TestWaitPacesByPolicy(t *testing.T) {
	tests := []struct {
		name    string
		policy  limiter.Policy
		ceiling float64
		took    time.Duration
	}{
		{"fixed share", limiter.FixedShare{LinkBytesPerSecond: 10 * megabyte, Share: 0.2}, 0, 5 * time.Second},
		{"unlimited", limiter.Unlimited{}, 0, 0},
		{"no policy", nil, 0, 0},
		{"ceiling", limiter.Unlimited{}, 5 * megabyte, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := &limiter.Limiter{DownloadPolicy: test.policy}
				l.SetCeiling(test.ceiling)
				started := time.Now()
				c.Assert(l.Wait(t.Context(), limiter.Download, 10*megabyte), qt.IsNil)
				took := time.Since(started)
				c.Assert(took >= test.took*98/100 && took <= test.took, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

// Guards against an adaptive policy without a minimum rate or increase: its
// rate falls to zero or never rises again, and the transfer of a rollout stalls.
func TestAdaptiveDefaultsKeepMinimumRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &limiter.Limiter{DownloadPolicy: limiter.Adaptive{MaxBytesPerSecond: 10 * megabyte}}
		for range 50 {
			l.ObserveFirstToken(100*time.Millisecond, time.Now())
		}
		observe(c, l, time.Second, 30*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, megabyte)
		observe(c, l, 100*time.Millisecond, 30*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, liveRequestShare*10*megabyte)
		tick(l, 10*time.Second)
		c.Assert(l.Rate(limiter.Download), qt.Equals, 10*megabyte)
	})
}
