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
	// EntriesPrefix is the prefix of the objects that list entry daemons.
	EntriesPrefix = "entries/"
	// registerEvery is the least time between two writes of a failure domain's
	// list. It bounds the writes of a failure domain while many daemons start.
	registerEvery = 5 * time.Second
	// rereadEvery is the mean time between reads of the lists by a relay, which
	// find daemons that no link leads to.
	rereadEvery     = 30 * time.Second
	registerTimeout = 3 * time.Second
	maxReadPause    = 15 * time.Second
)

// maxListed bounds the daemons that are known when lists are read.
const maxListed = 4096

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

// registration is what is known of this failure domain's object.
type registration struct {
	version uint64
	written []listedEntry
}

// registrar reads the lists of entry daemons at start, now and then as
// a relay and while no other daemon is known, and writes that of this failure
// domain as its first relay.
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
		if !now.Before(nextRead) && (nextRead.IsZero() || m.needsLists()) {
			err = m.readLists(ctx)
			nextRead = now.Add(time.Duration((0.5 + m.jitter()) * float64(rereadEvery)))
		}
		if err == nil {
			err = m.register(ctx, now)
		}
		pause := registerEvery
		if err != nil {
			m.Log.Info("list of entry daemons not read or written", zap.Error(err))
			failures++
			pause = min(registerEvery<<min(failures, 4), maxReadPause)
			nextRead = min2(nextRead, now.Add(pause))
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

func min2(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *Monitor) needsLists() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology().relay || len(m.links) == 0
}

func (m *Monitor) readLists(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	objects, err := m.API.List(ctx, EntriesPrefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range objects {
		m.takeList(o, time.Now())
	}
	return nil
}

// takeList takes the daemons of one list as candidates for links. They are
// members only once they, or a daemon linked to them, have been heard.
func (m *Monitor) takeList(o adapter.Object, now time.Time) {
	var list entriesObject
	if err := json.Unmarshal(o.Value, &list); err != nil {
		m.Log.Warn("unreadable list of entry daemons", zap.String("key", o.Key), zap.Error(err))
		return
	}
	if strings.TrimPrefix(o.Key, EntriesPrefix) == m.self.GetFailureDomain() {
		m.registered = registration{version: o.Version, written: list.Entries}
	}
	for _, listed := range list.Entries {
		if len(m.entries) >= maxListed || m.entries[listed.VM] != nil || listed.RPCAddress == "" || listed.VM == "" {
			continue
		}
		m.entries[listed.VM] = &entry{heard: now, changed: now, record: &messenger.EntryVM{
			Vm: listed.VM, PublicAddress: listed.PublicAddress, RpcAddress: listed.RPCAddress,
			Region: listed.Region, FailureDomain: list.FailureDomain, StartedMs: listed.StartedMS,
		}}
		m.entryGeneration++
	}
}

// register writes the list of this failure domain when it has changed.
func (m *Monitor) register(ctx context.Context, now time.Time) error {
	m.mu.Lock()
	first := m.topology().first
	list := m.ownList(now)
	known := m.registered
	m.mu.Unlock()
	if !first || reflect.DeepEqual(list.Entries, known.written) {
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
		// Another daemon wrote the list, or the answer to an earlier write was
		// lost. What is read now is the base of the next write.
		return m.readLists(ctx)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = registration{version: object.Version, written: list.Entries}
	return nil
}

func (m *Monitor) ownList(now time.Time) entriesObject {
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
