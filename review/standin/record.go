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
	// arrivals holds the requests that replicas have accepted.
	arrivals map[string]bool
	// kills are the times at which processes exceeded their memory, and lost describes the
	// requests that had reached a replica and ended without an answer at such a time.
	kills []kill
	lost  []string
}

// kill is the end of a process that exceeded its memory.
type kill struct {
	Machine *machine
	At      time.Time
}

// closeOfKill is the time within which clients see the end of a process.
const closeOfKill = 500 * time.Millisecond

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{Start: time.Now(), file: f, out: bufio.NewWriter(f), senders: map[string]*machine{}, arrivals: map[string]bool{}}, nil
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

// arrived records that a replica has accepted a request.
func (r *record) arrived(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = true
	r.addLocked("arrived", "%s", id)
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

// killed records that a process exceeds its memory and is ended.
func (r *record) killed(m *machine, mb int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills = append(r.kills, kill{Machine: m, At: time.Now()})
	r.addLocked("memory", "%s has %d MB, more than %d, and is ended", m.Name, mb, memoryMB)
}

func (r *record) killTimes() []kill {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]kill(nil), r.kills...)
}

// closedWithoutAnswer records that a connection ended without any byte of an answer. It counts
// if a replica had accepted the request and the process has just ended for its memory.
func (r *record) closedWithoutAnswer(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := r.senders[id]
	for _, k := range r.kills {
		if k.Machine != sender || now.Sub(k.At) > closeOfKill {
			continue
		}
		if r.arrivals[id] {
			r.lost = append(r.lost, fmt.Sprintf("%s at %s", id, sender.Name))
			return
		}
	}
}

func (r *record) lostRequests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.lost...)
}
