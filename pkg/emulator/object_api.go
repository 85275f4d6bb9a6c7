package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const (
	// maxFaultBytes limits the body of a request that sets faults.
	maxFaultBytes = 4096
	// maxKeyBytes limits the length of a key.
	maxKeyBytes = 512
)

// ObjectAPI emulates the platform's object API over HTTP. Its limits and faults
// are the fields of MemoryObjects. During an outage it closes connections without
// a response.
//
//	GET/PUT/DELETE /v1/objects/{key…}   If-Match: "7" or If-None-Match: *
//	GET            /v1/objects?prefix=
//	GET            /v1/watch?prefix=&after=
//	GET            /stats
//	POST           /faults   {"down":true,"delay-ms":5,"lose-answers":1,"replay-watch":1}
//	POST           /copy     keeps a copy of the objects
//	POST           /restore  returns to that copy and begins a new era
type ObjectAPI struct {
	MemoryObjects

	setUpOnce sync.Once
	mux       *http.ServeMux

	copyMu sync.Mutex
	copied ObjectCopy
}

type objectJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type listResponse struct {
	Objects []objectJSON `json:"objects"`
}

type watchResponse struct {
	Changes []objectJSON `json:"changes"`
	Version uint64       `json:"version"`
}

type faultsRequest struct {
	Down        *bool  `json:"down"`
	DelayMillis *int64 `json:"delay-ms"`
	LoseAnswers *int   `json:"lose-answers"`
	ReplayWatch *int   `json:"replay-watch"`
}

// ServeHTTP implements http.Handler.
func (a *ObjectAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.setUpOnce.Do(a.setUp)
	a.mux.ServeHTTP(&eraWriter{ResponseWriter: w, objects: &a.MemoryObjects}, r)
}

// eraWriter adds the era to a response. The era is read when the response is
// written, because a watch may wait through a restore.
type eraWriter struct {
	http.ResponseWriter
	objects *MemoryObjects
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.written && w.Header().Get(adapter.EraHeader) == "" {
		setEra(w, w.objects.Era())
	}
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap supports http.ResponseController.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(adapter.EraHeader, strconv.FormatUint(era, 10))
}

func (a *ObjectAPI) setUp() {
	a.mux = http.NewServeMux()
	a.mux.HandleFunc("GET /v1/objects", a.serveList)
	a.mux.HandleFunc("GET /v1/objects/{key...}", a.serveGet)
	a.mux.HandleFunc("PUT /v1/objects/{key...}", a.servePut)
	a.mux.HandleFunc("DELETE /v1/objects/{key...}", a.serveDelete)
	a.mux.HandleFunc("GET /v1/watch", a.serveWatch)
	a.mux.HandleFunc("GET /stats", a.serveStats)
	a.mux.HandleFunc("POST /faults", a.serveFaults)
	a.mux.HandleFunc("POST /copy", a.serveCopy)
	a.mux.HandleFunc("POST /restore", a.serveRestore)
}

func (a *ObjectAPI) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := a.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeObjectError(w, err)
		return
	}
	setEra(w, o.Era)
	w.Header().Set("ETag", formatETag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (a *ObjectAPI) serveList(w http.ResponseWriter, r *http.Request) {
	objects, err := a.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeObjectError(w, err)
		return
	}
	body := listResponse{Objects: []objectJSON{}}
	for _, o := range objects {
		setEra(w, o.Era)
		body.Objects = append(body.Objects, objectJSON{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	writeJSONStatus(w, http.StatusOK, body)
}

func (a *ObjectAPI) servePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if key == "" || len(key) > maxKeyBytes {
		http.Error(w, "the key must have 1 to 512 bytes", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adapter.MaxObjectBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	version, err := parseETag(r.Header.Get("If-Match"))
	create := r.Header.Get("If-None-Match") == "*"
	if create == (err == nil) {
		http.Error(w, `send either If-Match: "version" or If-None-Match: *`, http.StatusPreconditionRequired)
		return
	}
	var o adapter.Object
	if create {
		o, err = a.Create(r.Context(), key, value)
	} else {
		o, err = a.Update(r.Context(), key, value, version)
	}
	if err != nil {
		writeObjectError(w, err)
		return
	}
	setEra(w, o.Era)
	w.Header().Set("ETag", formatETag(o.Version))
	w.WriteHeader(http.StatusNoContent)
}

func (a *ObjectAPI) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := parseETag(r.Header.Get("If-Match"))
	if err != nil {
		http.Error(w, `send If-Match: "version"`, http.StatusPreconditionRequired)
		return
	}
	if err := a.Delete(r.Context(), r.PathValue("key"), version); err != nil {
		writeObjectError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *ObjectAPI) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	changes, next, err := a.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	var gap *adapter.GapError
	if errors.As(err, &gap) {
		writeJSONStatus(w, http.StatusGone, watchResponse{Version: next})
		return
	}
	if err != nil {
		writeObjectError(w, err)
		return
	}
	body := watchResponse{Changes: []objectJSON{}, Version: next}
	for _, c := range changes {
		o := c.Object
		setEra(w, o.Era)
		body.Changes = append(body.Changes, objectJSON{Key: o.Key, Value: o.Value, Version: o.Version, Deleted: c.Deleted})
	}
	writeJSONStatus(w, http.StatusOK, body)
}

func (a *ObjectAPI) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSONStatus(w, http.StatusOK, a.Stats())
}

func (a *ObjectAPI) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Down != nil {
		a.SetDown(*body.Down)
	}
	if body.DelayMillis != nil {
		a.SetDelay(time.Duration(*body.DelayMillis) * time.Millisecond)
	}
	if body.LoseAnswers != nil {
		a.LoseAnswers(*body.LoseAnswers)
	}
	if body.ReplayWatch != nil {
		a.ReplayWatch(*body.ReplayWatch)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *ObjectAPI) serveCopy(w http.ResponseWriter, _ *http.Request) {
	a.copyMu.Lock()
	defer a.copyMu.Unlock()
	a.copied = a.Copy()
	w.WriteHeader(http.StatusNoContent)
}

func (a *ObjectAPI) serveRestore(w http.ResponseWriter, _ *http.Request) {
	a.copyMu.Lock()
	defer a.copyMu.Unlock()
	a.Restore(a.copied)
	w.WriteHeader(http.StatusNoContent)
}

// writeObjectError writes the response of a failed call. For an unavailable API
// it aborts the connection, as a crashed server does; only calls above the rate
// limit get a response.
func writeObjectError(w http.ResponseWriter, err error) {
	var notFound *adapter.NotFoundError
	var conflict *adapter.ConflictError
	var tooLarge *adapter.TooLargeError
	switch {
	case errors.As(err, &notFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		w.Header().Set("ETag", formatETag(conflict.Found))
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, errRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func formatETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseETag(tag string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}
