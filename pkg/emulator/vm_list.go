package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const (
	// maxListBytes limits the body of a request that sets the list.
	maxListBytes = 4_000_000
	// maxPendingLists limits the lists that are set but not yet visible; the
	// oldest is dropped first.
	maxPendingLists = 1_000
)

// VMList emulates the platform's list of VMs. `GET /v1/vms` returns the list as
// it was Lag ago, `PUT /v1/vms` sets it:
//
//	{"vms":[{"vm":"central-a-1","leaving":false}]}
type VMList struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration

	mu      sync.Mutex
	visible []adapter.ListedVM
	pending []pendingList
}

type pendingList struct {
	vms   []adapter.ListedVM
	setAt time.Time
}

type vmListBody struct {
	VMs []adapter.ListedVM `json:"vms"`
}

// Set replaces the list. The change becomes visible after the lag.
func (l *VMList) Set(now time.Time, vms []adapter.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyVisibleLocked(now)
	if len(l.pending) >= maxPendingLists {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, pendingList{vms: append([]adapter.ListedVM(nil), vms...), setAt: now})
}

// SetLag sets the lag, also for changes that are not visible yet.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Lag = lag
}

// At returns the list that is visible at a time.
func (l *VMList) At(now time.Time) []adapter.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyVisibleLocked(now)
	return append([]adapter.ListedVM{}, l.visible...)
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/vms" {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		writeJSONStatus(w, http.StatusOK, vmListBody{VMs: l.At(time.Now())})
	case http.MethodPut:
		l.serveSet(w, r)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (l *VMList) serveSet(w http.ResponseWriter, r *http.Request) {
	var body vmListBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxListBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(time.Now(), body.VMs)
	w.WriteHeader(http.StatusNoContent)
}

// applyVisibleLocked applies the pending lists whose lag has passed.
func (l *VMList) applyVisibleLocked(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].setAt.Add(l.Lag)) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
}
