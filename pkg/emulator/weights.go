package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// contentBlockBytes is the unit in which content is generated; each block has
	// its own random generator, so that ranges are generated independently.
	contentBlockBytes = 64 << 10
	// maxWriteBytes is the size of one write and the burst of the rate limiter. It
	// is small, so that concurrent readers share the rate.
	maxWriteBytes = 16 << 10
)

// Weights emulates a weight store and origin with generated content. It serves
// GET /{source}/manifest, GET /{source}/data with a Range header, GET /stats and
// POST /faults. The exported fields must be set before the first request.
type Weights struct {
	// Sources maps source paths to versions.
	Sources map[string]WeightsVersion
	// BytesPerSecond limits the total rate of all data; 0 means no limit.
	BytesPerSecond float64
	// Faults are the initial faults; SetFaults replaces them.
	Faults WeightsFaults

	setUpOnce     sync.Once
	limiter       *rate.Limiter
	mu            sync.Mutex
	stats         map[string]*WeightsStats
	manifests     map[string][]byte
	rangeCount    int64
	faultsChanged chan struct{}
}

// WeightsVersion describes generated content. Equal values always produce the
// same bytes.
type WeightsVersion struct {
	Model          string
	Name           string
	SizeBytes      int64
	ChunkSizeBytes int64
	Seed           uint64
}

// WeightsFaults are the faults to inject into the weight source.
type WeightsFaults struct {
	// CorruptEvery corrupts one byte of every n-th range; 0 corrupts none.
	CorruptEvery int64 `json:"corrupt-every"`
	// Stall blocks the transfer of data until it is cleared.
	Stall bool `json:"stall"`
	// Down rejects all requests except /stats and /faults.
	Down bool `json:"down"`
}

// WeightsStats are the counters of one source.
type WeightsStats struct {
	Requests  int64 `json:"requests"`
	DataBytes int64 `json:"data-bytes"`
	Manifests int64 `json:"manifests"`
	Corrupted int64 `json:"corrupted"`
}

// ServeHTTP implements http.Handler.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setUpOnce.Do(s.setUp)
	path := strings.Trim(r.URL.Path, "/")
	switch {
	case r.Method == http.MethodPost && path == "faults":
		s.serveFaults(w, r)
	case r.Method != http.MethodGet:
		http.Error(w, "use GET", http.StatusMethodNotAllowed)
	case path == "stats":
		s.serveStats(w)
	case s.faults().Down:
		http.Error(w, "weight source is down", http.StatusServiceUnavailable)
	case strings.HasSuffix(path, "/manifest"):
		s.serveManifest(w, strings.TrimSuffix(path, "/manifest"))
	case strings.HasSuffix(path, "/data"):
		s.serveData(w, r, strings.TrimSuffix(path, "/data"))
	default:
		http.NotFound(w, r)
	}
}

// SetFaults replaces the injected faults.
func (s *Weights) SetFaults(f WeightsFaults) {
	s.setUpOnce.Do(s.setUp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Stats returns the counters by source.
func (s *Weights) Stats() map[string]WeightsStats {
	s.setUpOnce.Do(s.setUp)
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := map[string]WeightsStats{}
	for source, counts := range s.stats {
		stats[source] = *counts
	}
	return stats
}

// Digest returns the digest of a source's manifest, or an empty string if the
// source does not exist.
func (s *Weights) Digest(source string) string {
	s.setUpOnce.Do(s.setUp)
	raw, err := s.manifest(source)
	if err != nil {
		return ""
	}
	return verifier.Sum(raw)
}

// Reader returns a reader of the version's content.
func (v WeightsVersion) Reader() io.Reader { return &contentReader{version: v} }

// Manifest returns the version's manifest.
func (v WeightsVersion) Manifest() (*verifier.Manifest, error) {
	return verifier.BuildManifest(v.Model, v.Name, v.ChunkSizeBytes, v.Reader())
}

func (s *Weights) setUp() {
	limit := rate.Inf
	if s.BytesPerSecond > 0 {
		limit = rate.Limit(s.BytesPerSecond)
	}
	s.limiter = rate.NewLimiter(limit, maxWriteBytes)
	s.stats = map[string]*WeightsStats{}
	s.manifests = map[string][]byte{}
	s.faultsChanged = make(chan struct{})
	for source := range s.Sources {
		s.stats[source] = &WeightsStats{}
	}
}

func (s *Weights) faults() WeightsFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Faults
}

func (s *Weights) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults WeightsFaults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Weights) serveStats(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Sources map[string]WeightsStats `json:"sources"`
	}{s.Stats()})
}

func (s *Weights) serveManifest(w http.ResponseWriter, source string) {
	raw, err := s.manifest(source)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.stats[source].Manifests++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (s *Weights) manifest(source string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if raw := s.manifests[source]; raw != nil {
		return raw, nil
	}
	v, ok := s.Sources[source]
	if !ok {
		return nil, fmt.Errorf("source %q does not exist", source)
	}
	m, err := v.Manifest()
	if err != nil {
		return nil, err
	}
	s.manifests[source] = m.Canonical()
	return s.manifests[source], nil
}

func (s *Weights) serveData(w http.ResponseWriter, r *http.Request, source string) {
	v, ok := s.Sources[source]
	if !ok {
		http.NotFound(w, r)
		return
	}
	offset, length, ok := parseRange(r.Header.Get("Range"), v.SizeBytes)
	if !ok {
		http.Error(w, "a range bytes=first-last inside the data is needed", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	corrupt := s.countRange(source)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(length))
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", offset, offset+length-1, v.SizeBytes))
	w.WriteHeader(http.StatusPartialContent)
	s.writeData(w, r, source, v, offset, length, corrupt)
}

func (s *Weights) writeData(w io.Writer, r *http.Request, source string, v WeightsVersion, offset, length int64, corrupt bool) {
	buf := make([]byte, maxWriteBytes)
	for length > 0 {
		if !s.waitWhileStalled(r) {
			return
		}
		n := min(length, maxWriteBytes)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		v.readAt(buf[:n], offset)
		if corrupt {
			buf[0] ^= 0xff
			corrupt = false
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		s.mu.Lock()
		s.stats[source].DataBytes += n
		s.mu.Unlock()
		offset += n
		length -= n
	}
}

// countRange counts a requested range and reports whether it is to be corrupted.
func (s *Weights) countRange(source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rangeCount++
	s.stats[source].Requests++
	corrupt := s.Faults.CorruptEvery > 0 && s.rangeCount%s.Faults.CorruptEvery == 0
	if corrupt {
		s.stats[source].Corrupted++
	}
	return corrupt
}

// waitWhileStalled blocks while the stall fault is set. It returns false if the
// request is canceled first.
func (s *Weights) waitWhileStalled(r *http.Request) bool {
	for {
		s.mu.Lock()
		stalled, changed := s.Faults.Stall, s.faultsChanged
		s.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// parseRange parses a single range with both ends, for example bytes=0-65535.
func parseRange(header string, size int64) (offset, length int64, ok bool) {
	var first, last int64
	n, err := fmt.Sscanf(header, "bytes=%d-%d", &first, &last)
	if err != nil || n != 2 || first < 0 || last < first || last >= size {
		return 0, 0, false
	}
	return first, last - first + 1, true
}

// readAt fills p with the content at offset.
func (v WeightsVersion) readAt(p []byte, offset int64) {
	for len(p) > 0 {
		block := offset / contentBlockBytes
		content := v.block(block)
		n := copy(p, content[offset-block*contentBlockBytes:])
		p = p[n:]
		offset += int64(n)
	}
}

func (v WeightsVersion) block(index int64) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], v.Seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	content := make([]byte, contentBlockBytes)
	// ChaCha8.Read never returns an error.
	_, _ = rand.NewChaCha8(key).Read(content)
	return content
}

type contentReader struct {
	version WeightsVersion
	offset  int64
}

// Read implements io.Reader.
func (r *contentReader) Read(p []byte) (int, error) {
	remaining := r.version.SizeBytes - r.offset
	if remaining <= 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), remaining, contentBlockBytes))
	r.version.readAt(p[:n], r.offset)
	r.offset += int64(n)
	return n, nil
}
