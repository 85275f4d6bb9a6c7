package monitor

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// EntriesPrefix is the key prefix of the objects that list entry daemons.
	EntriesPrefix = "entries/"
	// registerInterval is the mean time between checks of a failure domain's
	// list, each of which writes the list at most once. It limits the write rate
	// while many daemons start.
	registerInterval = 5 * time.Second
	// listReadInterval is the mean time between reads of the lists by a relay.
	// The reads find daemons to which there is no link.
	listReadInterval   = 30 * time.Second
	registerTimeout    = 3 * time.Second
	maxRegisterBackoff = 15 * time.Second
)

// maxListedEntries is the number of known daemons above which lists add no
// more.
const maxListedEntries = 4096

// entriesObject is the value of entries/<failure-domain>.
type entriesObject struct {
	FailureDomain string        `json:"failure-domain"`
	Entries       []listedEntry `json:"entries"`
}

type listedEntry struct {
	VM            string `json:"vm"`
	PublicAddress string `json:"public-address"`
	RPCAddress    string `json:"rpc-address"`
	Region        string `json:"region"`
	StartedMS     int64  `json:"started-ms"`
}

// registration is the last known version and content of this failure domain's
// object.
type registration struct {
	version uint64
	entries []listedEntry
}

// registrar reads the lists of entry daemons at startup and, on relays and on
// daemons without links, periodically. The first relay of a failure domain
// also writes the list of its domain.
type registrar struct {
	*Monitor
}

func (m registrar) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if m.API == nil {
		return
	}
	var nextRead time.Time
	failures := 0
	for ctx.Err() == nil {
		now := time.Now()
		var err error
		if !now.Before(nextRead) && (nextRead.IsZero() || m.needsEntryLists()) {
			err = m.readEntryLists(ctx)
			nextRead = now.Add(time.Duration((0.5 + m.jitter()) * float64(listReadInterval)))
		}
		if err == nil {
			err = m.register(ctx, now)
		}
		pause := registerInterval
		if err != nil {
			m.Log.Info("list of entry daemons not read or written", zap.Error(err))
			failures++
			pause = min(registerInterval<<min(failures, 4), maxRegisterBackoff)
			nextRead = earlier(nextRead, now.Add(pause))
		} else {
			failures = 0
		}
		timer := time.NewTimer(time.Duration((0.75 + m.jitter()/2) * float64(pause)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *Monitor) needsEntryLists() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology().relay || len(m.links) == 0
}

func (m *Monitor) readEntryLists(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	objects, err := m.API.List(ctx, EntriesPrefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A restored store may lack the list.
	m.registered = registration{}
	for _, o := range objects {
		m.applyEntryList(o, time.Now())
	}
	return nil
}

// applyEntryList adds the daemons of one list as candidates for links. They
// become members only after a frame from them, or from a daemon linked to
// them, has arrived.
func (m *Monitor) applyEntryList(o adapter.Object, now time.Time) {
	var list entriesObject
	err := json.Unmarshal(o.Value, &list)
	if err != nil {
		m.Log.Warn("list of entry daemons cannot be decoded", zap.String("key", o.Key), zap.Error(err))
		list = entriesObject{}
	}
	if strings.TrimPrefix(o.Key, EntriesPrefix) == m.self.GetFailureDomain() {
		// The version is needed to replace a malformed list too.
		m.registered = registration{version: o.Version, entries: list.Entries}
	}
	for _, listed := range list.Entries {
		if len(m.entries) >= maxListedEntries || m.entries[listed.VM] != nil || listed.RPCAddress == "" || listed.VM == "" {
			continue
		}
		m.entries[listed.VM] = &entry{lastHeard: now, changedAt: now, record: &messenger.EntryVM{
			Vm: listed.VM, PublicAddress: listed.PublicAddress, RpcAddress: listed.RPCAddress,
			Region: listed.Region, FailureDomain: list.FailureDomain, StartedMs: listed.StartedMS,
		}}
		m.entryGeneration++
	}
}

// register writes the list of this failure domain if this daemon is the first
// relay and the list has changed.
func (m *Monitor) register(ctx context.Context, now time.Time) error {
	m.mu.Lock()
	first := m.topology().firstRelay
	list := m.domainEntries(now)
	known := m.registered
	m.mu.Unlock()
	if !first || reflect.DeepEqual(list.Entries, known.entries) {
		return nil
	}
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := EntriesPrefix + m.self.GetFailureDomain()
	var object adapter.Object
	if known.version == 0 {
		object, err = m.API.Create(ctx, key, value)
	} else {
		object, err = m.API.Update(ctx, key, value, known.version)
	}
	var conflict *adapter.ConflictError
	if errors.As(err, &conflict) {
		// Another daemon wrote the list, or the response to an earlier write was
		// lost. The next write is based on the version read here.
		return m.readEntryLists(ctx)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = registration{version: object.Version, entries: list.Entries}
	return nil
}

// domainEntries returns the list of the live daemons in this failure domain
// that are not leaving.
func (m *Monitor) domainEntries(now time.Time) entriesObject {
	list := entriesObject{FailureDomain: m.self.GetFailureDomain()}
	for _, e := range m.liveEntries(now) {
		if e.GetFailureDomain() != list.FailureDomain || e.GetLeaving() {
			continue
		}
		list.Entries = append(list.Entries, listedEntry{
			VM: e.GetVm(), PublicAddress: e.GetPublicAddress(), RPCAddress: e.GetRpcAddress(),
			Region: e.GetRegion(), StartedMS: e.GetStartedMs(),
		})
	}
	return list
}
