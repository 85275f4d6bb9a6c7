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
	// sendPause is the least time between two frames of a link. It lets deltas
	// of the same moment share a frame.
	sendPause = 100 * time.Millisecond
	// frameRecords bounds the records of one frame, so that a whole directory
	// does not become one message.
	frameRecords = 256
	// bulkRecords bounds the summaries and statuses of one heartbeat.
	bulkRecords = 1024
	// maxLinks bounds the streams that other daemons can open here.
	maxLinks = 4096
	// repairAfter is how long the digests of the two ends must differ before
	// the whole directory is sent again, when they are never both at rest.
	repairAfter = 60 * time.Second
)

type kind uint8

const (
	kindReplica kind = iota
	kindEntry
	kindSummary
	kindLoad
	kindSuspicion
	kindLease
	kindStatus
	kindHint
	kindUsage
)

// key is what a newer message replaces.
type key struct {
	kind kind
	name string
}

// frameStream is what the two ends of Entry.Exchange have in common.
type frameStream interface {
	Send(*messenger.ExchangeFrame) error
	Recv() (*messenger.ExchangeFrame, error)
}

// link is one open stream to another entry daemon.
type link struct {
	monitor  *Monitor
	stream   frameStream
	outbound bool
	// peer is nil until the first frame arrived.
	peer *messenger.EntryVM
	// urgent holds what is sent at once, bulk what is sent with the heartbeat,
	// and loads what is sent with the heartbeat as far as the budget goes.
	urgent, bulk, loads coalescer.Queue[key, proto.Message]

	kick     chan struct{}
	closed   chan struct{}
	once     sync.Once
	received time.Time
	// The rest belongs to the repair by digest.
	synced     bool
	peerDigest uint64
	ownDigest  uint64
	differs    time.Time
	repaired   time.Time
	// introduced is set once the peer got what only this daemon may know.
	introduced bool
	// sentSelf is the own record that the peer has.
	sentSelf *messenger.EntryVM
	passed   map[string]passedLoad
	// sentUsage is the demand that was last queued for the peer.
	sentUsage map[usageSlot]sentUsage
}

// passedLoad is the load that was last queued for the peer.
type passedLoad struct {
	load *messenger.Load
	at   time.Time
}

func (m *Monitor) newLink(stream frameStream, outbound bool, now time.Time) *link {
	return &link{
		monitor: m, stream: stream, outbound: outbound, received: now,
		kick: make(chan struct{}, 1), closed: make(chan struct{}), passed: map[string]passedLoad{},
		sentUsage: map[usageSlot]sentUsage{},
	}
}

// Exchange serves the stream of another entry daemon.
func (m *Monitor) Exchange(stream messenger.Entry_ExchangeServer) error {
	m.init()
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

// serveLink sends and receives until one of the two ends.
func (m *Monitor) serveLink(ctx context.Context, l *link) error {
	go linkReceiver{l}.run()
	err := l.send(ctx)
	l.close()
	m.mu.Lock()
	delete(m.links, l)
	if l.peer != nil && ctx.Err() == nil {
		m.passOverUnlinked(l.peer.GetVm())
	}
	m.mu.Unlock()
	return err
}

func (l *link) close() { l.once.Do(l.closeChannel) }

func (l *link) closeChannel() { close(l.closed) }

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// linkReceiver takes the frames of the other side.
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
		if !l.monitor.apply(l.link, frame, time.Now()) {
			return
		}
	}
}

// send sends heartbeats, and between them what cannot wait.
func (l *link) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatEvery)
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
		pause := time.NewTimer(sendPause)
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
		case <-l.kick:
		case <-ticker.C:
			heartbeat = true
		}
	}
}

// frame builds the next frame. It returns nil when the peer has been silent
// for so long that the link is of no use.
func (l *link) frame(heartbeat bool, now time.Time) *messenger.ExchangeFrame {
	m := l.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(l.received) >= SuspectAfter {
		return nil
	}
	frame := &messenger.ExchangeFrame{Revision: m.revision()}
	if l.sentSelf != m.self {
		l.sentSelf = m.self
		frame.Sender = m.self
	}
	records := l.urgent.Take(nil, frameRecords)
	if heartbeat {
		frame.DirectoryDigest = m.digest
		records = l.bulk.Take(records, bulkRecords)
		records = l.loads.Take(records, l.loadBudget())
	}
	for _, record := range records {
		appendRecord(frame, record)
	}
	return frame
}

// loadBytes is the usual size of one load in a frame.
const loadBytes = 40

// loadBudget is the number of loads in one heartbeat. A relay, and what goes
// to another failure domain, has the budget of the daemons behind it.
func (l *link) loadBudget() int {
	m := l.monitor
	n := m.LoadBytesPerSecond / loadBytes
	if l.peer != nil && m.roleOf(l) != roleMember {
		n *= relayFanIn
	}
	return max(n, 1)
}

// relayFanIn is how many times the budget of a daemon a relay gets, because it
// passes the loads of its whole failure domain on.
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
