package crowd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// productChunkBytes is the size of the chunks of weights, and productWeightBytes that of a
// version.
const (
	productChunkBytes  = 1 << 20
	productWeightBytes = 16 << 20
)

// startProduct starts an entry daemon and an agent with stand-ins of the object API, of the
// origin of weights and of a model engine.
func startProduct(t *testing.T, entryBounds, agentBounds bounds) (entry, agent *daemon) {
	return startProductWith(t, entryBounds, agentBounds, nil)
}

// startProductTLS is startProduct with TLS between the daemons.
func startProductTLS(t *testing.T, entryBounds, agentBounds bounds) (entry, agent *daemon) {
	validUntil := time.Now().Add(time.Hour)
	authority, err := authenticator.NewAuthority(t.TempDir(), validUntil)
	qt.Assert(t, err, qt.IsNil)
	return startProductWith(t, entryBounds, agentBounds, func(vm string, role authenticator.Role) *authenticator.Authenticator {
		certFile, keyFile, err := authority.Issue(vm, role, validUntil)
		qt.Assert(t, err, qt.IsNil)
		return &authenticator.Authenticator{CertFile: certFile, KeyFile: keyFile, CAFile: authority.CAFile}
	})
}

// startProductWith starts the daemons with the key material that issue returns, or without TLS if it
// is nil.
func startProductWith(t *testing.T, entryBounds, agentBounds bounds, issue func(vm string, role authenticator.Role) *authenticator.Authenticator) (entry, agent *daemon) {
	network, dir := starter.ReserveNetwork(t), t.TempDir()
	client := insecure.NewCredentials()
	secure := func(string, authenticator.Role) []string { return nil }
	if issue != nil {
		client = issue("client", authenticator.RoleAgent).Client()
		secure = func(vm string, role authenticator.Role) []string {
			a := issue(vm, role)
			return []string{"--tls-cert", a.CertFile, "--tls-key", a.KeyFile, "--tls-ca", a.CAFile}
		}
	}
	start := func(name, program string, env []string, args ...string) *launcher.Process {
		return startProgram(t, dir, name, program, env, args...)
	}
	api, weights, engineIP, entryIP := network+".30:7000", network+".30:7001", network+agentHost, network+entryHost
	start("object-api", "lentil-standin", nil, "object-api", "--address", api)
	start("weights", "lentil-standin", nil, "weights", "--address", weights, "--versions", fmt.Sprintf("draft/v1=%d:%d:1", productWeightBytes, productChunkBytes))
	start("engine", "lentil-standin", nil, "engine", "--address", engineIP+":8000", "--load-time", "50ms")
	waitUntil(t, "the stand-ins answer", func() bool { return getCheck(api+"/stats")() == nil && getCheck(weights+"/stats")() == nil })
	publish(t, api, weights)
	entry = &daemon{bounds: entryBounds, process: start("entry", "lentil-entry", entryBounds.environment(), append(secure("entry", authenticator.RoleEntry),
		"--vm", "entry", "--region", "r", "--failure-domain", "z", "--public-address", entryIP+":8080", "--rpc-address", entryIP+":9090",
		"--debug-address", entryIP+":6060", "--object-api", "http://"+api, "--seeds", entryIP+":9090", "--entries-valid", "2s")...)}
	agent = &daemon{bounds: agentBounds, process: start("agent", "lentil-agent", agentBounds.environment(), append(secure("agent", authenticator.RoleAgent),
		"--vm", "agent", "--region", "r", "--failure-domain", "z", "--fleet", "drafting", "--model", "draft",
		"--rpc-address", engineIP+":9090", "--debug-address", engineIP+":6060", "--entries", entryIP+":9090",
		"--engine-address", engineIP+":8000", "--weights-address", weights, "--download-rate", "0", "--upload-rate", "0")...)}
	entry.addresses = map[string]string{"callers": entryIP + ":8080", "no route": entryIP + ":8080", "debug": entryIP + ":6060", "rpc": entryIP + ":9090"}
	agent.addresses = map[string]string{"rpc": engineIP + ":9090", "debug": engineIP + ":6060"}
	ordinary := func() error { return completion(entryIP + ":8080") }
	entry.check = map[string]func() error{"callers": ordinary, "no route": ordinary, "debug": getCheck(entryIP + ":6060/readyz"), "rpc": func() error { return claimCheck(entryIP+":9090", client) }}
	agent.check = map[string]func() error{"debug": getCheck(engineIP + ":6060/healthz"), "rpc": func() error { return chunkCheck(engineIP+":9090", "draft", "v1", client) }}
	waitUntil(t, "the entry daemon routes", func() bool { return ordinary() == nil })
	return entry, agent
}

// publish publishes a configuration with one model, its fleet and a team.
func publish(t *testing.T, api, weights string) {
	c := qt.New(t)
	resp, err := http.Get("http://" + weights + "/draft/v1/manifest")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	manifest, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	key := sha256.Sum256([]byte(callerKey))
	set := parser.NewSet()
	set.Add(&parser.Model{Kind: parser.KindModel, Name: "draft", MaxContextTokens: 8192, DefaultMaxTokens: 64})
	set.Add(&parser.ModelVersion{Kind: parser.KindModelVersion, Name: "v1", Model: "draft", Digest: verifier.Sum(manifest), Source: "draft/v1", SizeBytes: productWeightBytes})
	set.Add(&parser.Fleet{Kind: parser.KindFleet, Name: "drafting", Model: "draft", Version: "v1", Regions: []string{"r"}, Replicas: 1, MaxUnavailable: 1})
	set.Add(&parser.Route{Kind: parser.KindRoute, Name: "draft", Model: "draft"})
	set.Add(&parser.Team{
		Kind: parser.KindTeam, Name: "mill", KeyDigests: []string{hex.EncodeToString(key[:])}, Weight: 1,
		RequestsPerSecond: 100_000, TokensPerSecond: 10_000_000, Priority: "interactive",
	})
	p := &publisher.Publisher{Objects: &adapter.HTTPObjectAPI{BaseURL: "http://" + api}, Author: "test"}
	current, _, err := p.Load(context.Background())
	c.Assert(err, qt.IsNil)
	request := publisher.Request{BaseRevision: current.Number}
	for _, o := range set.All() {
		request.Edits = append(request.Edits, publisher.Edit{Ref: o.Ref(), After: o})
	}
	_, err = p.Publish(context.Background(), time.Now(), request)
	c.Assert(err, qt.IsNil)
}

// completion sends an ordinary request for a completion.
func completion(address string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(`{"model":"draft","prompt":"ordinary","max_tokens":2}`))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	return roundTrip(r)
}

// claimCheck checks that an entry daemon answers a call of another one.
func claimCheck(address string, client credentials.TransportCredentials) error {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(client))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = messenger.NewEntryClient(conn).Claim(ctx, &messenger.ClaimRequest{})
	if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded || code == codes.ResourceExhausted {
		return err
	}
	return nil
}

// productHead returns heads of requests of callers to the product.
func productHead(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nLentil-Timeout-Ms: 60000\r\n", method, path, callerKey)
}
