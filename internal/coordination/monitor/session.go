package monitor

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// noticeInterval is the interval of notices to an agent while nothing
	// changes.
	noticeInterval = 2 * time.Second
	// minNoticeInterval is the minimum time between two notices.
	minNoticeInterval = 100 * time.Millisecond
	// drainConfirmDelay gives links time to send the draining state to the
	// relays before the agent gets a confirmation.
	drainConfirmDelay = 2 * minSendInterval
	// maxSessions limits the concurrent agent sessions.
	maxSessions = 4096
	// DefaultMaxReportBytes limits the reports of agents, which have less than 8 KiB unless an engine
	// returns a long error. maxRecordBytes limits the record of a replica in them, which other
	// daemons get, too: about 200 bytes and the names of its adapters.
	DefaultMaxReportBytes = 64 << 10
	maxRecordBytes        = 4 << 10
	// maxReplicas limits the records that sessions add. The largest deployment has 4,300 replicas.
	maxReplicas = 8192
	// maxStatusInterval is the maximum time between two statuses of an agent.
	maxStatusInterval = 10 * time.Second
)

// session is the stream of one agent.
type session struct {
	monitor *Monitor
	stream  messenger.Entry_SessionServer
	wakeup  chan struct{}
	closed  chan struct{}
	once    sync.Once
	// lastReplica is the agent's last record. Reports omit it while it is
	// unchanged, which saves most of their bytes.
	lastReplica *messenger.Replica
	// The fields below are protected by monitor.mu.
	vm          string
	incarnation string
	lastReport  time.Time
	// drainingSince is when the agent first reported that it drains, or zero.
	drainingSince time.Time
	// drainHinted is set while the VM list marks the agent's VM as leaving.
	drainHinted bool
	// record is the agent's directory record.
	record *messenger.Replica
	// status is the last status sent on behalf of the agent, at statusSent.
	status     *messenger.DaemonStatus
	statusSent time.Time
}

// Session serves the stream of an agent. Reports after the first may omit the
// replica while it is unchanged.
func (m *Monitor) Session(stream messenger.Entry_SessionServer) error {
	m.init()
	s := &session{monitor: m, stream: stream, wakeup: make(chan struct{}, 1), closed: make(chan struct{})}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetReplica().GetVm() == "" || first.GetReplica().GetIncarnation() == "" {
		return status.Error(codes.InvalidArgument, "the first report needs vm and incarnation of the replica")
	}
	if m.isTooLarge(first) {
		return status.Error(codes.InvalidArgument, "the report is too large")
	}
	s.lastReplica = first.GetReplica()
	s.vm, s.incarnation = first.GetReplica().GetVm(), first.GetReplica().GetIncarnation()
	if !m.addSession(s) {
		return status.Error(codes.ResourceExhausted, "too many sessions")
	}
	defer m.removeSession(s)
	m.applyReport(s, first, time.Now())
	go sessionReceiver{s}.run()
	return s.send()
}

// isTooLarge reports whether a report needs more memory than reports may.
func (m *Monitor) isTooLarge(report *messenger.AgentReport) bool {
	return proto.Size(report) > m.MaxReportBytes || proto.Size(report.GetReplica()) > maxRecordBytes
}

func (m *Monitor) addSession(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions) >= maxSessions || m.replicas[s.vm] == nil && !m.hasRoomForReplica() {
		return false
	}
	m.sessions[s] = true
	return true
}

func (m *Monitor) removeSession(s *session) {
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
	case s.wakeup <- struct{}{}:
	default:
	}
}

// sessionReceiver applies the reports of the agent.
type sessionReceiver struct {
	*session
}

func (s sessionReceiver) run() {
	defer s.close()
	for {
		report, err := s.stream.Recv()
		if err != nil || s.monitor.isTooLarge(report) {
			return
		}
		if report.GetReplica() == nil {
			report.Replica = s.lastReplica
		}
		if report.GetReplica().GetVm() != s.vm || report.GetReplica().GetIncarnation() != s.incarnation {
			return
		}
		s.lastReplica = report.GetReplica()
		s.monitor.applyReport(s.session, report, time.Now())
	}
}

// applyReport applies a report of an agent and routes the status derived from
// it.
func (m *Monitor) applyReport(s *session, report *messenger.AgentReport, now time.Time) {
	m.mu.Lock()
	s.lastReport = now
	s.record = m.mergeReport(report, s, now)
	if s.record.GetIncarnation() == s.incarnation {
		m.updateDraining(s, report.GetReplica().GetState(), now)
	}
	daemonStatus := s.statusUpdate(report, now)
	m.mu.Unlock()
	if daemonStatus != nil {
		m.SendStatus(daemonStatus)
	}
	if events := report.GetCacheEvents(); len(events) > 0 && m.OnCacheEvents != nil {
		m.OnCacheEvents(s.vm, s.incarnation, events)
	}
	m.notify.Notify()
}

// updateDraining records when the agent started to drain and wakes the session
// so that the drain is confirmed.
func (m *Monitor) updateDraining(s *session, state messenger.ReplicaState, now time.Time) {
	if state != messenger.ReplicaState_REPLICA_STATE_DRAINING {
		s.drainingSince = time.Time{}
		return
	}
	if s.drainingSince.IsZero() {
		s.drainingSince = now
		s.wake()
	}
}

// statusUpdate returns the status to send for the report, or nil if it equals
// the last one and that was sent less than maxStatusInterval ago.
func (s *session) statusUpdate(report *messenger.AgentReport, now time.Time) *messenger.DaemonStatus {
	next := &messenger.DaemonStatus{
		Vm: s.vm, Role: "agent", Region: s.record.GetRegion(),
		Revision: report.GetRevision(), Sequence: uint64(now.UnixMilli()),
		Replica: s.record, Transfers: report.GetTransfers(), LastOrderError: report.GetLastOrderError(),
	}
	if s.status != nil && sameStatus(s.status, next) && now.Sub(s.statusSent) < maxStatusInterval {
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

// send sends a notice whenever something changes for the agent, and at least
// every noticeInterval.
func (s *session) send() error {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	var last *messenger.EntryNotice
	for {
		notice, wait := s.notice(time.Now())
		if err := s.stream.Send(deltaNotice(notice, last)); err != nil {
			return err
		}
		last = notice
		pause := time.NewTimer(max(wait, minNoticeInterval))
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
		case <-s.wakeup:
		case <-ticker.C:
		}
	}
}

// notice returns the full notice and the time until a drain can be confirmed,
// which is zero if no confirmation is pending.
func (s *session) notice(now time.Time) (*messenger.EntryNotice, time.Duration) {
	m := s.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	notice := &messenger.EntryNotice{
		Revision:  m.revision(),
		Entries:   SessionOrder(s.vm, s.record.GetFailureDomain(), s.record.GetRegion(), m.liveEntries(now)),
		DrainHint: s.drainHinted,
		Epochs:    make(map[string]uint64, len(m.leases)),
	}
	if m.Evacuated != nil {
		notice.Revision, notice.Evacuated = m.Evacuated(s.record.GetFailureDomain())
	}
	for shard, f := range m.leases {
		notice.Epochs[shard] = f.GetEpoch()
	}
	if s.drainingSince.IsZero() {
		return notice, 0
	}
	wait := s.drainingSince.Add(drainConfirmDelay).Sub(now)
	notice.DrainConfirmed = wait <= 0
	return notice, max(wait, 0)
}

// deltaNotice returns the notice without the entries and epochs that are
// unchanged since the last notice.
func deltaNotice(notice, last *messenger.EntryNotice) *messenger.EntryNotice {
	out := &messenger.EntryNotice{
		Revision: notice.Revision, DrainConfirmed: notice.DrainConfirmed, DrainHint: notice.DrainHint,
		Evacuated: notice.Evacuated,
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
