package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
	"github.com/lentilbridge/lentilbridge/platform"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// Addresses of the deployment on its network.
const (
	entryHost = ".10"
	agentHost = ".20"
	standHost = ".30"
	// gossipPort is the port of the messages between daemons.
	gossipPort = ":7700"
)

// Names of the deployment.
const (
	callerHost   = "fleet.example"
	callerKey    = "key-of-mill"
	plainService = "orders"
	streamModel  = "lentil"
	streamName   = "drafting"
)

const (
	modelChunks = 16
	chunkBytes  = 1 << 20
	// largeBytes is the size of the responses of the path /large/.
	largeBytes = 1 << 20
	// filler is the number of objects that make the update of the kind servers large.
	filler = 400
)

// platformSite is a deployment of one entry daemon and one agent with stand-ins of the store,
// of a replica of a plain service, of a model engine and of the origin of weights.
type platformSite struct {
	t       *testing.T
	network string
	dir     string
	store   *simulator.Store
}

func newPlatformSite(t *testing.T) *platformSite {
	s := &platformSite{t: t, network: starter.ReserveNetwork(t), dir: t.TempDir(), store: simulator.NewStore()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.store.Run(ctx)
	s.serve(standHost+":8007", s.store)
	s.serve(standHost+":8008", origin{})
	s.serve(standHost+":8001", replica{})
	s.configure()
	s.store.WriteVersion(streamModel, 1, time.Now())
	s.put("servers", "r-1", map[string]any{
		"Service": plainService, "Address": s.network + standHost + ":8001", "Zone": "z0", "Version": "1", "Slots": 64, "State": "ready", "born": time.Now().UnixMilli(),
	})
	return s
}

func (s *platformSite) serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", s.network+address)
	qt.Assert(s.t, err, qt.IsNil)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// configure writes the configuration with the limits of the deployments.
func (s *platformSite) configure() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": callerHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 6000, "TargetLatencyMs": 500,
			"Priority": 1, "Service": service, "MaxAttempts": 2,
		}
	}
	s.put("config", "main", map[string]any{
		"Version": 1,
		"Routes":  []any{route("r-plain", "/plain/", "non_idempotent", plainService), route("r-large", "/large/", "idempotent", plainService)},
		"Services": []any{
			map[string]any{"Name": plainService},
			map[string]any{"Name": streamName, "Engine": map[string]any{
				"Models": []any{map[string]any{"Name": streamModel}}, "layers": 8, "Slots": 8, "read_per_s": 19000, "step_ms": 8, "per_seq_ms": 0.1, "Stride": 2,
			}},
			map[string]any{"Name": "origin", "Origin": s.network + standHost + ":8008", "Zone": "z0"},
		},
		"Tenants": []any{map[string]any{"Name": "mill", "ApiKeys": []string{callerKey}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// put writes an object as operators and replicas do.
func (s *platformSite) put(kind, name string, spec any) {
	raw, err := json.Marshal(map[string]any{"Metadata": map[string]any{"Name": name}, "Spec": spec})
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.Post("http://"+s.network+standHost+":8007/-/objects/"+kind, "application/json", bytes.NewReader(raw))
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, resp.Body.Close(), qt.IsNil)
	qt.Assert(s.t, resp.StatusCode, qt.Equals, http.StatusOK)
}

// startDaemon starts a daemon with limits.
func (s *platformSite) startDaemon(role string, settings *simulator.Settings, b bounds) *daemon {
	settings.VM, settings.FailureDomain, settings.StoreAddress = role, "z0", s.network+standHost+":8007"
	settings.Seeds = []string{s.network + entryHost + ":8000"}
	settings.DrainTime, settings.StopTime, settings.VersionTime = 2*time.Second, 8*time.Second, 8*time.Second
	settings.MemoryMB, settings.MaxDescriptors = b.MemoryMB, b.Descriptors
	file := filepath.Join(s.dir, role+".toml")
	qt.Assert(s.t, settings.Write(file), qt.IsNil)
	p := startProgram(s.t, s.dir, role, "lentil-platform", []string{simulator.Environment(file)}, role)
	return &daemon{process: p, bounds: b, addresses: map[string]string{}}
}

// startPlatformEntry starts an entry daemon that serves requests.
func startPlatformEntry(t *testing.T, b bounds) *daemon {
	s := newPlatformSite(t)
	for i := range filler {
		s.put("servers", fmt.Sprintf("other-%d", i), map[string]any{
			"Service": "others", "Address": "127.0.0.1:9", "Zone": "z1", "Version": strings.Repeat("v", 2000), "Slots": 1, "State": "ready",
		})
	}
	ip := s.network + entryHost
	d := s.startDaemon("entry", &simulator.Settings{
		IP: ip, CallerAddress: ip + ":8005", ReadyAddress: ip + ":8002", ControlAddress: ip + ":8000", DirectoryAddress: ip + ":8009",
	}, b)
	d.addresses = map[string]string{
		"callers": ip + ":8005", "no route": ip + ":8005", "readiness": ip + ":8002", "directory": ip + ":8009", "control": ip + ":8000", "metrics": ip + ":9464", "messages": ip + gossipPort,
	}
	d.check = map[string]func() error{
		"messages": func() error { return plainRequest(ip + ":8005") },
		"callers":  func() error { return plainRequest(ip + ":8005") }, "no route": func() error { return plainRequest(ip + ":8005") },
		"readiness": getCheck(ip + ":8002/-/readyz"), "directory": getCheck(ip + ":8009/-/resolve?Name=" + callerHost + "&Region=r&Zone=z0"),
		"control": getCheck(ip + ":8000/updates/config?since=0&wait-ms=0"), "metrics": getCheck(ip + ":9464/debug/vars"),
	}
	waitUntil(t, "the entry daemon serves", func() bool { return d.check["readiness"]() == nil && d.check["callers"]() == nil })
	return d
}

// startPlatformAgent starts an agent that holds a version of the weights.
func startPlatformAgent(t *testing.T, b bounds) *daemon {
	s := newPlatformSite(t)
	engine := &simulator.Engine{VM: "agent", Model: streamModel, Observer: observer{}}
	engine.Restart(time.Now())
	s.serve(agentHost+":8001", engine)
	ip := s.network + agentHost
	d := s.startDaemon("agent", &simulator.Settings{IP: ip, EngineAddress: ip + ":8001", EngineService: streamName}, b)
	d.addresses = map[string]string{"chunks": ip + ":7701", "metrics": ip + ":9464", "messages": ip + gossipPort}
	d.check = map[string]func() error{"messages": func() error { return chunkCheck(ip+":7701", streamModel, "1", insecure.NewCredentials()) }, "metrics": getCheck(ip + ":9464/debug/vars"), "chunks": func() error { return chunkCheck(ip+":7701", streamModel, "1", insecure.NewCredentials()) }}
	waitUntil(t, "the agent holds the weights", func() bool { return d.check["chunks"]() == nil })
	return d
}

// getCheck returns a check that a URL answers with 200.
func getCheck(url string) func() error {
	return func() error {
		r, err := http.NewRequest(http.MethodGet, "http://"+url, nil)
		if err != nil {
			return err
		}
		return roundTrip(r)
	}
}

// plainRequest sends an ordinary request of a caller.
func plainRequest(address string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/plain/x", strings.NewReader("ordinary"))
	if err != nil {
		return err
	}
	r.Host = callerHost
	r.Header.Set(platform.HeaderAttempt, "ordinary")
	r.Header.Set(platform.HeaderKey, callerKey)
	r.Header.Set(platform.HeaderDeadline, "5000")
	return roundTrip(r)
}

// statusError reports a response with another status than 200.
type statusError struct{ Status int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// roundTrip sends a request on a connection of its own and reads the response.
func roundTrip(r *http.Request) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{Status: resp.StatusCode}
	}
	return nil
}

// heldTime is how long the replica takes for requests to the path /plain/held.
const heldTime = 2 * time.Second

// replica is the replica of a plain service. It answers requests to the path /large/ with
// large responses.
type replica struct{}

// ServeHTTP implements http.Handler.
func (replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(platform.HeaderAttempt, r.Header.Get(platform.HeaderAttempt))
	w.Header().Set(platform.HeaderReplica, "r-1")
	body := []byte("done\n")
	if r.URL.Path == "/plain/held" {
		select {
		case <-time.After(heldTime):
		case <-r.Context().Done():
		}
	}
	if strings.HasPrefix(r.URL.Path, "/large/") {
		body = make([]byte, largeBytes)
	}
	sum := sha256.Sum256(body)
	w.Header().Set(platform.HeaderSeal, hex.EncodeToString(sum[:8]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// origin is an origin of weights with large chunks.
type origin struct{}

// ServeHTTP implements http.Handler.
func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	chunk := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, chunkBytes) }
	if !strings.HasPrefix(r.URL.Path, "/-/manifest/") {
		i, _ := strconv.Atoi(r.URL.Query().Get("SampleCount"))
		_, _ = w.Write(chunk(i))
		return
	}
	digests := []string{}
	for i := range modelChunks {
		sum := sha256.Sum256(chunk(i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Model": streamModel, "Version": 1, "ChunkBytes": chunkBytes, "layers": 8, "Digests": digests})
}

// observer ignores that the chunks differ from those that the simulator expects.
type observer struct{ simulator.Observer }

// Ordered implements simulator.Observer.
func (observer) Ordered(string, int, time.Time) {}

// LoadedCorrupt implements simulator.Observer.
func (observer) LoadedCorrupt(string, int, int) {}
