package monitor

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// noticeEvery is the interval of notices to an agent when nothing changes.
	noticeEvery = 2 * time.Second
	// noticePause is the least time between two notices.
	noticePause = 100 * time.Millisecond
	// confirmAfter lets the draining state leave for the relays before the
	// agent is told that it is known.
	confirmAfter = 2 * sendPause
	// maxSessions bounds the agents with a session here.
	maxSessions = 4096
	// statusEvery is the longest time between two statuses of an agent.
	statusEvery = 10 * time.Second
)

// session is the stream of one agent.
type session struct {
	monitor *Monitor
	stream  messenger.Entry_SessionServer
	kick    chan struct{}
	closed  chan struct{}
	once    sync.Once
	// own is the agent's last record. A report without a record stands for an
	// unchanged one, which saves most bytes of a report.
	own *messenger.Replica
	// The fields below are guarded by the monitor's mutex.
	vm          string
	incarnation string
	reported    time.Time
	draining    time.Time
	hinted      bool
	record      *messenger.Replica
	// status is the last status sent on behalf of the agent.
	status     *messenger.DaemonStatus
	statusSent time.Time
}

// Session serves the stream of an agent. Reports after the first can leave
// out the replica while it has not changed.
func (m *Monitor) Session(stream messenger.Entry_SessionServer) error {
	m.init()
	s := &session{monitor: m, stream: stream, kick: make(chan struct{}, 1), closed: make(chan struct{})}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetReplica().GetVm() == "" || first.GetReplica().GetIncarnation() == "" {
		return status.Error(codes.InvalidArgument, "the first report needs vm and incarnation of the replica")
	}
	s.own = first.GetReplica()
	s.vm, s.incarnation = first.GetReplica().GetVm(), first.GetReplica().GetIncarnation()
	if !m.addSession(s) {
		return status.Error(codes.ResourceExhausted, "too many sessions")
	}
	defer m.dropSession(s)
	m.report(s, first, time.Now())
	go sessionReceiver{s}.run()
	return s.send()
}

func (m *Monitor) addSession(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions) >= maxSessions {
		return false
	}
	m.sessions[s] = true
	return true
}

func (m *Monitor) dropSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
	if r := m.replicas[s.vm]; r != nil && r.session == s {
		r.session = nil
	}
}

func (s *session) close() { s.once.Do(s.closeChannel) }

func (s *session) closeChannel() { close(s.closed) }

func (s *session) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// sessionReceiver takes the reports of the agent.
type sessionReceiver struct {
	*session
}

func (s sessionReceiver) run() {
	defer s.close()
	for {
		report, err := s.stream.Recv()
		if err != nil {
			return
		}
		if report.GetReplica() == nil {
			report.Replica = s.own
		}
		if report.GetReplica().GetVm() != s.vm || report.GetReplica().GetIncarnation() != s.incarnation {
			return
		}
		s.own = report.GetReplica()
		s.monitor.report(s.session, report, time.Now())
	}
}

// report takes a report of an agent.
func (m *Monitor) report(s *session, report *messenger.AgentReport, now time.Time) {
	m.mu.Lock()
	s.reported = now
	s.record = m.mergeReport(report, s, now)
	if s.record.GetIncarnation() == s.incarnation {
		m.noteDraining(s, report.GetReplica().GetState(), now)
	}
	daemonStatus := s.newStatus(report, now)
	m.mu.Unlock()
	if daemonStatus != nil {
		m.SendStatus(daemonStatus)
	}
	if events := report.GetCacheEvents(); len(events) > 0 && m.OnCacheEvents != nil {
		m.OnCacheEvents(s.vm, s.incarnation, events)
	}
	m.notify.Notify()
}

func (m *Monitor) noteDraining(s *session, state messenger.ReplicaState, now time.Time) {
	if state != messenger.ReplicaState_REPLICA_STATE_DRAINING {
		s.draining = time.Time{}
		return
	}
	if s.draining.IsZero() {
		s.draining = now
		s.wake()
	}
}

// newStatus returns the status to send for the report, or nil when it is the
// same as the last and that was not long ago.
func (s *session) newStatus(report *messenger.AgentReport, now time.Time) *messenger.DaemonStatus {
	next := &messenger.DaemonStatus{
		Vm: s.vm, Role: "agent", Region: s.record.GetRegion(),
		Revision: report.GetRevision(), Sequence: uint64(now.UnixMilli()),
		Replica: s.record, Transfers: report.GetTransfers(), LastOrderError: report.GetLastOrderError(),
	}
	if s.status != nil && sameStatus(s.status, next) && now.Sub(s.statusSent) < statusEvery {
		return nil
	}
	s.status, s.statusSent = next, now
	return next
}

func sameStatus(a, b *messenger.DaemonStatus) bool {
	if a.GetRevision() != b.GetRevision() || a.GetLastOrderError() != b.GetLastOrderError() ||
		compareReplicas(a.GetReplica(), b.GetReplica()) != 0 || len(a.GetTransfers()) != len(b.GetTransfers()) {
		return false
	}
	for i, t := range a.GetTransfers() {
		other := b.GetTransfers()[i]
		if t.GetDigest() != other.GetDigest() || t.GetChunksHeld() != other.GetChunksHeld() ||
			t.GetComplete() != other.GetComplete() || t.GetError() != other.GetError() {
			return false
		}
	}
	return true
}

// send sends a notice when something changed for the agent, and one with the
// revision alone now and then.
func (s *session) send() error {
	ticker := time.NewTicker(noticeEvery)
	defer ticker.Stop()
	var last *messenger.EntryNotice
	for {
		notice, wait := s.notice(time.Now())
		if err := s.stream.Send(reduced(notice, last)); err != nil {
			return err
		}
		last = notice
		pause := time.NewTimer(max(wait, noticePause))
		select {
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-s.closed:
			return nil
		case <-pause.C:
		}
		if wait > 0 {
			continue
		}
		select {
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-s.closed:
			return nil
		case <-s.kick:
		case <-ticker.C:
		}
	}
}

// notice returns the whole notice, and how long to wait for one that confirms
// a drain.
func (s *session) notice(now time.Time) (*messenger.EntryNotice, time.Duration) {
	m := s.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	notice := &messenger.EntryNotice{
		Revision:  m.revision(),
		Entries:   SessionOrder(s.vm, s.record.GetFailureDomain(), s.record.GetRegion(), m.liveEntries(now)),
		DrainHint: s.hinted,
		Epochs:    make(map[string]uint64, len(m.leases)),
	}
	for shard, f := range m.leases {
		notice.Epochs[shard] = f.GetEpoch()
	}
	if s.draining.IsZero() {
		return notice, 0
	}
	wait := s.draining.Add(confirmAfter).Sub(now)
	notice.DrainConfirmed = wait <= 0
	return notice, max(wait, 0)
}

// reduced leaves out the entries and epochs that the agent got with the last
// notice.
func reduced(notice, last *messenger.EntryNotice) *messenger.EntryNotice {
	out := &messenger.EntryNotice{
		Revision: notice.Revision, DrainConfirmed: notice.DrainConfirmed, DrainHint: notice.DrainHint,
	}
	if last == nil || !sameEntries(notice.GetEntries(), last.GetEntries()) {
		out.Entries = notice.Entries
	}
	if last == nil || !maps.Equal(notice.GetEpochs(), last.GetEpochs()) {
		out.Epochs = notice.Epochs
	}
	return out
}

func sameEntries(a, b []*messenger.EntryVM) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].GetVm() != b[i].GetVm() || compareEntries(a[i], b[i]) != 0 {
			return false
		}
	}
	return true
}
