package main

import (
	"slices"
	"time"
)

// maxEvacuationDelay is the time in which requests and orders to load stop after an evacuation was written to
// the store. It is shorter than in deployments, so that most of an evacuation is checked.
const maxEvacuationDelay = 3 * time.Second

// evacuation is the time in which a failure domain is to be empty. Its end is zero while it lasts.
type evacuation struct {
	domain   string
	from, to time.Time
}

// recordReplicaDomain records the failure domain of a VM of replicas.
func (c *checker) recordReplicaDomain(vm, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains[vm] = domain
}

// beginEvacuation records that the store has acknowledged an evacuation, and endEvacuation that it is about to be
// removed.
func (c *checker) beginEvacuation(domain string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations = append(c.evacuations, evacuation{domain: domain, from: now})
	c.counts["evacuations"]++
}

func (c *checker) endEvacuation(domain string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.evacuations {
		if e.domain == domain && e.to.IsZero() {
			c.evacuations[i].to = now
		}
	}
}

// overdueEvacuation returns for how long a VM of replicas has been in an evacuated failure domain, if that is longer
// than all daemons may take to obey. Pauses, restarts and outages excuse nothing.
func (c *checker) overdueEvacuation(vm string, now time.Time) (elapsed time.Duration, overdue bool) {
	for _, e := range c.evacuations {
		due := c.dueFrom(e.from, subjectStore).Add(maxEvacuationDelay + schedulingSlack)
		if e.domain == c.domains[vm] && e.to.IsZero() && now.After(due) {
			return now.Sub(e.from).Round(time.Millisecond), true
		}
	}
	return 0, false
}

// checkEvacuation reports a request that reaches a replica in an evacuated failure domain, unless the link to
// it may have held the request up.
func (c *checker) checkEvacuation(r *request, replica string, now time.Time) {
	vm := vmOf(replica)
	if elapsed, overdue := c.overdueEvacuation(vm, now); overdue && c.undisturbed(now, false, linkSubject(vm)) {
		c.addViolationLocked("EVACUATED", "%s reached replica %s of %s through entry %d, %s after the evacuation", r.ID, replica, c.domains[vm], r.Entry, elapsed)
	}
}

// Ordered implements simulator.Observer. It reports an order to load in an evacuated failure domain.
func (c *checker) Ordered(vm string, version int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed, overdue := c.overdueEvacuation(vm, now); overdue {
		c.addViolationLocked("EVACUATED", "%s of %s is ordered to load version %d, %s after the evacuation", vm, c.domains[vm], version, elapsed)
	}
}

// checkRegion reports a request that reaches a replica in a region that its route or its team does not allow.
func (c *checker) checkRegion(r *request, replica string) {
	domain := c.domains[vmOf(replica)]
	for _, name := range []string{r.Route.Name, r.Team} {
		if allowed := c.allowedRegions[name]; len(allowed) > 0 && !slices.Contains(allowed, "region of "+domain) {
			c.addViolationLocked("REGION", "%s on route %s of team %s reached replica %s of %s", r.ID, r.Route.Name, r.Team, replica, domain)
			return
		}
	}
}
