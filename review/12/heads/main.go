// Command heads lets some replicas send heads of responses without end, whose fields are very short,
// and checks that the processes of entry daemons stay within the memory of their machines.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/review/deployment3"
)

// The sizes are those of the sheet of the large deployment: its smallest entry machine, and its
// model replicas with their slots.
const (
	memoryMB    = 184
	descriptors = 4100
	replicas    = 156
	slots       = 8
	// faultyShare is the share of the replicas in trouble (that of garble in the site file), and
	// spoiltShare that of their answers, for troubleTime in each troubleInterval (those of srv_grey).
	faultyShare     = 0.35
	spoiltShare     = 0.45
	troubleTime     = 6500 * time.Millisecond
	troubleInterval = 10 * time.Second
)

const (
	clients = 1600
	// machines are the entry machines, of which each gets the requests in turn, for at most lasts.
	machines     = 2
	lasts        = 45 * time.Second
	replyTimeout = 8 * time.Second
	streamEvents = 21
	eventPause   = 30 * time.Millisecond
	// burst is the part of a head without end that comes at once. The rest comes slowly.
	burst      = 60000
	fieldPause = 200 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func run(record string, trouble bool) int {
	out, err := deployment3.NewRecorder(record)
	if err != nil {
		fmt.Println(err)
		return deployment3.NotRun
	}
	defer out.Close()
	d, err := deployment3.New(context.Background())
	if err != nil {
		return out.NotRun(err)
	}
	defer d.Close()
	if err := write(d, out, trouble); err != nil {
		return out.NotRun(err)
	}
	return deployment3.PlayAll(d, out, machines, memoryMB, descriptors, clients, &client{out: out}, lasts)
}

// write writes the configuration, the version of the weights and the replicas to the store.
func write(d *deployment3.Deployment, out *deployment3.Recorder, trouble bool) error {
	if err := d.Put("config", "main", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "r-report", "Host": deployment3.Host, "PathPrefix": "/report/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 500,
			"GapTargetMs": 400, "Priority": 1, "Service": "drafting", "MaxAttempts": 2, "Resumable": true, "Sticky": true,
		}},
		"Services": []any{map[string]any{"Name": "drafting", "Engine": map[string]any{
			"Models": []any{map[string]any{"Name": "m"}}, "layers": 16, "Slots": slots, "read_per_s": 19100, "step_ms": 8.87, "per_seq_ms": 0.0388, "Stride": 5,
		}}},
		"Tenants": []any{map[string]any{"Name": "inspectors", "ApiKeys": []string{deployment3.Key}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}); err != nil {
		return err
	}
	if err := d.Put("versions", "m", map[string]any{"Model": "m", "Version": 1}); err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	for i := range replicas {
		isFaulty := trouble && float64(i) < faultyShare*replicas
		if err := d.Serve(d.ReplicaAddress(i), &replica{out: out, isFaulty: isFaulty, began: time.Now()}); err != nil {
			return err
		}
		if err := d.Put("servers", fmt.Sprintf("i-%d", i), map[string]any{
			"Service": "drafting", "Address": d.ReplicaAddress(i), "Zone": "z0", "Version": "1", "Slots": slots, "State": "ready", "born": born,
			"Models": []any{map[string]any{"Name": "m", "Version": 1}},
		}); err != nil {
			return err
		}
	}
	return nil
}

// replica is a model replica that streams a short answer, or sends a head without end.
type replica struct {
	out      *deployment3.Recorder
	isFaulty bool
	began    time.Time
}

// spoils reports whether the replica spoils an answer now.
func (s *replica) spoils(now time.Time) bool {
	return s.isFaulty && now.Sub(s.began)%troubleInterval < troubleTime && rand.Float64() < spoiltShare
}

// ServeHTTP implements http.Handler.
func (s *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if s.spoils(time.Now()) {
		s.out.Line("run", id, "faulty")
		sendEndlessHead(w)
		return
	}
	s.out.Line("run", id, "sound")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Replica-Seal", "seal")
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: tokens\n\n", i)
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// sendEndlessHead sends fields with short names until the caller closes.
func sendEndlessHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeAll(conn)
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	n := 0
	for ; head.Len() < burst; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return
	}
	for ; ; n++ {
		if _, err := fmt.Fprintf(conn, "%x:\r\n", n); err != nil {
			return
		}
		time.Sleep(fieldPause)
	}
}

// client sends requests.
type client struct {
	out *deployment3.Recorder
}

// Request implements deployment3.Client. It sends a request on a new connection.
func (c *client) Request(address, id string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer closeAll(conn)
	if conn.SetDeadline(time.Now().Add(replyTimeout)) != nil {
		return "no connection"
	}
	c.out.Line("sent", id, "")
	body := strings.Repeat("x", 670)
	if _, err := fmt.Fprintf(conn, "POST /report/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Key: %s\r\nX-Model: m\r\nX-Token-Count: 1290,105\r\nX-Prompt-Prefix: 5c1e07a2:40,e4402b7d:1250\r\nContent-Length: %d\r\n\r\n%s",
		deployment3.Host, id, deployment3.Key, len(body), body); err != nil {
		return "closed"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed"
	}
	defer closeAll(resp.Body)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}

// closeAll closes what was read, or whose content no longer matters.
func closeAll(c io.Closer) { _ = c.Close() }
