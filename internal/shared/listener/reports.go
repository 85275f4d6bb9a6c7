package listener

import (
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// Reasons for which connections and requests are refused or closed.
const (
	// reasonConnections: all connections of the listener have requests that make progress.
	reasonConnections = "connections"
	// reasonReplaced: a new connection took the place of one without progress.
	reasonReplaced = "replaced"
	// reasonHeaderSize: the header block is over its limit.
	reasonHeaderSize = "header-size"
	// reasonHeaderMemory: the memory for header blocks is used up.
	reasonHeaderMemory = "header-memory"
	// reasonBodyMemory: the memory for bodies is used up, and the body made no progress.
	reasonBodyMemory = "body-memory"
	// reasonMessageMemory: the memory for messages of gRPC is used up.
	reasonMessageMemory = "message-memory"
	// reasonResets: the client opens and resets calls of gRPC all the time.
	reasonResets = "resets"
	// reasonCompressed: the client sent a compressed message of gRPC that is too large.
	reasonCompressed = "compressed"
	// reasonHandshakeSize: the client sent too much before its certificate was verified.
	reasonHandshakeSize = "handshake-size"
	// reasonDeadline: the time limit of a connection could not be set.
	reasonDeadline = "deadline"
)

var (
	// closed counts the connections and requests that were refused or closed, by listener and
	// reason.
	closed = expvar.NewMap("listeners.closed")
	// open is the number of connections by listener.
	open = expvar.NewMap("listeners.connections")
	// memory is what header blocks and gRPC calls hold, by pool.
	memory = expvar.NewMap("listeners.memory")
)

// reportInterval is the least time between two log lines of the same listener and reason, and between
// two lines of the pressure.
const reportInterval = time.Second

// newLogLimiter returns a limiter that allows one log line per reportInterval.
func newLogLimiter() *rate.Limiter { return rate.NewLimiter(rate.Every(reportInterval), 1) }

// Reports writes a log line for the first of the refusals of a listener in each second, with the
// number of those since the last line.
type Reports struct {
	Log *logger.Logger

	mu    sync.Mutex
	since map[string]*report
}

// report holds the refusals since the last log line.
type report struct {
	limiter *rate.Limiter
	count   int
}

func (r *Reports) add(listener, reason string, now time.Time) {
	key := listener + "." + reason
	closed.Add(key, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since == nil {
		r.since = map[string]*report{}
	}
	current := r.since[key]
	if current == nil {
		current = &report{limiter: newLogLimiter()}
		r.since[key] = current
	}
	current.count++
	if !current.limiter.AllowN(now, 1) {
		return
	}
	r.Log.Warn("clients refused", zap.String("listener", listener), zap.String("reason", reason), zap.Int("count", current.count))
	current.count = 0
}
