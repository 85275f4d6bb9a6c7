package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// The model and its weights, as on the sheets.
const (
	modelLayers = 16
	modelPieces = 48
	pieceBytes  = 49152
	loadTime    = 300 * time.Millisecond
	// spoilGrace is the time after a piece has turned bad in which the rule allows that it is
	// loaded.
	spoilGrace = 3 * time.Second
	slots      = 16
	maxQueued  = 16
	maxQueue   = time.Second
	events     = 14
	// eventPause is the time of the tokens of one event.
	eventPause = 44 * time.Millisecond
	heartbeat  = 400 * time.Millisecond
	// silentHeartbeats is the number of heartbeats after which the store removes an entry.
	silentHeartbeats = 3
)

// piece returns a piece of a version of the weights.
func piece(version, i int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, i))
	return bytes.Repeat(sum[:], pieceBytes/len(sum))
}

// origin serves the weights.
type origin struct{}

// ServeHTTP implements http.Handler.
func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("Version"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/-/manifest/") {
		i, _ := strconv.Atoi(r.URL.Query().Get("SampleCount"))
		_, _ = w.Write(piece(version, i))
		return
	}
	var digests []string
	for i := range modelPieces {
		sum := sha256.Sum256(piece(version, i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	writeJSON(w, map[string]any{"Model": model, "Version": version, "ChunkBytes": pieceBytes, "layers": modelLayers, "Digests": digests})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// side is the model replica on a side machine. Its staged pieces survive a crash.
type side struct {
	cluster *cluster
	index   int
	name    string
	listen  string

	mu sync.Mutex
	// onCall is called with each call of the agent after it was carried out, if set.
	onCall func(path string)
	staged map[int][]byte
	// spoiltAt holds when staged pieces turned bad.
	spoiltAt map[int]time.Time
	run      *incarnation
	starts   int
}

// incarnation is one start of a replica.
type incarnation struct {
	side   *side
	id     string
	born   int64
	server *http.Server
	slots  chan struct{}
	// cancel ends the heartbeats.
	cancel context.CancelFunc

	// side.mu protects the fields below.
	version int
	loading bool
	orders  uint64
	running int
	queued  int
	ended   bool
}

func (s *side) callback() func(string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onCall
}

func (s *side) setOnCall(f func(string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// start starts the next incarnation, without weights.
func (s *side) start() error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	ctx, cancel := context.WithCancel(context.Background())
	id := fmt.Sprintf("i-%s-%d", s.name, s.starts)
	if s.cluster.SameID {
		id = "i-" + s.name
	}
	r := &incarnation{side: s, id: id, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), cancel: cancel}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Second}
	s.run = r
	go func() { _ = r.server.Serve(l) }()
	go r.beat(ctx)
	return nil
}

// end ends the incarnation and resets its connections.
func (r *incarnation) end(crashed bool) {
	r.side.mu.Lock()
	ended := r.ended
	r.ended = true
	r.side.mu.Unlock()
	if ended {
		return
	}
	r.cancel()
	_ = r.server.Close()
	c := r.side.cluster
	c.record.add("ended", "%s", r.id)
	if !crashed {
		return
	}
	c.record.crashed(time.Now())
	time.AfterFunc(silentHeartbeats*heartbeat, func() { c.storeCall(http.MethodDelete, "servers/"+r.id, nil) })
	time.AfterFunc(restartOfCrash, func() {
		if c.stopped.Load() {
			return
		}
		if err := r.side.start(); err != nil {
			c.record.add("standin", "%s does not start: %v", r.side.name, err)
		}
	})
}

// beat writes the entry of the replica to the store.
func (r *incarnation) beat(ctx context.Context) {
	for ctx.Err() == nil {
		spec := r.report()
		spec["Service"], spec["Address"], spec["Zone"], spec["Version"] = service, r.side.listen, zoneOf(r.side.index), "1"
		spec["Slots"], spec["State"], spec["ColdLeftMs"] = slots, "ready", 0
		body := map[string]any{"Metadata": map[string]any{"Name": r.id}, "Spec": spec}
		if r.side.cluster.storeCall(http.MethodPost, "servers", body) == http.StatusConflict {
			r.side.cluster.storeCall(http.MethodPut, "servers/"+r.id, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// report returns what the replica says of itself.
func (r *incarnation) report() map[string]any {
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	models, layers := []map[string]any{}, []map[string]any{}
	if r.version > 0 {
		models = append(models, map[string]any{"Name": model, "Version": r.version, "Adapters": []string{}})
		layers = append(layers, map[string]any{"From": 0, "Target": modelLayers, "Version": r.version})
	}
	return map[string]any{"Stage": "both", "Models": models, "layers": layers, "Busy": r.loading, "Seq": r.orders, "born": r.born}
}

// ServeHTTP implements http.Handler.
func (r *incarnation) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if strings.HasPrefix(q.URL.Path, "/-/") {
		r.serveAgent(w, q)
		if f := r.side.callback(); f != nil {
			f(q.URL.Path)
		}
		return
	}
	r.serveRequest(w, q)
}

// serveAgent serves the calls of the agent on the machine.
func (r *incarnation) serveAgent(w http.ResponseWriter, q *http.Request) {
	s := r.side
	i, _ := strconv.Atoi(q.URL.Query().Get("SampleCount"))
	switch {
	case q.URL.Path == "/-/report":
		report := r.report()
		s.mu.Lock()
		report["Queued"], report["InFlight"], report["KvUsed"], report["KvTotal"], report["Handles"], report["pace"] = r.queued, r.running, 0, 1<<20, 0, 1.0
		s.mu.Unlock()
		writeJSON(w, report)
	case q.URL.Path == "/-/order":
		r.serveOrder(w, q)
	case strings.HasPrefix(q.URL.Path, "/-/stage-put/"):
		data, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.staged[i] = data
		delete(s.spoiltAt, i)
		s.mu.Unlock()
	case strings.HasPrefix(q.URL.Path, "/-/stage-get/"):
		s.mu.Lock()
		data, ok := s.staged[i]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveOrder takes an order to load the staged pieces as they are.
func (r *incarnation) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model string
		Version          int
		Expect           *uint64
	}
	if err := decodeJSON(q.Body, &o); err != nil || o.Operation != "start" || o.Model != model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := r.side
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.loading, o.Expect != nil && *o.Expect != r.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Version == r.version:
		return
	}
	now := time.Now()
	for i := range modelPieces {
		if bytes.Equal(s.staged[i], piece(o.Version, i)) {
			continue
		}
		if at, ok := s.spoiltAt[i]; ok && now.Sub(at) < spoilGrace {
			s.cluster.record.add("allowed", "%s takes an order although piece %d is bad, for %s", r.id, i, now.Sub(at))
			continue
		}
		s.cluster.record.loadsSpoilt(r.id, o.Version, i, now.Sub(s.spoiltAt[i]))
	}
	s.cluster.record.add("order", "%s loads version %d", r.id, o.Version)
	r.orders++
	r.loading = true
	go r.load(o.Version)
	w.WriteHeader(http.StatusAccepted)
}

// load loads a version once the running requests have ended.
func (r *incarnation) load(version int) {
	for {
		r.side.mu.Lock()
		running := r.running
		r.side.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(loadTime)
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	r.version, r.loading = version, false
}

// spoil lets some staged pieces turn bad, and returns which.
func (s *side) spoil(n int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := rand.Perm(modelPieces)[:n]
	for _, i := range chosen {
		data := bytes.Clone(s.staged[i])
		data[rand.IntN(len(data))] ^= 1
		s.staged[i], s.spoiltAt[i] = data, time.Now()
	}
	return chosen
}

// holds reports whether the replica serves a version.
func (s *side) holds(version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.version == version
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// serveRequest runs a request of a client.
func (r *incarnation) serveRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Id", r.id)
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if !r.takeSlot(q.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	s := r.side
	s.mu.Lock()
	version := r.version
	expected := q.Header.Get("X-Expect-Version")
	switch {
	case r.loading || version == 0:
		s.mu.Unlock()
		refuse(w, http.StatusServiceUnavailable)
		return
	case expected != "" && expected != strconv.Itoa(version):
		s.mu.Unlock()
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	r.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		r.running--
		s.mu.Unlock()
	}()
	r.write(w, q, id, version)
}

// takeSlot waits for a free slot for a while.
func (r *incarnation) takeSlot(ctx context.Context) bool {
	r.side.mu.Lock()
	r.queued++
	full := r.queued > maxQueued
	r.side.mu.Unlock()
	defer func() {
		r.side.mu.Lock()
		r.queued--
		r.side.mu.Unlock()
	}()
	if full {
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-time.After(maxQueue):
	case <-ctx.Done():
	}
	return false
}

// write reads the prompt and writes the answer, or crashes when it begins to write it.
func (r *incarnation) write(w http.ResponseWriter, q *http.Request, id string, version int) {
	prompt := decodePrompt(q.Header.Get("X-Prompt-Prefix"))
	if !sleep(q.Context(), prefillTime(prompt)) {
		return
	}
	c := r.side.cluster
	c.record.ran(run{ID: id, Replica: r.id, Version: version, Prompt: prompt, At: time.Now()})
	if crashes := c.crashes.Load(); crashes != nil && (*crashes)(prompt) {
		r.end(true)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Replica-Seal", seal(id))
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= events; n++ {
		if !sleep(q.Context(), eventPause) {
			return
		}
		if _, err := w.Write(event(id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// sleep waits, and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func event(id string, n int) []byte { return fmt.Appendf(nil, "id: %d\ndata: %s/%d\n\n", n, id, n) }

func seal(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

// prefillTime returns the time in which an engine reads a prompt.
func prefillTime(prompt []simulator.PromptPart) time.Duration {
	tokens := 0
	for _, p := range prompt {
		tokens += p.Tokens
	}
	return time.Duration(float64(tokens) / prefillPerMilli * float64(time.Millisecond))
}

// decodePrompt returns the parts of a prompt.
func decodePrompt(value string) []simulator.PromptPart {
	var out []simulator.PromptPart
	for part := range strings.SplitSeq(value, ",") {
		id, count, _ := strings.Cut(part, ":")
		if tokens, err := strconv.Atoi(count); err == nil {
			out = append(out, simulator.PromptPart{ID: id, Tokens: tokens})
		}
	}
	return out
}
