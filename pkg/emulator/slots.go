package emulator

import (
	"container/heap"
	"context"
	"sync"
)

// slots is a priority semaphore that bounds the batch size of the engine. A
// released slot goes to the waiting request with the highest priority, and
// among equal priorities to the oldest one.
type slots struct {
	mu           sync.Mutex
	free         int
	inUse        int
	lastSequence uint64
	waiters      waiterHeap
}

// slotWaiter is a request in the queue.
type slotWaiter struct {
	priority int
	sequence uint64
	// index is the position in the heap; -1 once a slot has been granted.
	index   int
	granted chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire waits for a slot. It returns the error of ctx if ctx ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.inUse++
		s.mu.Unlock()
		return nil
	}
	s.lastSequence++
	w := &slotWaiter{priority: priority, sequence: s.lastSequence, granted: make(chan struct{})}
	heap.Push(&s.waiters, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue, or releases its slot if one was
// granted before the cancellation took effect.
func (s *slots) cancelWait(w *slotWaiter) {
	s.mu.Lock()
	granted := w.index < 0
	if !granted {
		heap.Remove(&s.waiters, w.index)
	}
	s.mu.Unlock()
	if granted {
		s.release()
	}
}

// release passes the slot to the first waiter, or frees it.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters.Len() > 0 {
		w := heap.Pop(&s.waiters).(*slotWaiter)
		close(w.granted)
		return
	}
	s.free++
	s.inUse--
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse, s.waiters.Len()
}

// waiterHeap implements heap.Interface.
type waiterHeap []*slotWaiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*slotWaiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
