package emulator

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

const maxRecordBytes = 1 << 20

// Service is a stand-in of a plain service that keeps records (orders,
// certificates) in memory. The exported fields are set before the first
// request.
type Service struct {
	// Latency is the time of each call.
	Latency time.Duration
	// CrashOn ends the process when a body contains it; empty never does.
	CrashOn string
	// Crash ends the process; nil exits with code 3.
	Crash func()

	start sync.Once
	mux   *http.ServeMux

	mu      sync.Mutex
	records []record
	bodies  map[string]int
}

type record struct {
	Number int    `json:"number"`
	Body   string `json:"body"`
}

type recordCount struct {
	Records    int `json:"records"`
	Distinct   int `json:"distinct"`
	Duplicates int `json:"duplicates"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.start.Do(s.setUp)
	s.mux.ServeHTTP(w, r)
}

func (s *Service) setUp() {
	if s.Crash == nil {
		s.Crash = func() { os.Exit(crashExitCode) }
	}
	s.bodies = map[string]int{}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /records", s.add)
	s.mux.HandleFunc("GET /records", s.list)
	s.mux.HandleFunc("GET /records/count", s.count)
	s.mux.HandleFunc("GET /healthz", s.health)
}

// add appends a record. A call that has been read is recorded also when its
// caller has gone, as in a service that commits before it answers.
func (s *Service) add(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.CrashOn != "" && bytes.Contains(body, []byte(s.CrashOn)) {
		s.Crash()
		return
	}
	s.mu.Lock()
	added := record{Number: len(s.records) + 1, Body: string(body)}
	s.records = append(s.records, added)
	s.bodies[added.Body]++
	s.mu.Unlock()
	if !waiter.Wait(r.Context(), s.Latency) {
		return
	}
	w.Header().Set("Location", "/records/"+strconv.Itoa(added.Number))
	writeJSONStatus(w, http.StatusCreated, added)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	if !waiter.Wait(r.Context(), s.Latency) {
		return
	}
	s.mu.Lock()
	records := append([]record{}, s.records...)
	s.mu.Unlock()
	writeJSON(w, records)
}

func (s *Service) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	count := recordCount{Records: len(s.records), Distinct: len(s.bodies)}
	s.mu.Unlock()
	count.Duplicates = count.Records - count.Distinct
	writeJSON(w, count)
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}
