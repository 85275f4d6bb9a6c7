package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// baselineDaemons is the number of daemons in the baseline. The cost per daemon
// does not depend on it.
const baselineDaemons = 20

// baselineServer sends the load of every replica to every daemon each second.
type baselineServer struct {
	messenger.UnimplementedEntryServer
	replicas []*messenger.Replica
}

func (s *baselineServer) Exchange(stream messenger.Entry_ExchangeServer) error {
	for n := 1; ; n++ {
		frame := &messenger.ExchangeFrame{Revision: 4711}
		for _, r := range s.replicas {
			frame.Loads = append(frame.Loads, &messenger.ReplicaLoad{Vm: r.GetVm(), Load: controlLoad(n)})
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-time.After(time.Second):
		}
	}
}

// baselineDaemon receives all loads and keeps the latest of each replica.
type baselineDaemon struct {
	bytes atomic.Int64
	pool  connector.Pool
	loads map[string]*messenger.Load
}

func (d *baselineDaemon) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &d.bytes}, nil
}

func (d *baselineDaemon) run(ctx context.Context, address string, wg *sync.WaitGroup) {
	defer wg.Done()
	client, err := d.pool.Entry(address)
	if err != nil {
		return
	}
	stream, err := client.Exchange(ctx)
	if err != nil {
		return
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		for _, load := range frame.GetLoads() {
			d.loads[load.GetVm()] = load.GetLoad()
		}
	}
}

// benchControlBaseline measures the traffic and processor time per daemon when
// every load is sent to every daemon.
func benchControlBaseline(w io.Writer, replicas int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	source := &baselineServer{}
	for i := range replicas {
		source.replicas = append(source.replicas, controlReplica(homeFailureDomain, i))
	}
	server := &controlDaemon{server: grpc.NewServer()}
	messenger.RegisterEntryServer(server.server, source)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go controlServer{server}.run(listener, &wg)
	var daemons []*baselineDaemon
	for range baselineDaemons {
		d := &baselineDaemon{loads: map[string]*messenger.Load{}}
		d.pool.Options = []grpc.DialOption{grpc.WithContextDialer(d.dial)}
		daemons = append(daemons, d)
		wg.Add(1)
		go d.run(ctx, listener.Addr().String(), &wg)
	}
	time.Sleep(controlSettleTime)
	total := func() (n int64) {
		for _, d := range daemons {
			n += d.bytes.Load()
		}
		return n
	}
	before, cpu, started := total(), cpuTime(), time.Now()
	time.Sleep(controlMeasureTime)
	seconds := time.Since(started).Seconds()
	fmt.Fprintf(w, "control-baseline-everything-bytes %.0f B/s\n", float64(total()-before)/seconds/baselineDaemons)
	fmt.Fprintf(w, "control-baseline-everything-core-share %.4f cores\n", (cpuTime()-cpu).Seconds()/seconds/baselineDaemons)
	cancel()
	for _, d := range daemons {
		d.pool.Close()
	}
	server.server.Stop()
	wg.Wait()
	return nil
}
