package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// Time bounds of the checked guarantees, with the values used in deployments.
const (
	// drainTime is how long a replica that leaves may still receive new requests.
	drainTime = 2 * time.Second
	// maxConfigurationDelay is the time in which entry daemons apply a new
	// configuration.
	maxConfigurationDelay = 2 * time.Second
	// maxVersionDelay is the time in which requests stop being run on a replaced
	// model version.
	maxVersionDelay = 6 * time.Second
	// lossSlack is the time in which a daemon may close a connection on which it has
	// not read a request yet.
	lossSlack = 200 * time.Millisecond
	// lateStopTime is how long after SIGTERM requests are sent that must be answered
	// before the daemon ends. Earlier ones may be cut from lastStopTime on while their
	// replicas still run them.
	lateStopTime = 3 * time.Second
	lastStopTime = stopTimeout * 5 / 6
	// maxPartCrashes is the number of crashes from which on requests with the part
	// that causes them must not be sent to replicas, except maxLateArrivals.
	maxPartCrashes  = 5
	maxLateArrivals = 3
	// stopTimeout is the time in which a daemon ends after SIGTERM.
	stopTimeout = 8 * time.Second
	// stableWindow is how long the components that a bound depends on must be
	// undisturbed before the bound is checked.
	stableWindow = 3 * time.Second
	// schedulingSlack is added to the bounds because the machine runs more
	// processes than it has cores.
	schedulingSlack = 700 * time.Millisecond
	maxViolations   = 20
)

// violation is an observed breach of a guarantee.
type violation struct {
	Rule string
	Text string
	At   time.Duration
}

// route is a route of the configuration and the attempts that it allows.
type route struct {
	Name     string
	Prefix   string
	Kind     matcher.Kind
	Service  string
	Attempts int
}

var (
	routeStream = route{Name: "stream", Prefix: "/stream/", Kind: matcher.Streaming, Service: "llm", Attempts: 3}
	routeOrder  = route{Name: "order", Prefix: "/order/", Kind: matcher.NonIdempotent, Service: "orders", Attempts: 3}
	routeLookup = route{Name: "look", Prefix: "/look/", Kind: matcher.Idempotent, Service: "lookup", Attempts: 3}
)

// request is one request of a caller and what is known about its execution.
type request struct {
	simulator.Request
	Route route
	Team  string
	// Entry is the index of the entry VM that the caller sent it to.
	Entry int
	Sent  time.Time
	// Crashes is set if the request crashes the replicas that run it.
	Crashes bool

	// written is when the last byte was written to the connection.
	written time.Time
	// arrivedAt is the last replica that the request reached, arrived when it did, and
	// completed whether that replica has written the whole response.
	arrivedAt string
	arrived   time.Time
	completed bool
	// lastSender is the replica that sent an event last, lastSent when it did, and longestGap
	// the longest time between two events.
	lastSender string
	lastSent   time.Time
	longestGap time.Duration
	// replicas lists the replicas that ran it.
	replicas []string
	// refused is set when the caller received a status that says that the request
	// did not run.
	refused bool
	// leaving lists the responses in which replicas say that they leave.
	leaving []leavingResponse
}

// checker compares the requests that replicas run with the requests that callers
// sent and the responses that they got, while the system runs. Start is set
// before use.
type checker struct {
	Start time.Time

	mu                sync.Mutex
	requests          map[string]*request
	disturbances      []disturbance
	stops             []stop
	restores          []time.Time
	leftAt            map[string]time.Time
	endedAt           map[string]time.Time
	leavingHops       map[hop]passedResponse
	holdOffs          map[hop][]*holdOff
	partCrashes       []time.Time
	lateArrivals      int
	limitChanges      map[string][]limitChange
	versionChanges    []versionChange
	routes            map[string]*routeLifetime
	violations        []violation
	droppedViolations int
	counts            map[string]int
	results           []result
	stalls            []string
	// domains holds the failure domains of the VMs of replicas.
	domains map[string]string
	// allowedRegions holds the regions of restricted routes and teams by name. It is set before the start.
	allowedRegions map[string]matcher.Regions
	evacuations    []evacuation
	// cold holds the replicas that have been cold.
	cold map[string]*coldReplica
}

// versionChange is a model version and the time at which it was written to the
// store.
type versionChange struct {
	version   int
	writtenAt time.Time
}

// routeLifetime holds the times at which the configurations that added and
// removed a route were written to the store.
type routeLifetime struct {
	added, removed time.Time
}

// result is the outcome of a request.
type result struct {
	at     time.Time
	served bool
}

func newChecker(now time.Time) *checker {
	return &checker{
		Start: now, requests: map[string]*request{}, leftAt: map[string]time.Time{}, endedAt: map[string]time.Time{},
		leavingHops: map[hop]passedResponse{}, holdOffs: map[hop][]*holdOff{}, limitChanges: map[string][]limitChange{}, routes: map[string]*routeLifetime{}, counts: map[string]int{}, domains: map[string]string{}, cold: map[string]*coldReplica{},
	}
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

// addViolationLocked records a violation. The caller holds c.mu.
func (c *checker) addViolationLocked(rule, format string, args ...any) {
	if len(c.violations) == maxViolations {
		c.droppedViolations++
		return
	}
	c.violations = append(c.violations, violation{Rule: rule, Text: fmt.Sprintf(format, args...), At: time.Since(c.Start)})
}

func (c *checker) recordSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.ID] = r
	c.counts["sent"]++
}

// recordWritten records that the whole request was written to the connection.
func (c *checker) recordWritten(r *request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.written = now
}

// recordStop records that an entry daemon is stopped with SIGTERM.
func (c *checker) recordStop(entry int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, stop{entry: entry, at: now})
}

// recordPartCrash records that a replica crashed because of a part of a prompt.
func (c *checker) recordPartCrash(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partCrashes = append(c.partCrashes, now)
	c.counts["part crashes"]++
}

// Ended implements simulator.Observer.
func (c *checker) Ended(replica string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt[replica] = now
}

// Completed implements simulator.Observer.
func (c *checker) Completed(replica, id string, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && r.arrivedAt == replica {
		r.completed = true
	}
}

// Leaving implements simulator.Observer.
func (c *checker) Leaving(replica string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[replica] = now
}

// recordVersion records that a model version was written to the store.
func (c *checker) recordVersion(version int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionChanges = append(c.versionChanges, versionChange{version: version, writtenAt: now})
}

// Arrived implements simulator.Observer. It checks that no request reaches a
// replica that left or wants none, whether the request runs or not.
func (c *checker) Arrived(replica, id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.arrivedAt, r.arrived, r.completed = replica, now, false
	if r.Crashes {
		c.checkPartCrash(r, now)
	}
	c.checkLeaving(r, replica)
	c.checkHoldOff(r, replica, now)
	c.checkEvacuation(r, replica, now)
	c.checkRegion(r, replica)
	c.checkCold(r, replica, now)
	leftAt, hasLeft := c.leftAt[replica]
	if !hasLeft {
		return
	}
	elapsed := now.Sub(leftAt)
	if elapsed > drainTime+schedulingSlack && r.Sent.After(leftAt) && c.undisturbed(leftAt, false, subjectStore, entrySubject(r.Entry)) {
		c.addViolationLocked("DRAIN", "%s reached replica %s %s after it left, through entry %d", id, replica, elapsed.Round(time.Millisecond), r.Entry)
	}
}

// checkPartCrash reports requests that reach replicas although a part of their prompts
// is known to crash replicas.
func (c *checker) checkPartCrash(r *request, now time.Time) {
	if len(c.partCrashes) < maxPartCrashes {
		return
	}
	elapsed := now.Sub(c.partCrashes[maxPartCrashes-1])
	if elapsed < stableWindow+schedulingSlack || !c.undisturbed(now, false, subjectStore, entrySubject(r.Entry), linkSubject(vmOf(r.arrivedAt))) {
		return
	}
	c.lateArrivals++
	if c.lateArrivals > maxLateArrivals {
		c.addViolationLocked("BUDGET", "%s reached replica %s through entry %d, %s after crash %d of the part", r.ID, r.arrivedAt, r.Entry, elapsed.Round(time.Millisecond), maxPartCrashes)
	}
}

// LoadedCorrupt implements simulator.Observer.
func (c *checker) LoadedCorrupt(vm string, version, chunk int) {
	c.addViolation("WHOLE", "%s is ordered to load version %d with chunk %d missing or corrupt", vm, version, chunk)
}

// Ran implements simulator.Observer. It checks a request that a replica starts to
// run.
func (c *checker) Ran(run simulator.Run, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["ran"]++
	r := c.requests[run.ID]
	if r == nil {
		c.addViolationLocked("UNASKED", "replica %s runs %q, which no caller sent", run.Replica, run.ID)
		return
	}
	r.replicas = append(r.replicas, run.Replica)
	c.checkContent(r, run)
	if r.Route.Kind == matcher.NonIdempotent && len(r.replicas) > 1 {
		c.addViolationLocked("TWICE", "%s ran on %v", r.ID, r.replicas)
	}
	if l := c.loosestLimits(r); len(r.replicas) > l.attempts {
		c.addViolationLocked("BUDGET", "%s ran on %v, allowed are %d", r.ID, r.replicas, l.attempts)
	}
	if r.refused {
		c.addViolationLocked("REFUSED", "%s runs on %s after its caller was told that it has not run", r.ID, run.Replica)
	}
	if run.Version > 0 {
		c.checkVersion(r, run, now)
	}
}

func (c *checker) checkContent(r *request, run simulator.Run) {
	if run.Service != r.Route.Service && (r.Route.Name != routeStream.Name || run.Service != secondStreamService) {
		c.addViolationLocked("ROUTE", "%s for %s runs on %s of %s", r.ID, r.Route.Service, run.Replica, run.Service)
	}
	if run.Method != http.MethodPost || run.Path != r.Path || run.Body != r.Body || !slices.Equal(run.Prompt, r.Prompt) {
		c.addViolationLocked("UNASKED", "%s was changed to %s %s with %d bytes", r.ID, run.Method, run.Path, len(run.Body))
	}
	if run.KeyPassed || run.Team != r.Team || r.Team == "" {
		c.addViolationLocked("UNASKED", "%s of team %q runs for %q", r.ID, r.Team, run.Team)
	}
}

// checkVersion reports a run on a model version that was replaced more than
// maxVersionDelay ago.
func (c *checker) checkVersion(r *request, run simulator.Run, now time.Time) {
	for _, change := range c.versionChanges {
		due := c.dueFrom(change.writtenAt, subjectStore)
		if change.version <= run.Version || now.Sub(due) < maxVersionDelay+schedulingSlack {
			continue
		}
		if c.undisturbed(due, false, subjectStore) && c.undisturbed(r.Sent, false, entrySubject(r.Entry)) {
			age := now.Sub(change.writtenAt)
			c.addViolationLocked("VERSION", "%s starts on version %d on %s, %s after version %d was written to the store", r.ID, run.Version, run.Replica, age.Round(time.Millisecond), change.version)
			return
		}
	}
}

// checkStatus checks the status of a response.
func (c *checker) checkStatus(r *request, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("status %d", status)]++
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		// These statuses say that the request did not run. That is guaranteed only
		// for non-idempotent requests.
		r.refused = r.Route.Kind == matcher.NonIdempotent
		if r.refused && len(r.replicas) > 0 {
			c.addViolationLocked("REFUSED", "%s was answered %d and ran on %v", r.ID, status, r.replicas)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.addViolationLocked("DENIED", "%s on route %s was answered %d by entry %d", r.ID, r.Route.Name, status, r.Entry)
	}
}

// recordResult records whether a request was served.
func (c *checker) recordResult(served bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served {
		c.counts["served"]++
	}
	c.results = append(c.results, result{at: now, served: served})
}

// checkLostConnection checks a connection that ended without a complete response. An
// entry daemon that has read a request must not end its connection, also while it stops.
func (c *checker) checkLostConnection(r *request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.written.IsZero() {
		return
	}
	c.counts["cut"]++
	read := r.arrivedAt != "" || now.Sub(r.written) > lossSlack+schedulingSlack
	expired := now.Sub(r.written) >= min(r.Deadline, c.loosestLimits(r).timeout)
	if !read || expired || c.replicaBrokeOff(r) || r.outlastsPatience(now) || c.outlastsStop(r, now) || !c.undisturbed(r.Sent, true, entrySubject(r.Entry)) {
		return
	}
	text := ""
	for _, s := range c.stops {
		if s.entry == r.Entry && s.at.Before(now) && now.Sub(s.at) < stopTimeout+schedulingSlack {
			text = fmt.Sprintf(", %s after SIGTERM and %s after it was sent", now.Sub(s.at).Round(time.Millisecond), now.Sub(r.written).Round(time.Millisecond))
			break
		}
	}
	c.addViolationLocked("LOST", "the connection of %s to entry %d ended without an answer%s; it reached %q and ran on %v", r.ID, r.Entry, text, r.arrivedAt, r.replicas)
}

// replicaBrokeOff reports whether the replica that ran a request last, the one that it
// reached last, or one that has sent an event since then may have ended the response itself.
func (c *checker) replicaBrokeOff(r *request) bool {
	replicas := []string{r.arrivedAt}
	if n := len(r.replicas); n > 0 {
		replicas = append(replicas, r.replicas[n-1])
	}
	if r.lastSent.After(r.arrived) {
		// A daemon goes on with the first replica to respond, if it asked another one.
		replicas = append(replicas, r.lastSender)
	}
	return slices.ContainsFunc(replicas, func(replica string) bool {
		_, ended := c.endedAt[replica]
		vm := vmOf(replica)
		return ended || !c.undisturbed(r.Sent, false, replicaSubject(vm), linkSubject(vm))
	})
}

// outlastsStop reports whether a request that was sent early enough still runs at its
// replica when the time for the stop of its entry daemon ends.
func (c *checker) outlastsStop(r *request, now time.Time) bool {
	if len(r.replicas) == 0 || r.completed {
		return false
	}
	return slices.ContainsFunc(c.stops, func(s stop) bool {
		return s.entry == r.Entry && !r.written.After(s.at.Add(lateStopTime)) && !now.Before(s.at.Add(lastStopTime)) && now.Before(s.at.Add(stopTimeout+time.Second))
	})
}

// servedRatio returns the ratio of requests served since a time, and the number
// of requests.
func (c *checker) servedRatio(since time.Time) (ratio float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, res := range c.results {
		if res.at.Before(since) {
			continue
		}
		n++
		if res.served {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

// recordRoutes records the extra routes of the configuration that was just
// written to the store.
func (c *checker) recordRoutes(routes []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range routes {
		if c.routes[name] == nil {
			c.routes[name] = &routeLifetime{added: now}
		}
	}
	for name, lifetime := range c.routes {
		if lifetime.removed.IsZero() && !slices.Contains(routes, name) {
			lifetime.removed = now
		}
	}
}

// checkProbe checks the status of a request on an extra route.
func (c *checker) checkProbe(r *request, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lifetime := c.routes[r.Route.Name]
	if lifetime == nil || status == http.StatusServiceUnavailable {
		return
	}
	changed, present := lifetime.added, true
	if !lifetime.removed.IsZero() {
		changed, present = lifetime.removed, false
	}
	subjects := []string{subjectStore, entrySubject(r.Entry)}
	due := c.dueFrom(changed, subjects...)
	if r.Sent.Sub(due) < maxConfigurationDelay+schedulingSlack || (status != http.StatusNotFound) == present {
		return
	}
	if c.undisturbed(due, false, subjects...) {
		age := r.Sent.Sub(changed)
		c.addViolationLocked("CONFIG", "route %s, present=%v for %s, was answered %d by entry %d", r.Route.Name, present, age.Round(time.Millisecond), status, r.Entry)
	}
}

// randomExtraRoute returns an extra route, present or removed, if there has been
// any.
func (c *checker) randomExtraRoute(choose func(n int) int) (name string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.routes {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	return names[choose(len(names))], true
}
