package main

import (
	"container/heap"
	"time"
)

// events runs functions in the order of their virtual times.
type events struct {
	now    time.Time
	serial uint64
	queue  eventHeap
}

type event struct {
	at     time.Time
	serial uint64
	do     func()
}

func newEvents() *events { return &events{now: time.Unix(1_000_000, 0)} }

// after runs the function once the time has passed.
func (e *events) after(d time.Duration, do func()) {
	e.serial++
	heap.Push(&e.queue, event{at: e.now.Add(d), serial: e.serial, do: do})
}

// run runs all events of the next d.
func (e *events) run(d time.Duration) {
	end := e.now.Add(d)
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.do()
	}
	e.now = end
}

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
