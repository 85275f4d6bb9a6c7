package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents    = 12
	eventInterval   = 30 * time.Millisecond
	plainWork       = 15 * time.Millisecond
	replicaSlots    = 8
	replicaQueue    = 8
	queueWait       = time.Second
	registryRelease = "1"
	// replicaIdle is above the time for which daemons keep connections.
	replicaIdle = 5 * time.Second
)

// replica is a stand-in for one start of a replica. Fields are set before
// start.
type replica struct {
	ID      string
	Service string
	VM      string
	Zone    string
	// Listen is where it serves; Address is what it registers, a proxy.
	Listen  string
	Address string
	// Engine is nil for plain services.
	Engine *engine
	Ledger *ledger
	Store  *store

	server   *http.Server
	slots    chan struct{}
	queued   atomic.Int64
	running  atomic.Int64
	done     chan struct{}
	stopOnce sync.Once
	born     int64

	mu       sync.Mutex
	draining bool
	hidden   bool
	// losesAnswers runs requests and closes their connections.
	losesAnswers bool
	truncates    bool
}

// registration is what a replica says of itself in the store.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	Models                          []engineModel  `json:",omitempty"`
	Layers                          []engineLayers `json:"layers,omitempty"`
	Born                            int64          `json:"born"`
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	r.born = time.Now().UnixMilli()
	r.slots = make(chan struct{}, replicaSlots)
	r.done = make(chan struct{})
	r.server = &http.Server{Handler: r, IdleTimeout: replicaIdle}
	go r.run(l)
	go r.loop()
	return nil
}

func (r *replica) run(l net.Listener) { _ = r.server.Serve(l) }

// loop registers the replica until it ends.
func (r *replica) loop() {
	r.register(time.Now())
	for now := range ticks(r.done, heartbeat) {
		r.register(now)
	}
}

// register reports whether the store took the registration.
func (r *replica) register(now time.Time) bool {
	r.mu.Lock()
	state, hidden := "ready", r.hidden
	if r.draining {
		state = "draining"
	}
	r.mu.Unlock()
	if hidden {
		return false
	}
	reg := registration{Service: r.Service, Address: r.Address, Zone: r.Zone, Version: registryRelease, Slots: replicaSlots, State: state, Born: r.born}
	if r.Engine != nil {
		reg.Models, reg.Layers = r.Engine.held()
	}
	return r.Store.beat(r.ID, reg, now)
}

// crash ends the replica at once.
func (r *replica) crash() {
	r.stopOnce.Do(func() { close(r.done) })
	_ = r.server.Close()
}

// leave announces the end, serves on for a while and ends. Without a notice the
// registration is removed instead.
func (r *replica) leave(notice bool, extra time.Duration) {
	r.mu.Lock()
	r.draining, r.hidden = notice, !notice
	r.mu.Unlock()
	for !r.announceEnd(notice) {
		time.Sleep(heartbeat / 4)
	}
	r.Ledger.left(r.ID, time.Now())
	time.Sleep(drainTime + extra)
	r.crash()
	r.Store.remove(kindReplicas, r.ID)
}

// announceEnd reports whether the store took the notice, or the removal.
func (r *replica) announceEnd(notice bool) bool {
	if notice {
		return r.register(time.Now())
	}
	return r.Store.remove(kindReplicas, r.ID)
}

func (r *replica) set(change func(*replica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if len(q.URL.Path) > 3 && q.URL.Path[:3] == "/-/" {
		if r.Engine == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		r.Engine.ServeHTTP(w, q)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Id", r.ID)
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.Ledger.arrived(r, id, time.Now())
	if id == "" {
		notRun(w, http.StatusBadRequest)
		return
	}
	if !r.enter(q) {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer r.exit()
	if r.Engine != nil {
		r.stream(w, q, id, body)
		return
	}
	r.plain(w, q, id, body)
}

// enter waits for a slot.
func (r *replica) enter(q *http.Request) bool {
	defer r.queued.Add(-1)
	if r.queued.Add(1) > replicaQueue {
		return false
	}
	timer := time.NewTimer(queueWait)
	defer timer.Stop()
	select {
	case r.slots <- struct{}{}:
		r.running.Add(1)
		return true
	case <-timer.C:
	case <-q.Context().Done():
	}
	return false
}

func (r *replica) exit() {
	r.running.Add(-1)
	<-r.slots
}

// plainBody is the answer of a plain service to an attempt.
func plainBody(service, id string) []byte {
	return fmt.Appendf(nil, "%s did %s\n", service, id)
}

func seal(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func (r *replica) plain(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	r.Ledger.ran(r, 0, q, body, time.Now())
	time.Sleep(plainWork)
	r.mu.Lock()
	loses, truncates := r.losesAnswers, r.truncates
	r.mu.Unlock()
	if loses {
		abort()
	}
	answer := plainBody(r.Service, id)
	w.Header().Set("X-Replica-Seal", seal(answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if truncates {
		_, _ = w.Write(answer[:len(answer)/2])
		abort()
	}
	_, _ = w.Write(answer)
}

// streamEvent is the n-th event of the answer to an attempt.
func streamEvent(id string, n int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s/%d\n\n", n, id, n)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	version, born, ok := r.Engine.begin(q.Header.Get("X-Expect-Version"))
	switch {
	case !ok && version > 0:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !ok:
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer r.Engine.end(born)
	r.Ledger.ran(r, version, q, body, time.Now())
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Replica-Seal", seal([]byte(id)))
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventInterval)
		r.mu.Lock()
		loses := r.losesAnswers || r.truncates && n > streamEvents/2
		r.mu.Unlock()
		if loses {
			abort()
		}
		if _, err := w.Write(streamEvent(id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
