package emulator

import (
	"context"
	"errors"
	"sync"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Fault is what happens to one call of FaultyObjects.
type Fault int

// Faults of a call.
const (
	NoFault Fault = iota
	// FaultDown fails the call; it has no effect.
	FaultDown
	// FaultAnswerLost lets a write take effect and then fails the call.
	FaultAnswerLost
)

var errInjected = errors.New("injected fault")

// FaultyObjects is an object API in memory that asks a function about each
// call before it is made, for tests that need a fault at one step.
type FaultyObjects struct {
	MemoryObjects

	faultMu sync.Mutex
	fault   func(operation, key string) Fault
	calls   map[string]int
}

var _ adapter.ObjectAPI = (*FaultyObjects)(nil)

// SetFault sets the function that is asked; nil injects nothing.
func (f *FaultyObjects) SetFault(fault func(operation, key string) Fault) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.fault = fault
}

// Total returns the number of all calls, also of those that failed.
func (f *FaultyObjects) Total() int {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	n := 0
	for _, calls := range f.calls {
		n += calls
	}
	return n
}

// Writes returns the number of creates and updates.
func (f *FaultyObjects) Writes() int {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.calls["create"] + f.calls["update"]
}

// Get implements adapter.ObjectAPI.
func (f *FaultyObjects) Get(ctx context.Context, key string) (adapter.Object, error) {
	if f.enter("get", key) != NoFault {
		return adapter.Object{}, injected("get", key)
	}
	return f.MemoryObjects.Get(ctx, key)
}

// List implements adapter.ObjectAPI.
func (f *FaultyObjects) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	if f.enter("list", prefix) != NoFault {
		return nil, injected("list", prefix)
	}
	return f.MemoryObjects.List(ctx, prefix)
}

// Create implements adapter.ObjectAPI.
func (f *FaultyObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	fault := f.enter("create", key)
	if fault == FaultDown {
		return adapter.Object{}, injected("create", key)
	}
	o, err := f.MemoryObjects.Create(ctx, key, value)
	return loseAnswer(fault, "create", key, o, err)
}

// Update implements adapter.ObjectAPI.
func (f *FaultyObjects) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	fault := f.enter("update", key)
	if fault == FaultDown {
		return adapter.Object{}, injected("update", key)
	}
	o, err := f.MemoryObjects.Update(ctx, key, value, version)
	return loseAnswer(fault, "update", key, o, err)
}

// Delete implements adapter.ObjectAPI.
func (f *FaultyObjects) Delete(ctx context.Context, key string, version uint64) error {
	fault := f.enter("delete", key)
	if fault == FaultDown {
		return injected("delete", key)
	}
	_, err := loseAnswer(fault, "delete", key, adapter.Object{}, f.MemoryObjects.Delete(ctx, key, version))
	return err
}

// Watch implements adapter.ObjectAPI.
func (f *FaultyObjects) Watch(ctx context.Context, prefix string, after uint64) ([]adapter.Change, uint64, error) {
	if f.enter("watch", prefix) != NoFault {
		return nil, after, injected("watch", prefix)
	}
	return f.MemoryObjects.Watch(ctx, prefix, after)
}

func (f *FaultyObjects) enter(operation, key string) Fault {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if f.calls == nil {
		f.calls = map[string]int{}
	}
	f.calls[operation]++
	if f.fault == nil {
		return NoFault
	}
	return f.fault(operation, key)
}

func loseAnswer(fault Fault, operation, key string, o adapter.Object, err error) (adapter.Object, error) {
	if err == nil && fault == FaultAnswerLost {
		return adapter.Object{}, injected(operation, key)
	}
	return o, err
}

func injected(operation, key string) error {
	return &adapter.UnavailableError{Operation: operation, Key: key, Cause: errInjected}
}
