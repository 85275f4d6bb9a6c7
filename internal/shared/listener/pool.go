package listener

import (
	"container/heap"
	"sync"
)

const (
	// freeHeaderBytes and freeHeaderFields are the part of a header block that its connection's
	// own share covers.
	freeHeaderBytes  = 4 << 10
	freeHeaderFields = 64
	// fieldBytes is about the memory of a parsed field in addition to its text: the entry of the
	// map, the key and the slice of values.
	fieldBytes = 200
	// headerStep is the step in which a header block takes memory.
	headerStep = 4 << 10
)

// headerCost returns the memory that a header block takes from the pool.
func headerCost(bytes, fields int) int64 {
	cost := max(0, bytes-freeHeaderBytes) + fieldBytes*max(0, fields-freeHeaderFields)
	return int64((cost + headerStep - 1) / headerStep * headerStep)
}

// Pool is memory that the connections of all listeners of a process share.
type Pool struct {
	// Name is the name in metrics.
	Name string
	// Limit is the size in bytes.
	Limit int64

	mu   sync.Mutex
	used int64
	// incomplete holds the connections with an incomplete header block that has taken memory, the
	// one with most of it first.
	incomplete connectionHeap
	count      int64
}

// take lets a connection hold memory for an incomplete header block. If the pool is used up, the
// connection whose incomplete header block holds most is returned, which may be c itself, and
// its memory is free.
func (p *Pool) take(c *Conn, bytes int64) (victims []*Conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.held < 0 {
		return nil, false
	}
	p.addLocked(bytes - c.held)
	c.held = bytes
	if c.heapIndex < 0 {
		p.count++
		c.heapOrder = p.count
		heap.Push(&p.incomplete, c)
	} else {
		heap.Fix(&p.incomplete, int(c.heapIndex))
	}
	for p.used > p.Limit && len(p.incomplete) > 0 {
		victim := p.evictLocked()
		if victim == c {
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// evictLocked returns the memory of the connection whose incomplete header block holds most.
func (p *Pool) evictLocked() *Conn {
	victim := p.incomplete[0]
	p.releaseLocked(victim)
	victim.held = -1
	return victim
}

// takeComplete lets a connection hold at least this memory for a complete header block. If the pool
// is used up, connections with incomplete ones are returned, whose memory is free. If that is not
// enough, it takes nothing and returns false.
func (p *Pool) takeComplete(c *Conn, bytes int64) (victims []*Conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	more := bytes - c.held
	if c.held < 0 || more <= 0 {
		return nil, c.held >= 0
	}
	for p.used+more > p.Limit && len(p.incomplete) > 0 {
		victims = append(victims, p.evictLocked())
	}
	if p.used+more > p.Limit {
		return victims, false
	}
	p.addLocked(more)
	c.held = bytes
	return victims, true
}

// complete records that the header block of a connection is complete. Its memory is held until
// release.
func (p *Pool) complete(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.heapIndex >= 0 {
		heap.Remove(&p.incomplete, int(c.heapIndex))
	}
}

func (p *Pool) addLocked(bytes int64) {
	p.used += bytes
	memory.Add(p.Name, bytes)
}

// release returns the memory of a connection.
func (p *Pool) release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(c)
}

func (p *Pool) releaseLocked(c *Conn) {
	if c.heapIndex >= 0 {
		heap.Remove(&p.incomplete, int(c.heapIndex))
	}
	if c.held > 0 {
		p.addLocked(-c.held)
		c.held = 0
	}
}

// connectionHeap is a heap of connections, the one that holds most first, the oldest of several.
type connectionHeap []*Conn

func (h connectionHeap) Len() int { return len(h) }

func (h connectionHeap) Less(i, j int) bool {
	if h[i].held != h[j].held {
		return h[i].held > h[j].held
	}
	return h[i].heapOrder < h[j].heapOrder
}

func (h connectionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *connectionHeap) Push(x any) {
	c := x.(*Conn)
	c.heapIndex = int32(len(*h))
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *connectionHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.heapIndex = -1
	return c
}
