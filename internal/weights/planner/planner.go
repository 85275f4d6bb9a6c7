// Package planner decides which chunk of a version an agent reads next and
// from where. It starts no goroutines and takes the present time as an
// argument.
package planner

import (
	"math/rand/v2"
	"time"
)

// Policy is what a transfer saves: time or bytes read from the origin.
type Policy string

// Policies of a rollout.
const (
	// PolicyTime imports from the origin in each region.
	PolicyTime Policy = "time"
	// PolicyOriginBytes imports from the origin in the origin's region only;
	// other regions import from its agents.
	PolicyOriginBytes Policy = "origin-bytes"
)

// Defaults of the limits.
const (
	DefaultNeighbours = 8
	// DefaultInFlight is one request per neighbour. With fewer, senders run out
	// of requests; with more, requests wait at the first holder of a chunk when
	// a second one could serve them.
	DefaultInFlight       = 8
	DefaultPerPeer        = 2
	DefaultImportInFlight = 2
	// DefaultImporters bounds how many agents of a region read from the
	// origin at once. With all agents of a region importing, the origin's rate
	// is spread so thin that the first chunks complete late.
	DefaultImporters = 8
)

// Intervals.
const (
	// AvoidDuration is how long a sender is avoided after its second corrupt chunk.
	AvoidDuration = 60 * time.Second
	// MinStallTimeout is the least time without progress before a takeover.
	MinStallTimeout = time.Second
	// stallFactor is the number of expected chunk times without progress
	// before a takeover.
	stallFactor = 4
	// unknownStall is used before any chunk time is known. It must exceed the
	// time of one chunk on a slow link, or every agent reads every chunk.
	unknownStall = 10 * time.Second
	// startGrace is how long an agent that was not reached yet counts as
	// present: orders do not reach all agents at the same moment.
	startGrace = 3 * time.Second
	// downGrace is how long an agent whose stream broke counts as present.
	downGrace = time.Second
	// awayFor is how long the place of an unreachable neighbour is given to
	// another agent before it is tried again.
	awayFor = 10 * time.Second
	// firstLook is how long imports wait for the bitmaps of the watched peers.
	firstLook = time.Second
	// starvedAfter is how long a chunk that only an importer holds is left to
	// the neighbours.
	starvedAfter = 2 * time.Second
	// minBusy is the least time before a busy sender is asked again.
	minBusy = 20 * time.Millisecond
	// failedFor is how long a sender is left alone after a failed request.
	failedFor = time.Second
	// defaultMaxImportBackoff bounds the time between two reads of a chunk that
	// the origin does not deliver.
	defaultMaxImportBackoff = 8 * time.Second
	minImportBackoff        = 250 * time.Millisecond
)

const (
	// sampleChunks bounds the chunks that one decision compares, so that its
	// cost does not grow with the size of the version.
	sampleChunks = 64
	// endgameChunks is the number of missing chunks at which the last ones
	// are requested from a second sender.
	endgameChunks = 8
	// corruptLimit is the number of corrupt chunks after which a sender is
	// avoided.
	corruptLimit = 2
)

// Peer is another agent, or the agent itself.
type Peer struct {
	VM            string
	Address       string
	Region        string
	FailureDomain string
}

// Kind is the kind of sender of a request.
type Kind int

// Kinds of senders.
const (
	FromPeer Kind = iota
	FromOrigin
	AcrossRegions
)

// Reasons of requests.
const (
	ReasonRarest     = "rarest chunk"
	ReasonStarved    = "held by no neighbour"
	ReasonEndgame    = "endgame"
	ReasonFirst      = "first in rendezvous order"
	ReasonTakeover   = "earlier importer makes no progress"
	ReasonNoOriginVM = "no agent in the origin's region"
)

// Request is one decision: read a chunk from a sender.
type Request struct {
	Kind  Kind
	Chunk int
	// VM is the sender; empty for the origin.
	VM     string
	Reason string
	// Alternatives are importers that were passed over.
	Alternatives []string
	StartedAt    time.Time
}

// Result is the outcome of a request.
type Result int

// Results of requests.
const (
	Done Result = iota
	Corrupt
	Busy
	Missing
	Failed
	// Cancelled requests say nothing about the sender.
	Cancelled
)

// Planner holds what one agent knows of one transfer. Fields are set before
// SetPeers. It is not safe for concurrent use.
type Planner struct {
	Self         Peer
	Digest       string
	Chunks       int
	Policy       Policy
	OriginRegion string
	Random       *rand.Rand

	Neighbours     int
	InFlight       int
	PerPeer        int
	ImportInFlight int
	Importers      int
	// MaxImportBackoff bounds the time between two reads of a chunk that the
	// origin does not deliver.
	MaxImportBackoff time.Duration

	startedAt time.Time
	region    []Peer
	remote    []Peer
	importers []Peer
	// order holds for each chunk the rendezvous order as indexes of importers.
	order   []uint8
	watched map[string]*watched
	// list is watched in the order of VM names, so that decisions do not
	// depend on the order of a map.
	list    []*watched
	chunks  []chunk
	missing int
	// away holds the unreachable agents and when to try them again.
	away map[string]time.Time

	peerInFlight   int
	importInFlight int
	importQueue    []int
	peerTime       average
	importTime     average
	importBackoff  map[int]backoff
	// lastNews is the last time that a chunk became known in the region.
	lastNews       time.Time
	lastOwnImport  time.Time
	extraImporters int
	avoided        []Avoided
}

// Avoided is a sender that is avoided because of corrupt chunks.
type Avoided struct {
	VM    string
	Until time.Time
}

type chunk struct {
	held     bool
	inFlight uint8
	// holders counts the watched agents of the region that hold the chunk.
	holders uint16
	// seenAt is when the chunk was first seen in the region.
	seenAt time.Time
	// askedAt is when the latest request for it started.
	askedAt time.Time
}

type backoff struct {
	until time.Time
	wait  time.Duration
}

// average is a moving average of durations.
type average struct {
	value time.Duration
}

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / 8
}

// stall is the time without progress after which a sender counts as stalled.
func (a *average) stall() time.Duration {
	if a.value == 0 {
		return unknownStall
	}
	return max(MinStallTimeout, stallFactor*a.value)
}

// Start sets up the chunks; has tells which ones the agent holds already.
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
	p.lastNews = now
	p.lastOwnImport = now
	p.watched = map[string]*watched{}
	p.away = map[string]time.Time{}
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

// Complete tells whether no chunk is missing.
func (p *Planner) Complete() bool { return p.missing == 0 }

// MissingChunks returns the number of chunks that are not held.
func (p *Planner) MissingChunks() int { return p.missing }

// Timeout returns how long a request may take.
func (p *Planner) Timeout(req Request) time.Duration {
	if req.Kind == FromPeer {
		return p.peerTime.stall()
	}
	// Another agent takes over long before this, and an abandoned read of the
	// origin wastes what it has already sent.
	return max(unknownStall, 2*p.importTime.stall())
}

// Holds tells whether the agent holds a chunk.
func (p *Planner) Holds(i int) bool { return p.chunks[i].held }

// Avoided returns and clears the senders that were newly avoided.
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
	p.lastNews = now
}

func (p *Planner) penalize(w *watched, req Request, result Result, now time.Time) {
	switch result {
	case Corrupt:
		w.drop(req.Chunk, p)
		w.corrupt++
		if w.corrupt >= corruptLimit {
			w.corrupt = 0
			w.avoid(p, now.Add(AvoidDuration))
			p.avoided = append(p.avoided, Avoided{VM: w.peer.VM, Until: w.avoidUntil})
		}
	case Busy:
		w.busyUntil = now.Add(max(minBusy, p.peerTime.value/4))
	case Missing:
		w.drop(req.Chunk, p)
	case Failed:
		w.busyUntil = now.Add(failedFor)
		// Without this a link that became slower would never complete a
		// request within the timeout.
		if p.peerTime.value > 0 {
			p.peerTime.value += p.peerTime.value / 2
		}
	case Done, Cancelled:
	}
}

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
