package monitor_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// fakeObjects is an object API in memory. Fault is asked before each call;
// calls counts them by operation.
type fakeObjects struct {
	mu      sync.Mutex
	version uint64
	objects map[string]adapter.Object
	fault   func(operation, key string) fault
	calls   map[string]int
}

type fault int

const (
	noFault fault = iota
	down
	answerLost
)

var errFake = errors.New("injected fault")

func newFakeObjects() *fakeObjects {
	return &fakeObjects{objects: map[string]adapter.Object{}, calls: map[string]int{}}
}

func (f *fakeObjects) setFault(fault func(operation, key string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeObjects) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, calls := range f.calls {
		n += calls
	}
	return n
}

func (f *fakeObjects) writes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls["create"] + f.calls["update"]
}

func (f *fakeObjects) enter(operation, key string) fault {
	f.calls[operation]++
	if f.fault == nil {
		return noFault
	}
	return f.fault(operation, key)
}

func lost(operation, key string) error {
	return &adapter.UnavailableError{Operation: operation, Key: key, Cause: errFake}
}

func (f *fakeObjects) Get(_ context.Context, key string) (adapter.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.enter("get", key) != noFault {
		return adapter.Object{}, lost("get", key)
	}
	o, ok := f.objects[key]
	if !ok {
		return adapter.Object{}, &adapter.NotFoundError{Key: key}
	}
	return o, nil
}

func (f *fakeObjects) List(_ context.Context, prefix string) ([]adapter.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.enter("list", prefix) != noFault {
		return nil, lost("list", prefix)
	}
	var found []adapter.Object
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b adapter.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (f *fakeObjects) Create(_ context.Context, key string, value []byte) (adapter.Object, error) {
	return f.write("create", key, value, 0)
}

func (f *fakeObjects) Update(_ context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	return f.write("update", key, value, version)
}

func (f *fakeObjects) write(operation, key string, value []byte, version uint64) (adapter.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	injected := f.enter(operation, key)
	if injected == down {
		return adapter.Object{}, lost(operation, key)
	}
	if found := f.objects[key].Version; found != version {
		return adapter.Object{}, &adapter.ConflictError{Key: key, Expected: version, Found: found}
	}
	f.version++
	o := adapter.Object{Key: key, Value: slices.Clone(value), Version: f.version}
	f.objects[key] = o
	if injected == answerLost {
		return adapter.Object{}, lost(operation, key)
	}
	return o, nil
}

func (f *fakeObjects) Delete(context.Context, string, uint64) error { return errFake }

func (f *fakeObjects) Watch(context.Context, string, uint64) ([]adapter.Change, uint64, error) {
	return nil, 0, errFake
}
