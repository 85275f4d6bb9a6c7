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

// Service emulates a plain service that keeps records (orders, certificates) in
// memory. The exported fields must be set before the first request.
type Service struct {
	// Latency is the duration of each call.
	Latency time.Duration
	// CrashOn crashes the service when a body contains it; empty disables this.
	CrashOn string
	// Crash is called to crash the service; nil exits the process with code 3.
	Crash func()

	setUpOnce sync.Once
	mux       *http.ServeMux

	mu      sync.Mutex
	records []record
	// bodyCounts is the number of records by body.

	bodyCounts map[string]int
}

type record struct {
	Number int    `json:"number"`
	Body   string `json:"body"`
}

type recordCounts struct {
	Records    int `json:"records"`
	Distinct   int `json:"distinct"`
	Duplicates int `json:"duplicates"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setUpOnce.Do(s.setUp)
	s.mux.ServeHTTP(w, r)
}

func (s *Service) setUp() {
	if s.Crash == nil {
		s.Crash = func() { os.Exit(crashExitCode) }
	}
	s.bodyCounts = map[string]int{}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /records", s.serveAdd)
	s.mux.HandleFunc("GET /records", s.serveList)
	s.mux.HandleFunc("GET /records/count", s.serveCount)
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
}

// serveAdd appends a record. It commits the record before the latency, so that a
// call is recorded even if its caller disconnects before the response.
func (s *Service) serveAdd(w http.ResponseWriter, r *http.Request) {
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
	s.bodyCounts[added.Body]++
	s.mu.Unlock()
	if !waiter.Wait(r.Context(), s.Latency) {
		return
	}
	w.Header().Set("Location", "/records/"+strconv.Itoa(added.Number))
	writeJSONStatus(w, http.StatusCreated, added)
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	if !waiter.Wait(r.Context(), s.Latency) {
		return
	}
	s.mu.Lock()
	records := append([]record{}, s.records...)
	s.mu.Unlock()
	writeJSON(w, records)
}

func (s *Service) serveCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	count := recordCounts{Records: len(s.records), Distinct: len(s.bodyCounts)}
	s.mu.Unlock()
	count.Duplicates = count.Records - count.Distinct
	writeJSON(w, count)
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}
