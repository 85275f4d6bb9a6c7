package crowd

import (
	"flag"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// The limits of the daemons in the tests. They are low, so that a few hundred clients exceed
// them. The flags are for runs by hand at the sizes of deployments, with as many times the
// clients.
var (
	entryMemory   = flag.Int("entry-memory-mb", 96, "memory of entry VMs")
	agentMemory   = flag.Int("agent-memory-mb", 128, "memory of engine VMs")
	descriptors   = flag.Int("descriptors", 700, "file descriptors of VMs")
	clientsFactor = flag.Float64("clients", 1, "factor of the number of clients")
)

func entryBounds() bounds { return bounds{MemoryMB: *entryMemory, Descriptors: *descriptors} }
func agentBounds() bounds { return bounds{MemoryMB: *agentMemory, Descriptors: *descriptors} }

// loadTime is how long each load lasts.
const loadTime = 2500 * time.Millisecond

// daemon is the daemon under test.
type daemon struct {
	process   *launcher.Process
	bounds    bounds
	addresses map[string]string
	// check holds a check by listener that an ordinary request is answered.
	check map[string]func() error
}

// networkOf holds the networks of the listeners whose network is not tcp.
var networkOf = map[string]string{"messages": "udp"}

// row is a load on a listener of a daemon.
type row struct {
	listener string
	load     load
}

func rows(listener string, lists ...[]load) []row {
	var out []row
	for _, l := range slices.Concat(lists...) {
		out = append(out, row{listener, l})
	}
	return out
}

// play plays each load on a daemon of its own. It guards against clients that make a daemon
// exit, hang, exceed the memory of its VM, or use up its file descriptors.
func play(t *testing.T, start func(t *testing.T) *daemon, head func(method, path string) string, rows []row) {
	playFor(t, loadTime, start, head, rows)
}

// playFor is play with loads that last another time.
func playFor(t *testing.T, lasts time.Duration, start func(t *testing.T) *daemon, head func(method, path string) string, rows []row) {
	for _, r := range rows {
		t.Run(r.listener+"/"+r.load.name, func(t *testing.T) {
			c := qt.New(t)
			d := start(t)
			before := peakMemoryMB(t, d.process)
			sampler := &descriptorSampler{process: d.process, stop: make(chan struct{}), ended: make(chan struct{})}
			go sampler.run()
			(&crowd{address: d.addresses[r.listener], head: head, clients: int(*clientsFactor * float64(r.load.clients)), lasts: lasts, play: r.load.play, network: networkOf[r.listener]}).run()
			close(sampler.stop)
			<-sampler.ended
			c.Assert(d.process.Running(), qt.IsTrue, qt.Commentf("the process has exited"))
			memory := peakMemoryMB(t, d.process)
			t.Logf("peak memory %d MB (%d before the load), %d descriptors", memory, before, sampler.most)
			c.Check(memory <= d.bounds.MemoryMB, qt.IsTrue, qt.Commentf("%d MB, bound %d MB", memory, d.bounds.MemoryMB))
			c.Check(sampler.most <= d.bounds.Descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%d descriptors of %d", sampler.most, d.bounds.Descriptors))
			c.Check(d.check[r.listener](), qt.IsNil)
			c.Check(d.process.Running(), qt.IsTrue, qt.Commentf("the process has exited"))
		})
	}
}

// descriptorSampler records the highest number of open descriptors of a process.
type descriptorSampler struct {
	process     *launcher.Process
	most        int
	stop, ended chan struct{}
}

func (s *descriptorSampler) run() {
	defer close(s.ended)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.most = max(s.most, openDescriptors(s.process))
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// TestPlatformEntry plays the loads on the listeners of lentil-platform entry.
func TestPlatformEntry(t *testing.T) {
	start := func(t *testing.T) *daemon { return startPlatformEntry(t, entryBounds()) }
	play(t, start, platformHead(callerHost), platformEntryRows())
}

func platformEntryRows() []row {
	const update = "/updates/servers?since=0&wait-ms=0"
	return slices.Concat(
		rows("callers", bodies("POST", "/plain/x"), heads("POST", "/plain/x"), pipelines("POST", "/plain/x"), readers("/large/x")),
		rows("no route", bodies("POST", "/nowhere"), heads("POST", "/nowhere")[:1], pipelines("GET", "/nowhere")),
		rows("readiness", bodies("POST", "/-/readyz"), heads("GET", "/-/readyz"), pipelines("GET", "/-/readyz")),
		rows("directory", bodies("POST", "/-/resolve")[:1], heads("GET", "/-/resolve"), pipelines("GET", "/-/resolve?Name="+callerHost+"&Region=r&Zone=z0")),
		rows("control", bodies("POST", update)[:1], heads("GET", update), pipelines("GET", update), readers(update)),
		rows("metrics", bodies("POST", "/debug/vars")[:1], heads("GET", "/debug/vars"), pipelines("GET", "/debug/vars"), readers("/debug/vars")),
	)
}

// TestPlatformAgent plays the loads on the listeners of lentil-platform agent.
func TestPlatformAgent(t *testing.T) {
	start := func(t *testing.T) *daemon { return startPlatformAgent(t, agentBounds()) }
	play(t, start, platformHead("h"), slices.Concat(
		rows("chunks", calls(messenger.Chunks_Get_FullMethodName, messenger.Chunks_Have_FullMethodName), []load{unreadChunks(streamModel, "1")}),
		rows("metrics", heads("GET", "/debug/vars"), pipelines("GET", "/debug/vars")),
	))
}

// TestEntry plays the loads on the listeners of lentil-entry.
func TestEntry(t *testing.T) {
	const path = "/v1/completions"
	start := func(t *testing.T) *daemon {
		entry, _ := startProduct(t, entryBounds(), agentBounds())
		return entry
	}
	play(t, start, productHead, slices.Concat(
		rows("callers", bodies("POST", path), heads("POST", path), pipelines("GET", "/v1/models")),
		rows("no route", bodies("POST", "/nowhere"), pipelines("GET", "/nowhere")),
		rows("debug", bodies("POST", "/readyz")[:1], heads("GET", "/readyz"), pipelines("GET", "/debug/vars"), readers("/debug/vars")),
		rows("rpc", calls(messenger.Entry_Claim_FullMethodName, messenger.Entry_Session_FullMethodName)),
	))
}

// TestAgent plays the loads on the listeners of lentil-agent.
func TestAgent(t *testing.T) {
	start := func(t *testing.T) *daemon {
		_, agent := startProduct(t, entryBounds(), agentBounds())
		return agent
	}
	play(t, start, productHead, slices.Concat(
		rows("rpc", calls(messenger.Agent_Reserve_FullMethodName, messenger.Agent_Attempt_FullMethodName), []load{unreadChunks("draft", "v1")}),
		rows("debug", heads("GET", "/readyz"), pipelines("GET", "/debug/vars")),
	))
}
