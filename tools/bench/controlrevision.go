package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// revisionServer serves pulls of the configuration.
type revisionServer struct {
	messenger.UnimplementedEntryServer
	broadcaster *broadcaster.Broadcaster
}

func (s *revisionServer) Revision(ctx context.Context, r *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	return s.broadcaster.Revision(ctx, r)
}

// revisionObjects is the number of teams and also of routes in the configuration.
const revisionObjects = 200

const revisionPulls = 50

func encodeBenchRevision(r *parser.Revision) ([]byte, error) { return json.Marshal(r) }

func decodeBenchRevision(b []byte) (*parser.Revision, error) {
	var r parser.Revision
	return &r, json.Unmarshal(b, &r)
}

func newRevision(number uint64) *parser.Revision {
	set := parser.NewSet()
	for i := range revisionObjects {
		set.Add(&parser.Team{
			Kind: parser.KindTeam, Name: fmt.Sprintf("team-%d", i), Weight: i%7 + 1, RequestsPerSecond: 50,
			KeyDigests: []string{fmt.Sprintf("%016x%016x%016x%016x", i*7919, i*104729, i*1299709, number)},
		})
		set.Add(&parser.Route{Kind: parser.KindRoute, Name: fmt.Sprintf("route-%d", i), Model: "model-1"})
	}
	return &parser.Revision{Number: number, Set: set}
}

// benchControlRevision measures the bytes that one configuration change costs one
// daemon, which pulls the whole set, compressed.
func benchControlRevision(w io.Writer) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	source := &broadcaster.Broadcaster{Encode: encodeBenchRevision}
	server := &controlDaemon{server: grpc.NewServer()}
	messenger.RegisterEntryServer(server.server, &revisionServer{broadcaster: source})
	var wg sync.WaitGroup
	wg.Add(2)
	go controlServer{server}.run(listener, &wg)
	ctx, cancel := context.WithCancel(context.Background())
	client := &revisionClient{}
	client.pool.Options = []grpc.DialOption{grpc.WithContextDialer(client.dial)}
	source.Offer(newRevision(1), "bench")
	client.broadcaster = &broadcaster.Broadcaster{
		IsRelay: func(time.Time) bool { return false }, Client: client.pool.Entry, Decode: decodeBenchRevision,
		Load: func(context.Context) (*parser.Revision, error) { return newRevision(1), nil },
	}
	go client.run(ctx, &wg)
	before := client.bytes.Load()
	var slowest time.Duration
	for number := uint64(2); number < 2+revisionPulls; number++ {
		source.Offer(newRevision(number), "bench")
		changed := client.broadcaster.Changed()
		started := time.Now()
		client.broadcaster.ObserveRevision(number, listener.Addr().String())
		for client.broadcaster.RevisionNumber() < number {
			<-changed
			changed = client.broadcaster.Changed()
		}
		slowest = max(slowest, time.Since(started))
	}
	encoded, err := encodeBenchRevision(newRevision(2))
	fmt.Fprintf(w, "control-revision-set %d B\n", len(encoded))
	fmt.Fprintf(w, "control-bytes-per-revision %.0f B\n", float64(client.bytes.Load()-before)/revisionPulls)
	fmt.Fprintf(w, "control-revision-pull-slowest %.1f ms\n", slowest.Seconds()*1000)
	cancel()
	client.pool.Close()
	server.server.Stop()
	wg.Wait()
	return err
}

// revisionClient pulls revisions and counts the bytes of its connections.
type revisionClient struct {
	broadcaster *broadcaster.Broadcaster
	pool        connector.Pool
	bytes       atomic.Int64
}

func (c *revisionClient) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	_ = c.broadcaster.Run(ctx)
}

func (c *revisionClient) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &c.bytes}, nil
}
