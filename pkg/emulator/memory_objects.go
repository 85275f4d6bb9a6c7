package emulator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const (
	// defaultHistoryLength is the default of MemoryObjects.HistoryLength.
	defaultHistoryLength = 10_000
	// defaultWatchWait is the default of MemoryObjects.WatchWait.
	defaultWatchWait = 30 * time.Second
	// maxWatchChanges and maxWatchBytes limit the response of a watch; the next
	// watch continues after the last change of the response.
	maxWatchChanges = 1_000
	maxWatchBytes   = 4 << 20
	// maxReplayedChanges is the number of earlier changes that a watch with
	// injected duplicates looks back.
	maxReplayedChanges = 16
)

var (
	errDown        = errors.New("fault injected: object API is down")
	errLostAnswer  = errors.New("fault injected: answer lost after the write took effect")
	errRateLimited = errors.New("call rate exceeded")
	errWatchEnded  = errors.New("watch ended by its context")
)

// ObjectFaults are the faults to inject into the object API.
type ObjectFaults struct {
	// Down refuses all calls without executing them.
	Down bool
	// Delay is the latency added before each call is executed.
	Delay time.Duration
	// LoseAnswers is the number of subsequent writes that are executed but
	// return an *adapter.UnavailableError.
	LoseAnswers int
	// ReplayWatch is the number of subsequent watches that return duplicates of
	// earlier changes before the new ones.
	ReplayWatch int
}

// ObjectStats are the counters of the object API. A watch counts as one read,
// plus one for each second that it waits.
type ObjectStats struct {
	Writes      uint64 `json:"writes"`
	Reads       uint64 `json:"reads"`
	Watches     uint64 `json:"watches"`
	Waiting     int    `json:"waiting"`
	RateLimited uint64 `json:"rate-limited"`
	LostAnswers uint64 `json:"lost-answers"`
	Objects     int    `json:"objects"`
	Version     uint64 `json:"version"`
}

// MemoryObjects implements adapter.ObjectAPI in memory. The zero value is
// ready for use. The exported fields must be set before the first call.
type MemoryObjects struct {
	// HistoryLength is the maximum number of changes kept for watches; 0 means
	// the default of 10000.
	HistoryLength int
	// WatchWait is the maximum time that a watch waits for a change; 0 means the
	// default of 30 s.
	WatchWait time.Duration
	// WritesPerSecond and ReadsPerSecond limit the call rates; 0 means no limit.
	// Calls above a limit are refused.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Faults are the initial faults; SetFaults replaces them.
	Faults ObjectFaults

	mu           sync.Mutex
	objects      map[string]adapter.Object
	history      []adapter.Change
	version      uint64
	era          uint64
	changed      chan struct{}
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	stats        ObjectStats
}

var (
	_ adapter.ObjectAPI   = (*MemoryObjects)(nil)
	_ adapter.EraReporter = (*MemoryObjects)(nil)
)

// ObjectCopy is a copy of the objects, their version counter and the history of
// changes.
type ObjectCopy struct {
	objects map[string]adapter.Object
	history []adapter.Change
	version uint64
}

// Copy returns a copy for Restore.
func (m *MemoryObjects) Copy() ObjectCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initLocked()
	return ObjectCopy{objects: maps.Clone(m.objects), history: slices.Clone(m.history), version: m.version}
}

// Restore returns to an earlier copy and begins a new era. Later writes are lost,
// and their versions are assigned again.
func (m *MemoryObjects) Restore(earlier ObjectCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initLocked()
	m.objects, m.history, m.version = maps.Clone(earlier.objects), slices.Clone(earlier.history), earlier.version
	if m.objects == nil {
		m.objects = map[string]adapter.Object{}
	}
	m.era++
	m.notifyWatchesLocked()
}

// Era returns the number of restores.
func (m *MemoryObjects) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// SetFaults replaces the injected faults.
func (m *MemoryObjects) SetFaults(f ObjectFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Faults = f
	m.notifyWatchesLocked()
}

// SetDown starts or ends an outage. Watches that are waiting fail when an outage
// starts.
func (m *MemoryObjects) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Faults.Down = down
	m.notifyWatchesLocked()
}

// SetDelay sets the latency added to each call.
func (m *MemoryObjects) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Faults.Delay = d
}

// LoseAnswers drops the answers of the next n writes, which still take effect.
func (m *MemoryObjects) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Faults.LoseAnswers = n
}

// ReplayWatch makes the next n watches with changes return duplicates of earlier
// changes.
func (m *MemoryObjects) ReplayWatch(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Faults.ReplayWatch = n
}

// Stats returns the counters.
func (m *MemoryObjects) Stats() ObjectStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Objects = len(m.objects)
	s.Version = m.version
	return s
}

// Get implements adapter.ObjectAPI.
func (m *MemoryObjects) Get(ctx context.Context, key string) (adapter.Object, error) {
	if err := m.admitRead(ctx, "get", key); err != nil {
		return adapter.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	if !found {
		return adapter.Object{}, &adapter.NotFoundError{Key: key}
	}
	return m.resultLocked(o), nil
}

// List implements adapter.ObjectAPI.
func (m *MemoryObjects) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	if err := m.admitRead(ctx, "list", prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var listed []adapter.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			listed = append(listed, m.resultLocked(o))
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
	return listed, nil
}

// Create implements adapter.ObjectAPI.
func (m *MemoryObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	return m.write(ctx, "create", key, value, 0)
}

// Update implements adapter.ObjectAPI.
func (m *MemoryObjects) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	if version == 0 {
		return adapter.Object{}, m.versionConflict(key)
	}
	return m.write(ctx, "update", key, value, version)
}

// Delete implements adapter.ObjectAPI.
func (m *MemoryObjects) Delete(ctx context.Context, key string, version uint64) error {
	if err := m.admitWrite(ctx, "delete", key); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	if !found {
		return &adapter.NotFoundError{Key: key}
	}
	if o.Version != version {
		return &adapter.ConflictError{Key: key, Expected: version, Found: o.Version}
	}
	delete(m.objects, key)
	m.version++
	m.appendHistoryLocked(adapter.Change{Object: adapter.Object{Key: key, Version: m.version}, Deleted: true})
	return m.injectLostAnswerLocked("delete", key)
}

// Watch implements adapter.ObjectAPI. With an *adapter.GapError it returns the
// version to continue from after the objects have been listed again.
func (m *MemoryObjects) Watch(ctx context.Context, prefix string, after uint64) ([]adapter.Change, uint64, error) {
	if err := m.admitRead(ctx, "watch", prefix); err != nil {
		return nil, after, err
	}
	wait := m.WatchWait
	if wait <= 0 {
		wait = defaultWatchWait
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	everySecond := time.NewTicker(time.Second)
	defer everySecond.Stop()
	m.beginWatch()
	defer m.endWatch()
	for {
		changes, next, changed, err := m.changesAfter(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, next, err
		}
		select {
		case <-changed:
		case now := <-everySecond.C:
			m.countWatchPoll(now)
		case <-deadline.C:
			return nil, next, nil
		case <-ctx.Done():
			cause := errors.Join(errWatchEnded, ctx.Err())
			return nil, after, &adapter.UnavailableError{Operation: "watch", Key: prefix, Cause: cause}
		}
	}
}

func (m *MemoryObjects) write(ctx context.Context, operation, key string, value []byte, expected uint64) (adapter.Object, error) {
	if len(value) > adapter.MaxObjectBytes {
		return adapter.Object{}, &adapter.TooLargeError{Key: key, Bytes: len(value)}
	}
	if err := m.admitWrite(ctx, operation, key); err != nil {
		return adapter.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found := m.objects[key].Version; found != expected {
		return adapter.Object{}, &adapter.ConflictError{Key: key, Expected: expected, Found: found}
	}
	m.version++
	o := copyObject(adapter.Object{Key: key, Value: value, Version: m.version})
	m.objects[key] = o
	m.appendHistoryLocked(adapter.Change{Object: o})
	if err := m.injectLostAnswerLocked(operation, key); err != nil {
		return adapter.Object{}, err
	}
	return m.resultLocked(o), nil
}

// versionConflict returns the error of an update with version 0, which no object
// has.
func (m *MemoryObjects) versionConflict(key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &adapter.ConflictError{Key: key, Found: m.objects[key].Version}
}

func (m *MemoryObjects) admitWrite(ctx context.Context, operation, key string) error {
	m.mu.Lock()
	m.initLocked()
	m.stats.Writes++
	limited := !m.writeLimiter.AllowN(time.Now(), 1)
	m.mu.Unlock()
	return m.applyFaults(ctx, operation, key, limited)
}

func (m *MemoryObjects) admitRead(ctx context.Context, operation, key string) error {
	m.mu.Lock()
	m.initLocked()
	m.stats.Reads++
	limited := !m.readLimiter.AllowN(time.Now(), 1)
	m.mu.Unlock()
	return m.applyFaults(ctx, operation, key, limited)
}

// applyFaults applies the rate limit, the delay and the outage, in this order, so
// that a call is also refused by an outage that begins during its delay.
func (m *MemoryObjects) applyFaults(ctx context.Context, operation, key string, limited bool) error {
	if limited {
		m.mu.Lock()
		m.stats.RateLimited++
		m.mu.Unlock()
		return &adapter.UnavailableError{Operation: operation, Key: key, Refused: true, Cause: errRateLimited}
	}
	m.mu.Lock()
	delay := m.Faults.Delay
	m.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return &adapter.UnavailableError{Operation: operation, Key: key, Refused: true, Cause: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Faults.Down {
		return &adapter.UnavailableError{Operation: operation, Key: key, Refused: true, Cause: errDown}
	}
	return nil
}

// initLocked initializes the zero value at the first call.
func (m *MemoryObjects) initLocked() {
	if m.objects != nil {
		return
	}
	m.objects = map[string]adapter.Object{}
	m.changed = make(chan struct{})
	m.writeLimiter = newLimiter(m.WritesPerSecond)
	m.readLimiter = newLimiter(m.ReadsPerSecond)
	if m.HistoryLength <= 0 {
		m.HistoryLength = defaultHistoryLength
	}
}

func (m *MemoryObjects) appendHistoryLocked(c adapter.Change) {
	m.history = append(m.history, c)
	if len(m.history) > m.HistoryLength {
		m.history = append([]adapter.Change(nil), m.history[len(m.history)-m.HistoryLength:]...)
	}
	m.notifyWatchesLocked()
}

// notifyWatchesLocked wakes all waiting watches.
func (m *MemoryObjects) notifyWatchesLocked() {
	if m.changed == nil {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// injectLostAnswerLocked returns the error of a write whose answer is lost, if one
// is to be injected.
func (m *MemoryObjects) injectLostAnswerLocked(operation, key string) error {
	if m.Faults.LoseAnswers <= 0 {
		return nil
	}
	m.Faults.LoseAnswers--
	m.stats.LostAnswers++
	return &adapter.UnavailableError{Operation: operation, Key: key, Cause: errLostAnswer}
}

func (m *MemoryObjects) beginWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Watches++
	m.stats.Waiting++
}

func (m *MemoryObjects) endWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Waiting--
}

// countWatchPoll counts one second of a waiting watch as a read.
func (m *MemoryObjects) countWatchPoll(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	m.readLimiter.AllowN(now, 1)
}

// changesAfter returns the changes of the prefix after a version, the version to
// continue from, and a channel that is closed at the next change of any key.
func (m *MemoryObjects) changesAfter(prefix string, after uint64) ([]adapter.Change, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Faults.Down {
		return nil, after, nil, &adapter.UnavailableError{Operation: "watch", Key: prefix, Refused: true, Cause: errDown}
	}
	oldest := m.version - uint64(len(m.history))
	if after < oldest || after > m.version {
		return nil, m.version, nil, &adapter.GapError{Prefix: prefix, After: after}
	}
	first := int(after - oldest)
	changes, next := selectChanges(m.history[first:], prefix, m.version)
	if len(changes) > 0 && m.Faults.ReplayWatch > 0 {
		m.Faults.ReplayWatch--
		earlier, _ := selectChanges(m.history[max(0, first-maxReplayedChanges):first], prefix, after)
		changes = append(earlier, changes...)
	}
	for i := range changes {
		changes[i].Object.Era = m.era
	}
	return changes, next, m.changed, nil
}

// selectChanges returns the changes of the prefix and the version up to which
// they are complete: last, unless the changes were truncated at maxWatchChanges or
// maxWatchBytes.
func selectChanges(history []adapter.Change, prefix string, last uint64) ([]adapter.Change, uint64) {
	var selected []adapter.Change
	size := 0
	for _, c := range history {
		if !strings.HasPrefix(c.Object.Key, prefix) {
			continue
		}
		size += len(c.Object.Value)
		if len(selected) > 0 && (len(selected) >= maxWatchChanges || size > maxWatchBytes) {
			return selected, selected[len(selected)-1].Object.Version
		}
		c.Object = copyObject(c.Object)
		selected = append(selected, c)
	}
	return selected, last
}

// resultLocked returns a copy of a stored object with the present era.
func (m *MemoryObjects) resultLocked(o adapter.Object) adapter.Object {
	o = copyObject(o)
	o.Era = m.era
	return o
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func copyObject(o adapter.Object) adapter.Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
