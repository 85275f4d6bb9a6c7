package emulator

import (
	"container/heap"
	"context"
	"sync"
)

// slots are the places of a batch. A free place goes to the waiting request
// with the highest priority, and among equals to the oldest.
type slots struct {
	mu      sync.Mutex
	free    int
	taken   int
	serial  uint64
	waiting waitHeap
}

type queued struct {
	priority int
	serial   uint64
	index    int
	granted  chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.taken++
		s.mu.Unlock()
		return nil
	}
	s.serial++
	w := &queued{priority: priority, serial: s.serial, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon leaves the queue, or gives the place back when it was granted at
// the same moment.
func (s *slots) abandon(w *queued) {
	s.mu.Lock()
	granted := w.index < 0
	if !granted {
		heap.Remove(&s.waiting, w.index)
	}
	s.mu.Unlock()
	if granted {
		s.release()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len() > 0 {
		w := heap.Pop(&s.waiting).(*queued)
		close(w.granted)
		return
	}
	s.free++
	s.taken--
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken, s.waiting.Len()
}

type waitHeap []*queued

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].serial < h[j].serial
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waitHeap) Push(x any) {
	w := x.(*queued)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
