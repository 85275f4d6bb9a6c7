package main

import (
	"container/heap"
	"time"
)

// scheduler is a discrete-event scheduler: it runs functions in the order of
// their virtual times. Events with the same time run in the order in which they
// were added.
type scheduler struct {
	now    time.Time
	serial uint64
	queue  eventHeap
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

func newScheduler() *scheduler { return &scheduler{now: time.Unix(1_000_000, 0)} }

// after schedules fn to run after the duration d of virtual time.
func (s *scheduler) after(d time.Duration, fn func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now.Add(d), serial: s.serial, run: fn})
}

// run advances the virtual time by d and runs all events that are due by then.
func (s *scheduler) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
