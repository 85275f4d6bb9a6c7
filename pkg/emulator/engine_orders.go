package emulator

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/blake3"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

var errVersionReplaced = errors.New("the engine switched to another version")

type staleEpochBody struct {
	Highest uint64 `json:"highest-epoch"`
}

// serveLoadVersion receives the weights, verifies their digest and then replaces
// the loaded version atomically. The old version serves until then.
func (e *Engine) serveLoadVersion(w http.ResponseWriter, r *http.Request) {
	if !e.checkEpoch(w, r) {
		return
	}
	version := r.URL.Query().Get("version")
	if version == "" {
		http.Error(w, "the parameter version is missing", http.StatusBadRequest)
		return
	}
	digest, ok := readWeights(w, r)
	if !ok || !waiter.Wait(r.Context(), e.LoadTime) {
		return
	}
	// A higher epoch may have been seen while the weights were received.
	if !e.checkEpoch(w, r) {
		return
	}
	e.replaceVersion(version, digest)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveUnloadVersion(w http.ResponseWriter, r *http.Request) {
	if !e.checkEpoch(w, r) {
		return
	}
	e.replaceVersion("", "")
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoadAdapter(w http.ResponseWriter, r *http.Request) {
	if !e.checkEpoch(w, r) {
		return
	}
	digest, ok := readWeights(w, r)
	if !ok || !e.checkEpoch(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adapters[r.PathValue("name")] = digest
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveUnloadAdapter(w http.ResponseWriter, r *http.Request) {
	if !e.checkEpoch(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.adapters, r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveSetRole(w http.ResponseWriter, r *http.Request) {
	if !e.checkEpoch(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = r.URL.Query().Get("role")
	w.WriteHeader(http.StatusNoContent)
}

// replaceVersion aborts the running requests, because the engine holds only one
// version, unloads all adapters and clears the prefix cache.
func (e *Engine) replaceVersion(version, digest string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelVersion(errVersionReplaced)
	e.versionCtx, e.cancelVersion = context.WithCancelCause(context.Background())
	e.version = version
	e.contentDigest = digest
	clear(e.adapters)
	e.cache.evictAll(time.Now())
}

// checkEpoch rejects an order whose fencing epoch is lower than the highest one
// seen. It returns false after it has written the response.
func (e *Engine) checkEpoch(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		http.Error(w, "the parameter epoch must be a number", http.StatusBadRequest)
		return false
	}
	if e.IgnoreEpoch {
		return true
	}
	e.mu.Lock()
	highest := e.epoch
	if epoch > highest {
		e.epoch = epoch
	}
	e.mu.Unlock()
	if epoch < highest {
		writeJSONStatus(w, http.StatusConflict, staleEpochBody{Highest: highest})
		return false
	}
	return true
}

// readWeights reads the body and compares its BLAKE3 digest with the query
// parameter or trailer content-digest. On an error it writes the response and
// returns false.
func readWeights(w http.ResponseWriter, r *http.Request) (string, bool) {
	hash := blake3.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		http.Error(w, "the weights ended early: "+err.Error(), http.StatusBadRequest)
		return "", false
	}
	if size := r.Header.Get("Content-Bytes"); size != "" && size != strconv.FormatInt(n, 10) {
		http.Error(w, "the weights have "+strconv.FormatInt(n, 10)+" bytes, expected "+size, http.StatusBadRequest)
		return "", false
	}
	expected := r.URL.Query().Get("content-digest")
	if expected == "" {
		expected = r.Trailer.Get("Content-Digest")
	}
	digest := hex.EncodeToString(hash.Sum(nil))
	if digest != expected {
		http.Error(w, "the weights have the digest "+digest+", expected "+strconv.Quote(expected), http.StatusUnprocessableEntity)
		return "", false
	}
	return digest, true
}
