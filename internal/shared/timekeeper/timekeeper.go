// Package timekeeper detects that the process did not run for a while: because it was
// stopped, because it got no processor, or because its VM was suspended. Times that
// were measured meanwhile are wrong, and news that arrives afterwards may be old.
package timekeeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// checkInterval is the time between checks.
	checkInterval = 250 * time.Millisecond
	// minPause is the shortest time between two checks that counts as a pause.
	minPause = 600 * time.Millisecond
	// minSuspension is the smallest difference between the clocks that counts as a
	// suspension of the VM.
	minSuspension = 50 * time.Millisecond
)

// Pause is a time in which the process did not run.
type Pause struct {
	// Began is when the process was last known to run, and Ended when it ran again.
	Began, Ended time.Time
	// Suspended is the part of the pause that the monotonic clock did not count.
	Suspended time.Duration
}

// Timekeeper detects pauses. Its exported fields are set before Run.
type Timekeeper struct {
	// OnPause is called for each pause, if set.
	OnPause func(p Pause)
	Log     *logger.Logger

	mu sync.Mutex
	// last and lastBoot are the times of the last check.
	last     time.Time
	lastBoot time.Duration
}

// Run checks for pauses until ctx is canceled.
func (k *Timekeeper) Run(ctx context.Context) {
	k.Check()
	waiter.Every(ctx, checkInterval, func(time.Time) { k.Check() })
}

// Check reports a pause that has ended since the last check.
func (k *Timekeeper) Check() {
	now, boot, err := readClocks()
	if err != nil {
		k.Log.Error("pauses of the process are not detected", zap.Error(err))
		return
	}
	k.check(now, boot)
}

// readClocks returns the present time and the time since the start of the VM, which
// includes suspensions. It reads both again if the process paused in between.
func readClocks() (now time.Time, boot time.Duration, err error) {
	for {
		before, err := sinceBoot()
		if err != nil {
			return time.Time{}, 0, err
		}
		now := time.Now()
		boot, err := sinceBoot()
		if err != nil {
			return time.Time{}, 0, err
		}
		if boot-before < minSuspension/2 {
			return now, boot, nil
		}
	}
}

// sinceBoot returns the time since the start of the VM.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Suspended returns for how long the VM has been suspended since its start: what the
// monotonic clock has not counted.
func Suspended() time.Duration {
	for {
		before, err := sinceBoot()
		var monotonic unix.Timespec
		if err != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
			return 0 // Linux has both clocks since version 2.6.39.
		}
		// The clocks are read again if the process paused in between.
		if boot, err := sinceBoot(); err == nil && boot-before < minSuspension/2 {
			return boot - time.Duration(monotonic.Nano())
		}
	}
}

// Moment is a point in time on two clocks: one that stands still while the VM is suspended,
// and one that counts the suspensions.
type Moment struct {
	Time      time.Time
	Suspended time.Duration
}

// Now returns the present moment. The time is read last, so that a pause of the process in
// between makes nothing look younger than it is.
func Now() Moment {
	suspended := Suspended()
	return Moment{Time: time.Now(), Suspended: suspended}
}

// Since returns the time from an earlier moment to m, including suspensions of the VM.
func (m Moment) Since(earlier Moment) time.Duration {
	return m.Time.Sub(earlier.Time) + max(m.Suspended-earlier.Suspended, 0)
}

// check compares the present times with those of the last check. boot is the time since
// the start of the VM.
func (k *Timekeeper) check(now time.Time, boot time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	last, lastBoot := k.last, k.lastBoot
	k.last, k.lastBoot = now, boot
	if last.IsZero() || boot-lastBoot < minPause {
		return
	}
	p := Pause{Began: last, Ended: now}
	if suspended := boot - lastBoot - now.Sub(last); suspended >= minSuspension {
		p.Suspended = suspended
	}
	k.Log.Warn("the process did not run", zap.Duration("pause", boot-lastBoot), zap.Duration("suspended", p.Suspended))
	if k.OnPause != nil {
		k.OnPause(p)
	}
}
