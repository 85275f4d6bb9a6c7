package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// disturbance is a period in which a fault affected a subject. Its end is zero
// while the fault lasts.
type disturbance struct {
	subject  string
	planned  bool
	from, to time.Time
}

// stop is a SIGTERM to an entry daemon.
type stop struct {
	entry int
	at    time.Time
}

// beginDisturbance records that a subject is disturbed from now on and returns
// the function that ends the disturbance.
func (c *checker) beginDisturbance(subject string, planned bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.disturbances)
	c.disturbances = append(c.disturbances, disturbance{subject: subject, planned: planned, from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[i].to = time.Now()
	}
}

// undisturbed reports whether none of the subjects was disturbed after the
// beginning of the stable window that precedes from. With allowPlanned, planned
// disturbances do not count.
func (c *checker) undisturbed(from time.Time, allowPlanned bool, subjects ...string) bool {
	for _, d := range c.disturbances {
		ended := !d.to.IsZero() && !d.to.After(from.Add(-stableWindow))
		if ended || allowPlanned && d.planned || !slices.Contains(subjects, d.subject) {
			continue
		}
		return false
	}
	return true
}

// recordRestore records that the store was restored to an earlier state.
func (c *checker) recordRestore(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restores = append(c.restores, now)
	c.counts["restores"]++
}

// dueFrom returns the time from which the bound of a change that was written to the store
// runs. If the store was restored since then, the change is written again, and the bound runs
// from the end of the stable window after the last disturbance of the subjects.
func (c *checker) dueFrom(writtenAt time.Time, subjects ...string) time.Time {
	due := writtenAt
	if !slices.ContainsFunc(c.restores, writtenAt.Before) {
		return due
	}
	for _, d := range c.disturbances {
		if stable := d.to.Add(stableWindow); slices.Contains(subjects, d.subject) && stable.After(due) {
			due = stable
		}
	}
	return due
}

// Subjects of disturbances that are not daemons.
const subjectStore = "store"

// replicaSubject returns the subject for the replicas of a VM, and linkSubject the one
// for the link to them.
func replicaSubject(vm string) string { return "replica on " + vm }

func linkSubject(vm string) string { return "link to " + vm }

// replicaID returns the ID of the n-th replica of a VM, and vmOf the VM of a replica.
func replicaID(vm string, n int) string { return fmt.Sprintf("i-%s-%d", vm, n) }

func vmOf(replica string) string {
	return strings.TrimPrefix(replica[:max(strings.LastIndex(replica, "-"), 0)], "i-")
}

func entrySubject(i int) string { return fmt.Sprintf("entry %d", i) }

// processSubject returns the subject for the process of a daemon.
func processSubject(daemon string) string { return "process of " + daemon }

func agentSubject(i int) string { return fmt.Sprintf("agent %d", i) }
