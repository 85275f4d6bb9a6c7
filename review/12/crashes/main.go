// Command crashes sends a request that crashes the replicas that run it, kills all entry daemons at
// once, and counts the replicas that the request reaches afterwards.
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
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/review/deployment3"
)

const (
	memoryMB    = 284
	descriptors = 4100
	machines    = 3
	replicas    = 9
	slots       = 6
	// stableWindow is StableWindowMs of the sheet of the Fire Door deployment.
	stableWindow = 3 * time.Second
	// allowed is how often the request may still reach replicas.
	allowed = 3
)

const (
	// kills is how often all entry daemons are killed.
	kills = 2
	// phase is the time in which the request comes, before the first kill and after each one.
	phase         = 8 * time.Second
	crashingPause = time.Second
	soundPause    = 100 * time.Millisecond
	restartPause  = 500 * time.Millisecond
	// touchMargin is added to stableWindow before the request comes again after a kill.
	touchMargin = 2 * time.Second
	// downTime is how long a crashed replica is down, and registeredTime how long its registration
	// remains: three heartbeats of 1,200 ms.
	downTime       = 3 * time.Second
	registeredTime = 3600 * time.Millisecond
	workTime       = 15 * time.Millisecond
	replyTimeout   = 3 * time.Second
)

// crashingPath is that of the request that crashes replicas. Its caller and its body are always the
// same, too.
const crashingPath = "/cert/crash"

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
	s := &site{deployment: d, out: out}
	if err := s.write(); err != nil {
		return out.NotRun(err)
	}
	if err := s.startEntries(); err != nil {
		return out.NotRun(err)
	}
	defer s.stopEntries()
	go (&soundCaller{site: s}).run()
	s.sendCrashing(time.Now().Add(phase))
	for range kills {
		if trouble {
			out.Line("killed", "all entry daemons", "")
			s.stopEntries()
			time.Sleep(restartPause)
			if err := s.startEntries(); err != nil {
				return out.NotRun(err)
			}
		}
		time.Sleep(stableWindow + touchMargin)
		s.sendCrashing(time.Now().Add(phase))
	}
	return s.judge()
}

// site is the deployment with what its replicas have seen.
type site struct {
	deployment *deployment3.Deployment
	out        *deployment3.Recorder

	mu      sync.Mutex
	entries []*deployment3.Entry
	// sent and reached count the crashing requests of callers and those at replicas.
	sent, reached int
	// thirdAt is when the request crashed the third replica, and late how often it reached one
	// later than stableWindow after that.
	thirdAt time.Time
	late    int
	served  int
}

// write writes the configuration and starts the replicas.
func (s *site) write() error {
	if err := s.deployment.Put("config", "main", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "r-cert", "Host": deployment3.Host, "PathPrefix": "/cert/", "Kind": "non_idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 100,
			"Priority": 2, "Service": "records", "MaxAttempts": 1,
		}},
		"Services": []any{map[string]any{"Name": "records"}},
		"Tenants":  []any{map[string]any{"Name": "inspectors", "ApiKeys": []string{deployment3.Key}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}); err != nil {
		return err
	}
	if err := s.deployment.Put("versions", "m", map[string]any{"Model": "m", "Version": 1}); err != nil {
		return err
	}
	for i := range replicas {
		r := &replica{site: s, number: i}
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// startEntries starts all entry daemons at once and waits until they are ready.
func (s *site) startEntries() error {
	var all []*deployment3.Entry
	for n := range machines {
		e, err := s.deployment.LaunchEntry(n, memoryMB, descriptors)
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	for _, e := range all {
		if err := e.WaitReady(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = all
	s.out.Line("ready", "all entry daemons", "")
	return nil
}

// stopEntries kills all entry daemons at once.
func (s *site) stopEntries() {
	s.mu.Lock()
	all := s.entries
	s.entries = nil
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range all {
		wg.Go(e.Stop)
	}
	wg.Wait()
}

// entry returns the address of a random entry daemon, or an empty string if they are down.
func (s *site) entry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return ""
	}
	return s.entries[rand.IntN(len(s.entries))].CallerAddress()
}

// sendCrashing sends the crashing request again and again until a time.
func (s *site) sendCrashing(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(crashingPause) {
		s.sent++
		id := fmt.Sprintf("crash-%d", s.sent)
		s.out.Line("sent", id, "crashing")
		s.out.Line("answered", id, request(s.entry(), crashingPath, id))
	}
}

// soundCaller sends sound requests.
type soundCaller struct{ site *site }

func (c *soundCaller) run() {
	for n := 0; ; n++ {
		time.Sleep(soundPause)
		address := c.site.entry()
		if address == "" {
			continue
		}
		id := fmt.Sprintf("sound-%d", n)
		outcome := request(address, fmt.Sprintf("/cert/door-%d", n), id)
		c.site.out.Line("answered", id, outcome)
		if outcome == "200" {
			c.site.mu.Lock()
			c.site.served++
			c.site.mu.Unlock()
		}
	}
}

// request sends a request on a new connection and returns the status of its answer.
func request(address, path, id string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer closeAll(conn)
	if conn.SetDeadline(time.Now().Add(replyTimeout)) != nil {
		return "no connection"
	}
	const body = "the certificate of a door"
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, deployment3.Host, id, deployment3.Key, len(body), body); err != nil {
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

// replica is a replica that crashes when it begins to run the crashing request. It is back some
// seconds later under another id.
type replica struct {
	site           *site
	number, starts int
	server         *http.Server
	id             string
}

func (r *replica) start() error {
	r.starts++
	r.id = fmt.Sprintf("i-%d-%d", r.number, r.starts)
	address := r.site.deployment.ReplicaAddress(r.number)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: &incarnation{replica: r, id: r.id}, ReadHeaderTimeout: time.Minute}
	go (&serving{r.server, l}).run()
	return r.site.deployment.Put("servers", r.id, map[string]any{
		"Service": "records", "Address": address, "Zone": "z0", "Version": "1", "Slots": slots, "State": "ready", "born": time.Now().UnixMilli(),
	})
}

type serving struct {
	server   *http.Server
	listener net.Listener
}

func (s *serving) run() { _ = s.server.Serve(s.listener) }

// crash ends the replica, and starts it again.
func (r *replica) crash() {
	_ = r.server.Close()
	old := r.id
	time.Sleep(downTime)
	if err := r.start(); err != nil {
		r.site.out.Line("not started", r.id, err.Error())
	}
	time.Sleep(registeredTime - downTime)
	if err := r.site.deployment.Delete("servers", old); err != nil {
		r.site.out.Line("not removed", old, err.Error())
	}
}

// incarnation is one run of a replica.
type incarnation struct {
	replica *replica
	id      string
}

// ServeHTTP implements http.Handler.
func (s *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.Header.Get("X-Expect-Replica") != s.id {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Replica-Id", s.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == crashingPath {
		s.replica.site.recordCrash(id, s.id, time.Now())
		go s.replica.crash()
		<-r.Context().Done()
		return
	}
	s.replica.site.out.Line("run", id, "")
	time.Sleep(workTime)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Seal", "seal")
	_, _ = io.WriteString(w, "filed")
}

// recordCrash records that the request has reached a replica, which crashes.
func (s *site) recordCrash(id, replica string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
	if s.reached == 3 {
		s.thirdAt = now
	}
	detail := "crashes the replica"
	if s.reached > 3 && now.Sub(s.thirdAt) > stableWindow {
		s.late++
		detail = "crashes the replica, late"
	}
	s.out.Line("run", id+" at "+replica, detail)
}

// judge writes the result and returns the exit code.
func (s *site) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := fmt.Sprintf("the crashing request was sent %d times, reached replicas %d times, %d of them later than %s after the third crash (%d are allowed); sound requests served: %d",
		s.sent, s.reached, s.late, stableWindow, allowed, s.served)
	fmt.Println(result)
	s.out.Line("result", result, "")
	switch {
	case s.late > allowed:
		return deployment3.RuleBroken
	case s.reached < 3 || s.served == 0:
		return deployment3.NotRun
	}
	return deployment3.RuleHeld
}

// closeAll closes what was read, or whose content no longer matters.
func closeAll(c io.Closer) { _ = c.Close() }
