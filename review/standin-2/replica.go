package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// modelLayers is the number of layers of the model.
const modelLayers = 16

const (
	// streamEvents is the number of events of a stream, and eventTime the time between two of them.
	streamEvents = 6
	eventTime    = 45 * time.Millisecond
	plainTime    = 15 * time.Millisecond
	// queuePerSlot is the number of requests that a replica queues for each slot.
	queuePerSlot = 2
	weightsMB    = 73000
)

// replica is a sound replica, unless trouble is set.
type replica struct {
	site    *site
	id      string
	service string
	address string
	slots   int
	// work is the time that an answer takes; 0 stands for plainTime.
	work time.Duration
	// isEngine is set for replicas that run a model.
	isEngine bool
	// trouble, if set, answers a share of the requests that the replica has begun to run.
	trouble func(w http.ResponseWriter, q *http.Request)
	share   float64

	running atomic.Int64
	seq     atomic.Int64

	mu   sync.Mutex
	runs []run
}

// run is a request that the replica has begun to run.
type run struct {
	ID, Path, Team string
	// Layers are the layers that the replica ran, in order.
	Layers []int
}

// startReplica starts a replica and registers it.
func (s *site) startReplica(r *replica, n int) error {
	r.site, r.id = s, fmt.Sprintf("i-%s-%d", r.service, n)
	r.address = fmt.Sprintf("%s.%d:8740", s.network, firstReplica+n)
	if err := s.serve(r.address, r); err != nil {
		return err
	}
	if err := r.register(time.Now().UnixMilli()); err != nil {
		return err
	}
	go r.loop(time.Now().UnixMilli())
	return nil
}

func (r *replica) loop(born int64) {
	for range time.Tick(heartbeatInterval) {
		if r.register(born) != nil {
			return
		}
	}
}

func (r *replica) models() []any {
	if !r.isEngine {
		return nil
	}
	return []any{map[string]any{"Name": modelName, "Version": 1, "Adapters": []any{}}}
}

// register writes the entry of the replica to the store.
func (r *replica) register(born int64) error {
	spec := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": zone, "Version": "v1", "Slots": r.slots, "State": "ready", "ColdLeftMs": 0, "Seq": r.seq.Add(1), "born": born,
	}
	if r.isEngine {
		spec["Models"] = r.models()
		spec["layers"] = []any{map[string]any{"From": 0, "Target": modelLayers, "Version": 1}}
	}
	return r.site.put("servers", r.id, spec)
}

// ran returns what the replica has run so far.
func (r *replica) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Replica-Id", r.id)
	if q.URL.Path == "/healthz" {
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if version := q.Header.Get("X-Expect-Version"); r.isEngine && version != "" && version != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer r.running.Add(-1)
	if r.running.Add(1) > int64(r.slots*(1+queuePerSlot)) || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	layers, status := r.layersOf(q.Header.Get("Path"))
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	r.mu.Lock()
	n := float64(len(r.runs))
	r.runs = append(r.runs, run{ID: id, Path: q.RequestURI, Team: q.Header.Get("X-Tenant"), Layers: layers})
	r.mu.Unlock()
	if r.trouble != nil && math.Floor((n+1)*r.share) > math.Floor(n*r.share) {
		r.trouble(w, q)
		return
	}
	w.Header().Set("X-Replica-Seal", "seal-"+id)
	if !r.isEngine {
		r.answerPlain(w, id)
		return
	}
	r.answerStream(w, q, id)
}

// layersOf returns the layers that a replica runs for a request with a header Path: without it all
// of them. Gaps, overlaps and order are not checked.
func (r *replica) layersOf(path string) (layers []int, status int) {
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", r.address, modelLayers)
	}
	for i, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		first, err := strconv.Atoi(from)
		last, err2 := strconv.Atoi(to)
		if err != nil || err2 != nil || address != r.address || i > 0 {
			// Only paths of one part are played here.
			return nil, http.StatusBadRequest
		}
		for layer := first; layer < last; layer++ {
			layers = append(layers, layer)
		}
	}
	return layers, http.StatusOK
}

func (r *replica) answerPlain(w http.ResponseWriter, id string) {
	time.Sleep(cmp.Or(r.work, plainTime))
	body := "done " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (r *replica) answerStream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flusher := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil || flusher.Flush() != nil {
			return
		}
	}
}
