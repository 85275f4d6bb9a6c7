package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLargestRequests guards against limits that a single request within those of the
// configuration reaches: header blocks of 16 KiB and bodies of 4 MiB in any form.
func TestLargestRequests(t *testing.T) {
	entry, _ := startProduct(t, entryBounds(), agentBounds())
	daemons := []struct {
		name   string
		daemon *daemon
		head   string
		// body returns a body of a size.
		body func(n int) string
	}{
		{"platform", startPlatformEntry(t, entryBounds()), platformHead(callerHost)("POST", "/plain/x"), func(n int) string { return strings.Repeat("x", n) }},
		{"product", entry, productHead("POST", "/v1/completions"), func(n int) string {
			text := `{"model":"draft","prompt":"ordinary","max_tokens":2}`
			return text + strings.Repeat(" ", max(0, n-len(text)))
		}},
	}
	const headerBytes = 16 << 10
	for _, d := range daemons {
		room := headerBytes - len(d.head) - 60
		heads := []struct{ name, fields string }{
			{"no more fields", ""},
			{"short fields", string(shortFields(room))},
			{"the same field", strings.Repeat("a:\r\n", room/4)},
			{"one field", "A: " + strings.Repeat("b", room-5) + "\r\n"},
		}
		forms := []struct {
			name  string
			size  int
			piece int
			chunk bool
		}{{"short", 100, 100, false}, {"whole", legalBody, legalBody, false}, {"pieces", legalBody, 16 << 10, false}, {"chunked", legalBody, 64 << 10, true}}
		for _, h := range heads {
			for _, f := range forms {
				t.Run(d.name+"/"+h.name+"/"+f.name, func(t *testing.T) {
					c := qt.New(t)
					conn, err := net.Dial("tcp", d.daemon.addresses["callers"])
					c.Assert(err, qt.IsNil)
					defer func() { _ = conn.Close() }()
					c.Assert(conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
					length := contentLength(f.size)
					if f.chunk {
						length = "Transfer-Encoding: chunked"
					}
					head := d.head + h.fields + length + "\r\n\r\n"
					c.Assert(len(head) <= headerBytes, qt.IsTrue, qt.Commentf("%d bytes", len(head)))
					_, err = io.WriteString(conn, head)
					c.Assert(err, qt.IsNil)
					body := d.body(f.size)
					for len(body) > 0 {
						piece := body[:min(f.piece, len(body))]
						body = body[len(piece):]
						if f.chunk {
							piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
						}
						_, err := io.WriteString(conn, piece)
						c.Assert(err, qt.IsNil)
					}
					if f.chunk {
						_, err = io.WriteString(conn, "0\r\n\r\n")
						c.Assert(err, qt.IsNil)
					}
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					c.Assert(err, qt.IsNil)
					answer, err := io.ReadAll(resp.Body)
					c.Assert(err, qt.IsNil)
					c.Assert(resp.Body.Close(), qt.IsNil)
					c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
				})
			}
		}
	}
}
