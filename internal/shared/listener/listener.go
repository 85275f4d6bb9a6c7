package listener

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// stallTime is how long a body makes no progress before it counts as stalled.
	stallTime = time.Second
	// writeStallTime is how long a write makes no progress before its client counts as one that
	// does not read.
	writeStallTime = 2 * time.Second
	// fullTime is how long new connections wait for one of the others to become idle, since all of
	// them have had requests in handlers. Clients that send one request after the other without
	// reading the responses are idle only for moments.
	fullTime = 250 * time.Millisecond
	// firstTime is how long a connection has for its first request before it gives way. Without
	// it, an ordinary client among many that connect again and again is closed before its request
	// is read.
	firstTime = 20 * time.Millisecond
	// newShare is one part of MaxConnections that connections without a request so far may hold
	// before they are protected for firstTime at the cost of others.
	newShare = 4
	// searchPause bounds the searches for stalled clients, each of which looks at all requests.
	searchPause = 10 * time.Millisecond
)

// DefaultSlowBodyTime is the default of Listener.SlowBodyTime, and MinSlowBodyTime and
// MaxSlowBodyTime are the limits of the setting. Below stallTime, stalled bodies would not be
// closed before others.
const (
	DefaultSlowBodyTime = 2 * time.Second
	MinSlowBodyTime     = stallTime
	MaxSlowBodyTime     = 10 * time.Minute
)

// Limits are the limits of the header blocks of a listener.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Listener is a listener with a limited number of connections. At the limit a new connection
// replaces the one that has gone longest without progress, so that clients that connect and do
// nothing do not lock out others. Exported fields are set before use.
type Listener struct {
	net.Listener
	// Name is the name in metrics and log lines.
	Name string
	// MaxConnections is the limit of connections.
	MaxConnections int
	// Limits returns the limits that are in force. nil, and values of 0, stand for the defaults.
	Limits func() Limits
	// SlowBodyTime is how long a body may take to arrive while others need the place of its
	// connection. A client that sends a little more than bodyStep in each stallTime would keep it
	// until the time limit of the request. 0 stands for DefaultSlowBodyTime.
	SlowBodyTime time.Duration
	// Pool is the memory for header blocks, or for calls and messages if RPC is set.
	Pool *Pool
	// Pressure delays reads and new connections while the process uses too much memory, if set.
	Pressure *Pressure
	// RPC is set if the listener serves gRPC, and Encrypted if that is with TLS.
	RPC, Encrypted bool
	// Reports counts what is refused and closed.
	Reports *Reports

	mu sync.Mutex
	// waiting are the lists of connections in phaseNew and phaseIdle, the one that has waited
	// longest first. busy are the other connections.
	waiting [2]order
	busy    order
	// ending is the number of connections in no list whose last response is being written. They
	// may exceed MaxConnections by a share of it.
	ending int
	// fullSince is the time since which all connections have had requests in handlers. isWanted is
	// set while a new connection waits for one of them to become idle, which freed reports.
	fullSince time.Time
	isWanted  bool
	// searched is when the latest search found no stalled client.
	searched time.Time
	freed    chan struct{}
}

// endingShare is one part of MaxConnections that may have a last response written to them. Beyond
// that, connections are closed without one.
const endingShare = 8

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.Pressure.wait(maxAcceptWait)
		c := &Conn{Conn: conn, listener: l, heapIndex: -1}
		if l.RPC {
			c.calls = newCalls(c, l.Encrypted)
		}
		if l.admitSoon(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admitSoon adds a new connection, or returns false if there is no place for it within fullTime.
func (l *Listener) admitSoon(c *Conn) bool {
	for {
		left, ok := l.admit(c, time.Now())
		if ok || left <= 0 {
			return ok
		}
		timer := time.NewTimer(min(left, 2*searchPause))
		select {
		case <-l.freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admit adds a new connection. At the limit it closes another one. If all others have requests
// that make progress, it returns for how long the new one may wait.
func (l *Listener) admit(c *Conn, now time.Time) (left time.Duration, ok bool) {
	l.mu.Lock()
	var victim *Conn
	if l.countLocked() >= l.MaxConnections {
		if victim, left = l.victimLocked(now); victim == nil {
			l.mu.Unlock()
			if left <= 0 {
				l.report(reasonConnections, now)
			}
			return left, false
		}
	}
	l.fullSince, l.isWanted = time.Time{}, false
	c.accepted = now.UnixNano()
	l.waiting[phaseNew].add(c)
	open.Add(l.Name, 1)
	l.mu.Unlock()
	if victim != nil {
		l.report(reasonReplaced, now)
		victim.giveWay(now)
	}
	return 0, true
}

// stalledLocked returns the oldest request whose client has stalled, or else the one whose body has
// been arriving for longest, if that is SlowBodyTime. If there is none, it does not look for one
// again for searchPause.
func (l *Listener) stalledLocked(now time.Time) *Conn {
	if now.Sub(l.searched) < searchPause {
		return nil
	}
	var slow *Conn
	longest := cmp.Or(l.SlowBodyTime, DefaultSlowBodyTime)
	for c := l.busy.first; c != nil; c = c.next {
		if c.isStalled(now) {
			return c
		}
		if took := c.body.arriving(now); took >= longest && (slow == nil || took > longest) {
			slow, longest = c, took
		}
	}
	if slow == nil {
		l.searched = now
	}
	return slow
}

// wantLocked records that a new connection waits, and returns for how long it may.
func (l *Listener) wantLocked(now time.Time) time.Duration {
	if l.fullSince.IsZero() {
		l.fullSince = now
	}
	if l.freed == nil {
		l.freed = make(chan struct{}, 1)
	}
	left := fullTime - now.Sub(l.fullSince)
	l.isWanted = left > 0
	return left
}

// freeLocked notifies a waiting new connection that there is a place.
func (l *Listener) freeLocked() {
	if !l.isWanted {
		return
	}
	l.isWanted = false
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// end takes a connection from the lists because it ends, and reports whether there is room for a
// last response.
func (l *Listener) end(c *Conn) (hasRoom bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.list == nil {
		return false
	}
	l.removeLocked(c)
	if l.ending >= max(1, l.MaxConnections/endingShare) {
		return false
	}
	l.ending++
	c.ending = true
	return true
}

func (l *Listener) countLocked() int {
	return l.waiting[phaseNew].length + l.waiting[phaseIdle].length + l.busy.length
}

// victimLocked returns the connection that a new one replaces, or for how long the new one may wait
// for one. Connections that have never sent a complete request come before those that are kept for
// the next one, and these before requests whose client neither sends nor reads or is slow.
func (l *Listener) victimLocked(now time.Time) (victim *Conn, left time.Duration) {
	first, kept := l.waiting[phaseNew].first, l.waiting[phaseIdle].first
	if first != nil {
		left = firstTime - time.Duration(now.UnixNano()-first.accepted)
	}
	switch {
	case first != nil && left <= 0:
		return first, 0
	case first != nil && l.waiting[phaseNew].length > l.MaxConnections/newShare:
		return nil, left
	case kept != nil:
		return kept, 0
	}
	if c := l.stalledLocked(now); c != nil {
		return c, 0
	}
	if first != nil {
		return nil, left
	}
	return nil, l.wantLocked(now)
}

// isStalled reports whether the client of a request neither sends its body nor reads its
// response, or sends a body that is not needed.
func (c *Conn) isStalled(now time.Time) bool {
	if c.leaving.Load() || c.body.stalled(now) >= stallTime || c.calls != nil && c.calls.areSilent(now) {
		return true
	}
	since := c.writingSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(writeStallTime)
}

// giveWay closes a connection because others need its place or memory. A handler that waits for the
// body of its request responds first if there is room.
func (c *Conn) giveWay(now time.Time) {
	c.listener.Pool.release(c)
	if !c.listener.end(c) || !c.abortBody(now) {
		_ = c.Conn.Close()
	}
}

// removeLocked removes a connection from the lists.
func (l *Listener) removeLocked(c *Conn) {
	if c.list != nil {
		c.remove()
		open.Add(l.Name, -1)
	}
}

func (l *Listener) listLocked(p phase) *order {
	if p == phaseBusy {
		return &l.busy
	}
	return &l.waiting[p]
}

// move changes the phase of a connection.
func (l *Listener) move(c *Conn, to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.list != nil {
		c.remove()
		l.listLocked(to).add(c)
	}
	c.phase.Store(int32(to))
	if to == phaseIdle && l.isWanted && c.list != nil {
		// It would be busy again by the time at which the new connection looks for one.
		l.removeLocked(c)
		_ = c.Conn.Close()
		l.freeLocked()
	}
}

// forget removes a connection that ends and returns its memory.
func (l *Listener) forget(c *Conn) {
	l.Pool.release(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
	if c.ending {
		c.ending = false
		l.ending--
	}
	l.freeLocked()
}

// recordState follows the phases of a connection of net/http.
func (l *Listener) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if c.counted {
			l.Pool.complete(c)
		}
		c.inBackground.Store(false)
		if !c.waiting {
			// The whole header block was read together with the request before.
			c.sentAhead = true
		}
		l.move(c, phaseBusy)
		c.setReadDeadline(time.Time{})
	case http.StateIdle:
		c.endRequest()
		l.move(c, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// endRequest prepares a connection for its next request.
func (c *Conn) endRequest() {
	c.body.end()
	c.waiting = false
	if c.counted {
		c.listener.Pool.release(c)
		c.counted = false
	}
}

// hold lets a connection hold memory of the pool. Others are closed if it is used up. It returns
// false if the connection itself has to be closed.
func (l *Listener) hold(c *Conn, bytes int64, reason string, now time.Time) bool {
	victims, ok := l.Pool.take(c, bytes)
	for _, v := range victims {
		v.listener.report(reason, now)
		v.giveWay(now)
	}
	return ok
}

// holdComplete lets a connection hold memory of the pool for a request whose header block is
// complete. Incomplete ones are closed for it. It returns false if that is not enough.
func (l *Listener) holdComplete(c *Conn, bytes int64, now time.Time) bool {
	c.counted = true
	victims, ok := l.Pool.takeComplete(c, bytes)
	for _, v := range victims {
		v.listener.report(reasonHeaderMemory, now)
		v.giveWay(now)
	}
	return ok
}

func (l *Listener) limits() Limits {
	var limits Limits
	if l.Limits != nil {
		limits = l.Limits()
	}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// Limits that apply where a listener has none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

func (l *Listener) report(reason string, now time.Time) { l.Reports.add(l.Name, reason, now) }
