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

// revisionServer serves the pulls of a configuration.
type revisionServer struct {
	messenger.UnimplementedEntryServer
	broadcaster *broadcaster.Broadcaster
}

func (s *revisionServer) Revision(ctx context.Context, r *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	return s.broadcaster.Revision(ctx, r)
}

// revisionObjects is the number of teams and routes of the configuration.
const revisionObjects = 200

const revisionPulls = 50

func encodeBenchRevision(r *parser.Revision) ([]byte, error) { return json.Marshal(r) }

func decodeBenchRevision(b []byte) (*parser.Revision, error) {
	var r parser.Revision
	return &r, json.Unmarshal(b, &r)
}

func revisionOf(number uint64) *parser.Revision {
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

// benchControlRevision measures the bytes of one configuration change for one
// daemon: the pull of the whole set, compressed.
func benchControlRevision(w io.Writer) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	source := &broadcaster.Broadcaster{Encode: encodeBenchRevision}
	server := &controlDaemon{server: grpc.NewServer()}
	messenger.RegisterEntryServer(server.server, &revisionServer{broadcaster: source})
	var workers sync.WaitGroup
	workers.Add(2)
	go controlServer{server}.run(listener, &workers)
	ctx, cancel := context.WithCancel(context.Background())
	reader := &revisionReader{}
	reader.pool.Options = []grpc.DialOption{grpc.WithContextDialer(reader.dial)}
	source.Offer(revisionOf(1), "bench")
	reader.broadcaster = &broadcaster.Broadcaster{
		IsRelay: func(time.Time) bool { return false }, Client: reader.pool.Entry, Decode: decodeBenchRevision,
		Load: func(context.Context) (*parser.Revision, error) { return revisionOf(1), nil },
	}
	go reader.run(ctx, &workers)
	before := reader.bytes.Load()
	var slowest time.Duration
	for number := uint64(2); number < 2+revisionPulls; number++ {
		source.Offer(revisionOf(number), "bench")
		changed := reader.broadcaster.Changed()
		started := time.Now()
		reader.broadcaster.ObserveRevision(number, listener.Addr().String())
		for reader.broadcaster.RevisionNumber() < number {
			<-changed
			changed = reader.broadcaster.Changed()
		}
		slowest = max(slowest, time.Since(started))
	}
	encoded, err := encodeBenchRevision(revisionOf(2))
	fmt.Fprintf(w, "control-revision-set %d B\n", len(encoded))
	fmt.Fprintf(w, "control-bytes-per-revision %.0f B\n", float64(reader.bytes.Load()-before)/revisionPulls)
	fmt.Fprintf(w, "control-revision-pull-slowest %.1f ms\n", slowest.Seconds()*1000)
	cancel()
	reader.pool.Close()
	server.server.Stop()
	workers.Wait()
	return err
}

type revisionReader struct {
	broadcaster *broadcaster.Broadcaster
	pool        connector.Pool
	bytes       atomic.Int64
}

func (r *revisionReader) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	_ = r.broadcaster.Run(ctx)
}

func (r *revisionReader) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, &r.bytes}, nil
}
