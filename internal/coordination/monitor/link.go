package monitor

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/coalescer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// minSendInterval is the minimum time between two frames on a link. Changes
	// that arrive within it are batched into one frame.
	minSendInterval = 100 * time.Millisecond
	// maxFrameRecords limits the urgent records in one frame, so that a full
	// directory is split over several messages.
	maxFrameRecords = 256
	// maxBulkRecords limits the bulk records, such as summaries and statuses, in
	// one heartbeat.
	maxBulkRecords = 1024
	// maxLinks limits the open streams to and from other daemons, of which the largest deployment has
	// 1,000, and the calls of Exchange together with those that wait for the lock.
	maxLinks = 2048
	// repairDelay is how long the digests of the two ends must differ before the
	// full directory is resent even though the digests keep changing.
	repairDelay = 60 * time.Second
)

// recordKind distinguishes the types of record in a frame.
type recordKind uint8

const (
	kindReplica recordKind = iota
	kindEntry
	kindSummary
	kindLoad
	kindSuspicion
	kindLease
	kindStatus
	kindHint
	kindUsage
)

// recordKey identifies a record in a send queue. A newer record replaces
// a queued one with the same key.
type recordKey struct {
	kind recordKind
	name string
}

// frameStream is the common interface of the client and server streams of
// Entry.Exchange.
type frameStream interface {
	Send(*messenger.ExchangeFrame) error
	Recv() (*messenger.ExchangeFrame, error)
}

// link is one open stream to another entry daemon.
type link struct {
	monitor  *Monitor
	stream   frameStream
	outbound bool
	// peer is nil until the first frame arrives.
	peer *messenger.EntryVM
	// urgent holds records to send immediately, bulk records to send with the
	// next heartbeat, and loads those that heartbeats send within loadBudget.
	urgent, bulk, loads coalescer.Queue[recordKey, proto.Message]

	wakeup       chan struct{}
	closed       chan struct{}
	once         sync.Once
	lastReceived time.Time
	// The fields up to repairedAt track the comparison of directory digests;
	// see compareDigests.
	digestReceived bool
	peerDigest     uint64
	ownDigest      uint64
	differsSince   time.Time
	repairedAt     time.Time
	// initialSyncSent is set once queueInitialRecords has run.
	initialSyncSent bool
	// sentSelf is the record of this daemon that was last sent to the peer.
	sentSelf  *messenger.EntryVM
	sentLoads map[string]sentLoad
	// sentUsage is the demand last queued for the peer.
	sentUsage map[linkUsageKey]sentUsage
}

// sentLoad is a load last queued for the peer.
type sentLoad struct {
	load   *messenger.Load
	sentAt time.Time
}

func (m *Monitor) newLink(stream frameStream, outbound bool, now time.Time) *link {
	return &link{
		monitor: m, stream: stream, outbound: outbound, lastReceived: now,
		wakeup: make(chan struct{}, 1), closed: make(chan struct{}), sentLoads: map[string]sentLoad{},
		sentUsage: map[linkUsageKey]sentUsage{},
	}
}

// Exchange serves the stream from another entry daemon.
func (m *Monitor) Exchange(stream messenger.Entry_ExchangeServer) error {
	m.init()
	defer m.exchanges.Add(-1)
	if m.exchanges.Add(1) > maxLinks {
		return status.Error(codes.ResourceExhausted, "too many links")
	}
	l := m.newLink(stream, false, time.Now())
	if !m.addLink(l) {
		return status.Error(codes.ResourceExhausted, "too many links")
	}
	return m.serveLink(stream.Context(), l)
}

func (m *Monitor) addLink(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) >= maxLinks {
		return false
	}
	m.links[l] = true
	return true
}

// serveLink sends and receives frames until the link breaks or ctx ends.
func (m *Monitor) serveLink(ctx context.Context, l *link) error {
	go linkReceiver{l}.run()
	err := l.send(ctx)
	l.close()
	m.mu.Lock()
	delete(m.links, l)
	if l.peer != nil && ctx.Err() == nil {
		m.markUnreachableLocked(l.peer.GetVm())
	}
	m.mu.Unlock()
	return err
}

func (l *link) close() { l.once.Do(l.closeChannel) }

func (l *link) closeChannel() { close(l.closed) }

func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// linkReceiver applies the frames received from the peer.
type linkReceiver struct {
	*link
}

func (l linkReceiver) run() {
	defer l.close()
	for {
		frame, err := l.stream.Recv()
		if err != nil {
			return
		}
		if !l.monitor.applyFrame(l.link, frame, time.Now()) {
			return
		}
	}
}

// send sends heartbeats and, between them, the urgent records.
func (l *link) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeat := true
	for {
		frame := l.frame(heartbeat, time.Now())
		if frame == nil {
			return status.Error(codes.DeadlineExceeded, "no frame for the time of a suspicion")
		}
		if err := l.stream.Send(frame); err != nil {
			return err
		}
		heartbeat = false
		pause := time.NewTimer(minSendInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.closed:
			return nil
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.closed:
			return nil
		case <-l.urgent.Ready():
		case <-l.wakeup:
		case <-ticker.C:
			heartbeat = true
		}
	}
}

// frame builds the next frame. It returns nil if no frame has been received
// from the peer for SuspectAfter, so that the link is closed and redialed.
func (l *link) frame(heartbeat bool, now time.Time) *messenger.ExchangeFrame {
	m := l.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(l.lastReceived) >= SuspectAfter {
		return nil
	}
	frame := &messenger.ExchangeFrame{Revision: m.revision()}
	if l.sentSelf != m.self {
		l.sentSelf = m.self
		frame.Sender = m.self
	}
	records := l.urgent.Take(nil, maxFrameRecords)
	if heartbeat {
		frame.DirectoryDigest = m.digest
		records = l.bulk.Take(records, maxBulkRecords)
		records = l.loads.Take(records, l.loadBudget())
	}
	for _, record := range records {
		appendRecord(frame, record)
	}
	return frame
}

// typicalLoadBytes is the typical encoded size of one load in a frame.
const typicalLoadBytes = 40

// loadBudget returns the maximum number of loads in one heartbeat. Links to
// relays and to other failure domains get relayFanIn times the budget of
// a member.
func (l *link) loadBudget() int {
	m := l.monitor
	n := m.LoadBytesPerSecond / typicalLoadBytes
	if l.peer != nil && m.roleOf(l) != roleMember {
		n *= relayFanIn
	}
	return max(n, 1)
}

// relayFanIn is the ratio of the load budget of a relay to that of a member.
// A relay forwards the loads of its whole failure domain.
const relayFanIn = 16

func appendRecord(frame *messenger.ExchangeFrame, record proto.Message) {
	switch r := record.(type) {
	case *messenger.Replica:
		frame.Replicas = append(frame.Replicas, r)
	case *messenger.EntryVM:
		frame.Entries = append(frame.Entries, r)
	case *messenger.Summary:
		frame.Summaries = append(frame.Summaries, r)
	case *messenger.ReplicaLoad:
		frame.Loads = append(frame.Loads, r)
	case *messenger.Suspicion:
		frame.Suspicions = append(frame.Suspicions, r)
	case *messenger.LeaseFact:
		frame.Leases = append(frame.Leases, r)
	case *messenger.DaemonStatus:
		frame.Statuses = append(frame.Statuses, r)
	case *messenger.TeamUsage:
		frame.Usages = append(frame.Usages, r)
	}
}
