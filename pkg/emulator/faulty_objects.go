package emulator

import (
	"context"
	"errors"
	"sync"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Fault is the fault injected into one call of FaultyObjects.
type Fault int

const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// FaultDown fails the call without executing it.
	FaultDown
	// FaultAnswerLost executes a write and then fails the call. Reads fail
	// without being executed.
	FaultAnswerLost
)

var errInjected = errors.New("injected fault")

// FaultyObjects is a MemoryObjects that calls a function before each operation to
// choose a fault, for tests that fail one specific operation.
type FaultyObjects struct {
	MemoryObjects

	// faultMu guards the fields below.
	faultMu    sync.Mutex
	faultFunc  func(operation, key string) Fault
	callCounts map[string]int
}

var _ adapter.ObjectAPI = (*FaultyObjects)(nil)

// SetFault sets the function that chooses the fault of each call; nil injects no
// faults.
func (f *FaultyObjects) SetFault(fault func(operation, key string) Fault) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.faultFunc = fault
}

// TotalCalls returns the number of all calls, including those that failed.
func (f *FaultyObjects) TotalCalls() int {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	n := 0
	for _, calls := range f.callCounts {
		n += calls
	}
	return n
}

// WriteCalls returns the number of create and update calls, including those that
// failed.
func (f *FaultyObjects) WriteCalls() int {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.callCounts["create"] + f.callCounts["update"]
}

// Get implements adapter.ObjectAPI.
func (f *FaultyObjects) Get(ctx context.Context, key string) (adapter.Object, error) {
	if f.recordCall("get", key) != NoFault {
		return adapter.Object{}, injectedError("get", key)
	}
	return f.MemoryObjects.Get(ctx, key)
}

// List implements adapter.ObjectAPI.
func (f *FaultyObjects) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	if f.recordCall("list", prefix) != NoFault {
		return nil, injectedError("list", prefix)
	}
	return f.MemoryObjects.List(ctx, prefix)
}

// Create implements adapter.ObjectAPI.
func (f *FaultyObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	fault := f.recordCall("create", key)
	if fault == FaultDown {
		return adapter.Object{}, injectedError("create", key)
	}
	o, err := f.MemoryObjects.Create(ctx, key, value)
	return maybeLoseAnswer(fault, "create", key, o, err)
}

// Update implements adapter.ObjectAPI.
func (f *FaultyObjects) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	fault := f.recordCall("update", key)
	if fault == FaultDown {
		return adapter.Object{}, injectedError("update", key)
	}
	o, err := f.MemoryObjects.Update(ctx, key, value, version)
	return maybeLoseAnswer(fault, "update", key, o, err)
}

// Delete implements adapter.ObjectAPI.
func (f *FaultyObjects) Delete(ctx context.Context, key string, version uint64) error {
	fault := f.recordCall("delete", key)
	if fault == FaultDown {
		return injectedError("delete", key)
	}
	_, err := maybeLoseAnswer(fault, "delete", key, adapter.Object{}, f.MemoryObjects.Delete(ctx, key, version))
	return err
}

// Watch implements adapter.ObjectAPI.
func (f *FaultyObjects) Watch(ctx context.Context, prefix string, after uint64) ([]adapter.Change, uint64, error) {
	if f.recordCall("watch", prefix) != NoFault {
		return nil, after, injectedError("watch", prefix)
	}
	return f.MemoryObjects.Watch(ctx, prefix, after)
}

// recordCall counts a call and returns the fault to inject into it.
func (f *FaultyObjects) recordCall(operation, key string) Fault {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if f.callCounts == nil {
		f.callCounts = map[string]int{}
	}
	f.callCounts[operation]++
	if f.faultFunc == nil {
		return NoFault
	}
	return f.faultFunc(operation, key)
}

// maybeLoseAnswer replaces the result of a successful write by an error if its
// answer is to be lost.
func maybeLoseAnswer(fault Fault, operation, key string, o adapter.Object, err error) (adapter.Object, error) {
	if err == nil && fault == FaultAnswerLost {
		return adapter.Object{}, injectedError(operation, key)
	}
	return o, err
}

func injectedError(operation, key string) error {
	return &adapter.UnavailableError{Operation: operation, Key: key, Cause: errInjected}
}
