package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// run is a request that a replica began to run.
type run struct {
	ID      string
	Replica string
	Version int
	Prompt  []simulator.PromptPart
	At      time.Time
	// InTouch is set if the machine that sent the request was in touch.
	InTouch bool
}

// spoilt is an order to load that a replica took although a staged piece was bad for longer
// than the rule allows.
type spoilt struct {
	Replica string
	Version int
	At      time.Time
	// Bad is for how long the piece was bad.
	Bad time.Duration
}

// record writes what was sent, answered and run to a file, and keeps what the rules need.
type record struct {
	Start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs []run
	// crashes are the times at which a request crashed a replica.
	crashes []time.Time
	spoilt  []spoilt
	// senders holds the entry machines that clients sent their requests to, by id.
	senders map[string]*machine
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{Start: time.Now(), file: f, out: bufio.NewWriter(f), senders: map[string]*machine{}}, nil
}

// add writes a line with the time since the start.
func (r *record) add(event, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(event, format, args...)
}

func (r *record) addLocked(event, format string, args ...any) {
	if r.file != nil {
		fmt.Fprintf(r.out, "%8.3f %-9s %s\n", time.Since(r.Start).Seconds(), event, fmt.Sprintf(format, args...))
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.file = nil
}

// sentTo records the entry machine that a client sends a request to.
func (r *record) sentTo(id string, m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senders[id] = m
}

// ran records that a replica began to run a request.
func (r *record) ran(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := r.senders[x.ID]
	x.InTouch = sender != nil && sender.inTouch(x.At)
	r.runs = append(r.runs, x)
	r.addLocked("ran", "%s at %s version %d", x.ID, x.Replica, x.Version)
}

// crashed records that a request crashed a replica.
func (r *record) crashed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, now)
	r.addLocked("crash", "number %d", len(r.crashes))
}

// loadsSpoilt records an order that a replica took with a bad piece.
func (r *record) loadsSpoilt(replica string, version, i int, bad time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoilt = append(r.spoilt, spoilt{Replica: replica, Version: version, At: time.Now(), Bad: bad})
	r.addLocked("spoilt", "%s takes an order to load version %d although piece %d has been bad for %s", replica, version, i, bad)
}

// crashTimes returns the times of the crashes so far.
func (r *record) crashTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// spoiltLoads returns the orders that replicas took with a bad piece.
func (r *record) spoiltLoads() []spoilt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]spoilt(nil), r.spoilt...)
}

// runsAfter returns the runs after a time of the requests for which matches returns true.
func (r *record) runsAfter(at time.Time, matches func(run) bool) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.At.After(at) && matches(x) {
			out = append(out, x)
		}
	}
	return out
}
