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

// Times of the checked guarantees, as the deployments have them.
const (
	drainTime         = 2 * time.Second
	configurationTime = 2 * time.Second
	versionTime       = 6 * time.Second
	stopTime          = 8 * time.Second
	// stableWindow is how long everything that a bound depends on has to be
	// undisturbed before the bound holds.
	stableWindow = 3 * time.Second
	// machineSlack covers the scheduling of a machine with more processes than
	// cores.
	machineSlack = 700 * time.Millisecond
	maxViolation = 20
)

// violation is a guarantee that was seen broken.
type violation struct {
	Rule string
	Text string
	At   time.Duration
}

// route is one of the routes that callers use.
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
	routeLook   = route{Name: "look", Prefix: "/look/", Kind: matcher.Idempotent, Service: "lookup", Attempts: 3}
)

// request is one attempt of a caller.
type request struct {
	simulator.Request
	Route route
	Team  string
	// Entry is the entry VM that the caller sent it to.
	Entry int
	Sent  time.Time

	// replicas are those that ran it.
	replicas []string
	// refused is set once the caller was told that it has not run.
	refused bool
}

// span is a time in which something was disturbed.
type span struct {
	subject  string
	planned  bool
	from, to time.Time
}

// ledger compares what replicas run with what callers sent and were told, while
// the system runs. Start is set before use.
type ledger struct {
	Start time.Time

	mu         sync.Mutex
	requests   map[string]*request
	spans      []span
	leftAt     map[string]time.Time
	versions   []named
	routes     map[string]*lifetime
	violations []violation
	dropped    int
	counts     map[string]int
	recent     []result
}

// named is a model version and when the store took it.
type named struct {
	version int
	at      time.Time
}

// lifetime is when the store took the configurations that added and removed a
// route.
type lifetime struct {
	added, removed time.Time
}

// result is the end of a request.
type result struct {
	at     time.Time
	served bool
}

func newLedger(now time.Time) *ledger {
	return &ledger{Start: now, requests: map[string]*request{}, leftAt: map[string]time.Time{}, routes: map[string]*lifetime{}, counts: map[string]int{}}
}

func (l *ledger) violate(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report(rule, format, args...)
}

// report records a violation. It is called with the lock held.
func (l *ledger) report(rule, format string, args ...any) {
	if len(l.violations) == maxViolation {
		l.dropped++
		return
	}
	l.violations = append(l.violations, violation{Rule: rule, Text: fmt.Sprintf(format, args...), At: time.Since(l.Start)})
}

// disturb records that something is disturbed from now on and returns the
// function that ends it.
func (l *ledger) disturb(subject string, planned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.spans)
	l.spans = append(l.spans, span{subject: subject, planned: planned, from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spans[i].to = time.Now()
	}
}

// calm tells whether none of the subjects was disturbed in the stable window
// before a time or since.
func (l *ledger) calm(from time.Time, allowPlanned bool, subjects ...string) bool {
	for _, s := range l.spans {
		over := !s.to.IsZero() && s.to.Before(from.Add(-stableWindow))
		if over || allowPlanned && s.planned || !slices.Contains(subjects, s.subject) {
			continue
		}
		return false
	}
	return true
}

// Subjects of disturbances.
const (
	subjectStore    = "store"
	subjectReplicas = "replicas"
)

func entrySubject(i int) string { return fmt.Sprintf("entry %d", i) }

func agentSubject(i int) string { return fmt.Sprintf("agent %d", i) }

func (l *ledger) send(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = r
	l.counts["sent"]++
}

// Leaving implements simulator.Observer.
func (l *ledger) Leaving(replica string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leftAt[replica] = now
}

// name records that the store took a model version.
func (l *ledger) name(version int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, named{version: version, at: now})
}

// Arrived implements simulator.Observer. It checks a request that reached a
// replica, whether it runs or not.
func (l *ledger) Arrived(replica, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	left, leaving := l.leftAt[replica]
	if r == nil || !leaving {
		return
	}
	late := now.Sub(left)
	if late > drainTime+machineSlack && r.Sent.After(left) && l.calm(left, false, subjectStore, entrySubject(r.Entry)) {
		l.report("DRAIN", "%s reached replica %s %s after it left, through entry %d", id, replica, late.Round(time.Millisecond), r.Entry)
	}
}

// LoadedCorrupt implements simulator.Observer.
func (l *ledger) LoadedCorrupt(vm string, version, chunk int) {
	l.violate("WHOLE", "%s is ordered to load version %d with chunk %d missing or corrupt", vm, version, chunk)
}

// Ran implements simulator.Observer. It checks a request that a replica begins
// to run.
func (l *ledger) Ran(run simulator.Run, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["ran"]++
	r := l.requests[run.ID]
	if r == nil {
		l.report("UNASKED", "replica %s runs %q, which no caller sent", run.Replica, run.ID)
		return
	}
	r.replicas = append(r.replicas, run.Replica)
	l.checkContent(r, run)
	if r.Route.Kind == matcher.NonIdempotent && len(r.replicas) > 1 {
		l.report("TWICE", "%s ran on %v", r.ID, r.replicas)
	}
	if len(r.replicas) > r.Route.Attempts {
		l.report("BUDGET", "%s ran on %v, allowed are %d", r.ID, r.replicas, r.Route.Attempts)
	}
	if r.refused {
		l.report("REFUSED", "%s runs on %s after its caller was told that it has not run", r.ID, run.Replica)
	}
	if run.Version > 0 {
		l.checkVersion(r, run, now)
	}
}

func (l *ledger) checkContent(r *request, run simulator.Run) {
	if run.Service != r.Route.Service {
		l.report("ROUTE", "%s for %s runs on %s of %s", r.ID, r.Route.Service, run.Replica, run.Service)
	}
	if run.Method != http.MethodPost || run.Path != r.Path || run.Body != r.Body {
		l.report("UNASKED", "%s was changed to %s %s with %d bytes", r.ID, run.Method, run.Path, len(run.Body))
	}
	if run.KeyPassed || run.Team != r.Team || r.Team == "" {
		l.report("UNASKED", "%s of team %q runs for %q", r.ID, r.Team, run.Team)
	}
}

// checkVersion reports a run on a version that was replaced too long ago.
func (l *ledger) checkVersion(r *request, run simulator.Run, now time.Time) {
	for _, n := range l.versions {
		late := now.Sub(n.at)
		if n.version <= run.Version || late < versionTime+machineSlack {
			continue
		}
		if l.calm(n.at, false, subjectStore, entrySubject(r.Entry)) {
			l.report("VERSION", "%s begins on version %d on %s, %s after version %d was named", r.ID, run.Version, run.Replica, late.Round(time.Millisecond), n.version)
			return
		}
	}
}

// answered checks the status that a caller got.
func (l *ledger) answered(r *request, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[fmt.Sprintf("status %d", status)]++
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		// Requests that may be repeated are not covered by the promise.
		r.refused = r.Route.Kind == matcher.NonIdempotent
		if r.refused && len(r.replicas) > 0 {
			l.report("REFUSED", "%s was answered %d and ran on %v", r.ID, status, r.replicas)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		l.report("DENIED", "%s on route %s was answered %d by entry %d", r.ID, r.Route.Name, status, r.Entry)
	}
}

// ended records whether a request was served.
func (l *ledger) ended(served bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.counts["served"]++
	}
	l.recent = append(l.recent, result{at: now, served: served})
}

// cut checks a connection that ended without an answer. An entry daemon that
// stops as planned ends none.
func (l *ledger) cut(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["cut"]++
	if l.calm(r.Sent, true, entrySubject(r.Entry), subjectReplicas, subjectStore) && len(r.replicas) > 0 {
		l.report("LOST", "%s ran on %v and its connection to entry %d ended without an answer", r.ID, r.replicas, r.Entry)
	}
}

// served returns the share of requests served since a time.
func (l *ledger) served(since time.Time) (share float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := 0
	for _, r := range l.recent {
		if r.at.Before(since) {
			continue
		}
		n++
		if r.served {
			ok++
		}
	}
	return float64(ok) / float64(max(n, 1)), n
}

// configured records the routes that the newest configuration has beside the
// fixed ones.
func (l *ledger) configured(routes []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range routes {
		if l.routes[name] == nil {
			l.routes[name] = &lifetime{added: now}
		}
	}
	for name, life := range l.routes {
		if life.removed.IsZero() && !slices.Contains(routes, name) {
			life.removed = now
		}
	}
}

// probed checks the status of a request on a route that comes and goes.
func (l *ledger) probed(r *request, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	life := l.routes[r.Route.Name]
	if life == nil || status == http.StatusServiceUnavailable {
		return
	}
	changed, present := life.added, true
	if !life.removed.IsZero() {
		changed, present = life.removed, false
	}
	late := r.Sent.Sub(changed)
	if late < configurationTime+machineSlack || (status != http.StatusNotFound) == present {
		return
	}
	if l.calm(changed, false, subjectStore, entrySubject(r.Entry)) {
		l.report("CONFIG", "route %s, present %v for %s, is answered %d by entry %d", r.Route.Name, present, late.Round(time.Millisecond), status, r.Entry)
	}
}

// pickRoute returns one of the routes that come and go.
func (l *ledger) pickRoute(choose func(n int) int) (name string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name := range l.routes {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	return names[choose(len(names))], true
}
