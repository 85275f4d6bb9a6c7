// Package planner schedules the chunk requests of a transfer: it selects the
// next chunk to request and its sender. It starts no goroutines and takes the
// current time as an argument.
package planner

import (
	"math/rand/v2"
	"time"
)

// Policy selects what a transfer minimizes: its duration or the bytes read from
// the origin.
type Policy string

// Transfer policies.
const (
	// PolicyTime imports from the origin in each region.
	PolicyTime Policy = "time"
	// PolicyOriginBytes imports from the origin in the origin's region only;
	// other regions import from its agents.
	PolicyOriginBytes Policy = "origin-bytes"
)

// Default limits of a Planner.
const (
	// DefaultNeighbours is the number of agents of the region that an agent
	// regularly requests chunks from.
	DefaultNeighbours = 8
	// DefaultInFlight limits the concurrent requests to peers. It allows one
	// request per neighbour. Fewer requests leave senders idle; more queue up at
	// the first holder of a chunk although a second holder could serve them.
	DefaultInFlight = 8
	// DefaultPerPeer limits the concurrent requests to one peer.
	DefaultPerPeer = 2
	// DefaultImportInFlight limits the concurrent imports of one agent.
	DefaultImportInFlight = 2
	// DefaultImporters limits how many agents of a region read from the origin
	// concurrently. If all agents of a region import, each gets so little of
	// the origin's bandwidth that the first chunks complete late.
	DefaultImporters = 8
)

// Timeouts and intervals.
const (
	// AvoidDuration is how long a sender is not used after it has sent
	// maxCorruptChunks corrupt chunks.
	AvoidDuration = 60 * time.Second
	// MinStallTimeout is the minimum time without progress after which another
	// importer takes over.
	MinStallTimeout = time.Second
	// stallFactor is the stall timeout as a multiple of the average chunk
	// transfer time.
	stallFactor = 4
	// defaultStallTimeout is the stall timeout until a chunk transfer time has
	// been measured. It must exceed the transfer time of one chunk on a slow
	// link; otherwise every importer would take over every chunk.
	defaultStallTimeout = 10 * time.Second
	// connectGracePeriod is how long an agent that has not been reached yet is
	// considered reachable: orders reach the agents at different times.
	connectGracePeriod = 3 * time.Second
	// disconnectGracePeriod is how long an agent is considered reachable after
	// its stream broke.
	disconnectGracePeriod = time.Second
	// neighbourRetryInterval is how long an unreachable neighbour stays replaced
	// by another agent before it is tried again.
	neighbourRetryInterval = 10 * time.Second
	// initialBitmapTimeout is how long imports wait for the first bitmaps of the
	// watched peers.
	initialBitmapTimeout = time.Second
	// starvationTimeout is how long a missing chunk that is in the region, but
	// held by no neighbour, is waited for before it is requested from another
	// watched agent.
	starvationTimeout = 2 * time.Second
	// minBusyBackoff is the minimum pause before a busy sender is asked again.
	minBusyBackoff = 20 * time.Millisecond
	// failureBackoff is the pause before a sender is asked again after a failed
	// request.
	failureBackoff = time.Second
	// defaultMaxImportBackoff is the default of Planner.MaxImportBackoff.
	defaultMaxImportBackoff = 8 * time.Second
	// minImportBackoff is the first backoff after a failed import.
	minImportBackoff = 250 * time.Millisecond
)

const (
	// sampleChunks limits the chunks that one decision compares, so that its
	// cost does not grow with the size of the version.
	sampleChunks = 64
	// endgameChunks is the number of missing chunks at or below which a slow
	// request is duplicated to a second sender.
	endgameChunks = 8
	// maxCorruptChunks is the number of corrupt chunks after which a sender is
	// avoided for AvoidDuration.
	maxCorruptChunks = 2
)

// Peer identifies an agent that takes part in a transfer.
type Peer struct {
	VM            string
	Address       string
	Region        string
	FailureDomain string
}

// Kind is the type of sender that a request goes to.
type Kind int

// Types of senders.
const (
	// FromPeer is an agent of the same region.
	FromPeer Kind = iota
	// FromOrigin is the origin of the weights.
	FromOrigin
	// AcrossRegions is an agent of the origin's region.
	AcrossRegions
)

// Reasons for requests, as they are logged.
const (
	ReasonRarest     = "rarest chunk"
	ReasonStarved    = "held by no neighbour"
	ReasonEndgame    = "endgame"
	ReasonFirst      = "first in rendezvous order"
	ReasonTakeover   = "earlier importer makes no progress"
	ReasonNoOriginVM = "no agent in the origin's region"
)

// Request is a chunk to read and the sender to read it from.
type Request struct {
	Kind  Kind
	Chunk int
	// VM is the sender; empty for the origin.
	VM     string
	Reason string
	// Alternatives are the importers that precede this agent in the import order
	// of the chunk and were skipped.
	Alternatives []string
	StartedAt    time.Time
}

// Result is the outcome of a request.
type Result int

// Results of requests.
const (
	// Done: the chunk was received and verified.
	Done Result = iota
	// Corrupt: the chunk does not match its digest.
	Corrupt
	// Busy: the sender refused the request because of its load.
	Busy
	// Missing: the sender does not hold the chunk.
	Missing
	// Failed: the request failed for another reason or timed out.
	Failed
	// Cancelled: the request was canceled, which is not counted against the sender.
	Cancelled
)

// Planner holds one agent's state of one transfer. Exported fields must be set
// before use. It is not safe for concurrent use.
type Planner struct {
	// Self is the agent that runs the transfer.
	Self Peer
	// Digest identifies the version. All agents that transfer it compute the same
	// rendezvous order from it.
	Digest string
	// Chunks is the number of chunks of the version.
	Chunks       int
	Policy       Policy
	OriginRegion string
	Random       *rand.Rand

	// Limits. Zero values are replaced by the defaults in Start.
	Neighbours     int
	InFlight       int
	PerPeer        int
	ImportInFlight int
	Importers      int
	// MaxImportBackoff limits the backoff between import attempts of a chunk
	// whose import fails.
	MaxImportBackoff time.Duration

	startedAt time.Time
	// region holds the agents of this region, including Self, in rendezvous order
	// of the version.
	region []Peer
	// remote holds the agents of the origin's region if it is another one.
	remote []Peer
	// importers is the prefix of region that may import.
	importers []Peer
	// importerOrder holds, for each chunk, indexes into importers in rendezvous
	// order. The entries of chunk i start at i*len(importers).
	importerOrder []uint8
	watched       map[string]*watchedPeer
	// watchedList holds the values of watched, sorted by VM name, so that
	// decisions do not depend on the iteration order of a map.
	watchedList []*watchedPeer
	chunks      []chunk
	missing     int
	// unreachableUntil maps the VMs of unreachable agents to the time of the
	// next attempt to reach them.
	unreachableUntil map[string]time.Time

	// peerInFlight and importInFlight count the requests in progress.
	peerInFlight   int
	importInFlight int
	// importQueue holds the chunks that this agent should import now.
	importQueue []int
	// peerTime and importTime average the durations of successful requests.
	peerTime   average
	importTime average
	// importBackoff holds the backoff of each chunk whose last import failed.
	importBackoff map[int]backoff
	// lastProgress is when a chunk was last received or first seen in the
	// region.
	lastProgress time.Time
	// lastOwnImport is when this agent last completed an import or had nothing to
	// import.
	lastOwnImport time.Time
	// extraImporters is the number of importers that were added because the
	// regular ones made no progress.
	extraImporters int
	// avoided holds the senders to return from Avoided.
	avoided []Avoided
}

// Avoided is a sender that is not used until a given time because it sent
// corrupt chunks.
type Avoided struct {
	VM    string
	Until time.Time
}

// chunk is the state of one chunk.
type chunk struct {
	held     bool
	inFlight uint8
	// holders is the number of watched agents of the region that hold the chunk,
	// without excluded ones.
	holders uint16
	// firstSeenAt is when holders last rose from zero.
	firstSeenAt time.Time
	// requestedAt is when the latest request for the chunk started.
	requestedAt time.Time
}

// backoff is the time of the next attempt and the delay that led to it.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// averageWeight is the inverse weight of a new value in an average.
const averageWeight = 8

// average is an exponential moving average of durations.
type average struct {
	value time.Duration
}

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / averageWeight
}

// stallTimeout returns the time without progress after which a sender is
// considered stalled: a multiple of the average duration.
func (a *average) stallTimeout() time.Duration {
	if a.value == 0 {
		return defaultStallTimeout
	}
	return max(MinStallTimeout, stallFactor*a.value)
}

// Start initializes the state of the transfer. has reports whether the agent
// already holds a chunk.
func (p *Planner) Start(has func(int) bool, now time.Time) {
	p.Neighbours = orDefault(p.Neighbours, DefaultNeighbours)
	p.InFlight = orDefault(p.InFlight, DefaultInFlight)
	p.PerPeer = orDefault(p.PerPeer, DefaultPerPeer)
	p.ImportInFlight = orDefault(p.ImportInFlight, DefaultImportInFlight)
	p.Importers = orDefault(p.Importers, DefaultImporters)
	if p.MaxImportBackoff <= 0 {
		p.MaxImportBackoff = defaultMaxImportBackoff
	}
	p.startedAt = now
	p.lastProgress = now
	p.lastOwnImport = now
	p.watched = map[string]*watchedPeer{}
	p.unreachableUntil = map[string]time.Time{}
	p.importBackoff = map[int]backoff{}
	p.chunks = make([]chunk, p.Chunks)
	p.missing = p.Chunks
	for i := range p.chunks {
		if has(i) {
			p.chunks[i].held = true
			p.missing--
		}
	}
}

// Complete reports whether the agent holds all chunks.
func (p *Planner) Complete() bool { return p.missing == 0 }

// MissingChunks returns the number of chunks that the agent does not hold.
func (p *Planner) MissingChunks() int { return p.missing }

// Timeout returns the timeout of a request.
func (p *Planner) Timeout(req Request) time.Duration {
	if req.Kind == FromPeer {
		return p.peerTime.stallTimeout()
	}
	// The timeout of imports is generous: another importer takes over earlier
	// than that, and aborting a read of the origin wastes the bytes that it has
	// already sent.
	return max(defaultStallTimeout, 2*p.importTime.stallTimeout())
}

// Holds reports whether the agent holds a chunk.
func (p *Planner) Holds(i int) bool { return p.chunks[i].held }

// Avoided returns the senders that were avoided since the last call.
func (p *Planner) Avoided() []Avoided {
	out := p.avoided
	p.avoided = nil
	return out
}

// Finish records the outcome of a request.
func (p *Planner) Finish(req Request, result Result, now time.Time) {
	c := &p.chunks[req.Chunk]
	if c.inFlight > 0 {
		c.inFlight--
	}
	if req.Kind == FromPeer {
		p.peerInFlight--
	} else {
		p.importInFlight--
	}
	w := p.watched[req.VM]
	if w != nil && w.inFlight > 0 {
		w.inFlight--
	}
	if result == Done {
		p.finishDone(req, now)
		return
	}
	if w != nil {
		p.penalize(w, req, result, now)
	}
	if req.Kind != FromPeer && result != Cancelled {
		p.backOffImport(req.Chunk, now)
	}
}

// finishDone records that a chunk was received.
func (p *Planner) finishDone(req Request, now time.Time) {
	took := now.Sub(req.StartedAt)
	if req.Kind == FromPeer {
		p.peerTime.add(took)
	} else {
		p.importTime.add(took)
		p.lastOwnImport = now
		delete(p.importBackoff, req.Chunk)
	}
	c := &p.chunks[req.Chunk]
	if !c.held {
		c.held = true
		p.missing--
	}
	p.lastProgress = now
}

// penalize updates the state of a sender after a request that was not successful.
func (p *Planner) penalize(w *watchedPeer, req Request, result Result, now time.Time) {
	switch result {
	case Corrupt:
		w.removeChunk(req.Chunk, p)
		w.corrupt++
		if w.corrupt >= maxCorruptChunks {
			w.corrupt = 0
			w.exclude(p, now.Add(AvoidDuration))
			p.avoided = append(p.avoided, Avoided{VM: w.peer.VM, Until: w.avoidUntil})
		}
	case Busy:
		w.busyUntil = now.Add(max(minBusyBackoff, p.peerTime.value/4))
	case Missing:
		w.removeChunk(req.Chunk, p)
	case Failed:
		w.busyUntil = now.Add(failureBackoff)
		// The failure may be a timeout. Raising the average raises the timeout,
		// so that requests can complete again on a link that became slower.
		if p.peerTime.value > 0 {
			p.peerTime.value += p.peerTime.value / 2
		}
	case Done, Cancelled:
	}
}

// backOffImport delays the next import of a chunk, twice as long after each failure.
func (p *Planner) backOffImport(i int, now time.Time) {
	b := p.importBackoff[i]
	b.wait = min(max(minImportBackoff, 2*b.wait), p.MaxImportBackoff)
	jitter := time.Duration(p.Random.Int64N(int64(b.wait)/2 + 1))
	b.until = now.Add(b.wait + jitter)
	p.importBackoff[i] = b
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
