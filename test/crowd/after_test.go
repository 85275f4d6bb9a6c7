package crowd

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Sizes of the loads of requests that are sent ahead.
const (
	aheadClients  = 400
	aheadRequests = 24
	// queryBytes is the size of a query, which is within the limits of header blocks.
	queryBytes = 3 << 10
)

// manyParameters returns a query of n bytes of short parameters.
func manyParameters(n int) string {
	var out strings.Builder
	for i := 0; out.Len() < n; i++ {
		_, _ = fmt.Fprintf(&out, "&%x", i)
	}
	return "?" + out.String()[1:]
}

// sentAhead is a load of complete requests on one connection whose responses are not read.
func sentAhead(method, path, body string) load {
	return load{"requests with many parameters sent ahead", aheadClients, func(c *client) {
		one := append(c.head(method, path+manyParameters(queryBytes), contentLength(len(body))), "\r\n"+body...)
		if c.write(bytes.Repeat(one, aheadRequests)) {
			c.hold()
		}
	}}
}

// TestRequestsAfterCrowd guards against requests of clients that have disconnected and hold the
// places of an ordinary request that comes immediately afterwards.
func TestRequestsAfterCrowd(t *testing.T) {
	tests := []mix{
		{"platform entry", func(t *testing.T) *daemon { return startPlatformEntry(t, smallestEntry) }, platformHead(callerHost), []row{
			{"callers", sentAhead("POST", "/plain/x", "")},
			{"callers", sentAhead("POST", "/plain/held", "")},
			{"directory", sentAhead("GET", "/-/resolve", "")},
			{"control", sentAhead("GET", "/updates/servers", "")},
			{"readiness", sentAhead("GET", "/-/readyz", "")},
			{"metrics", sentAhead("GET", "/debug/vars", "")},
		}},
		{"entry", func(t *testing.T) *daemon {
			entry, _ := startProduct(t, smallestEntry, smallestEngine)
			return entry
		}, productHead, []row{
			// The engine takes 2 s for each of them.
			{"callers", sentAhead("POST", "/v1/completions", `{"model":"draft","prompt":"held","max_tokens":400}`)},
			{"callers", sentAhead("GET", "/v1/models", "")},
			{"debug", sentAhead("GET", "/readyz", "")},
		}},
	}
	for _, m := range tests {
		t.Run(m.name, func(t *testing.T) {
			c := qt.New(t)
			d := m.start(t)
			var ended sync.WaitGroup
			for _, r := range m.rows {
				ended.Go((&crowd{address: d.addresses[r.listener], head: m.head, clients: r.load.clients, lasts: loadTime, play: r.load.play}).run)
			}
			ended.Wait()
			began := time.Now()
			err := d.check["callers"]()
			t.Logf("the first request took %s", time.Since(began))
			c.Check(err, qt.IsNil)
			c.Assert(d.process.Running(), qt.IsTrue, qt.Commentf("the process has exited"))
			memory := peakMemoryMB(t, d.process)
			t.Logf("peak memory %d MB", memory)
			c.Check(memory <= d.bounds.MemoryMB, qt.IsTrue, qt.Commentf("%d MB, bound %d MB", memory, d.bounds.MemoryMB))
		})
	}
}
