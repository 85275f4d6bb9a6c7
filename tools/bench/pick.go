package main

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	directoryReplicas = 4300
	benchModel        = "assistant"
	failureDomains    = 5
	regions           = 2
)

// readyReplica returns the directory entry of a ready replica in the region and
// failure domain of the pickers.
func readyReplica(i int) *messenger.Replica {
	return &messenger.Replica{
		Vm: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("vm-%d:1", i), Incarnation: "i",
		Model: benchModel, Version: "v1", Region: "r0", FailureDomain: "d0",
		State: messenger.ReplicaState_REPLICA_STATE_READY,
	}
}

// spreadReplicas returns n replicas spread evenly over the failure domains.
func spreadReplicas(n int) []picker.Candidate {
	all := make([]picker.Candidate, n)
	for i := range all {
		r := readyReplica(i)
		domain := i % failureDomains
		r.Region, r.FailureDomain = fmt.Sprintf("r%d", domain%regions), fmt.Sprintf("d%d", domain)
		all[i] = picker.Candidate{Replica: r, Load: &messenger.Load{Queued: uint32(i % 7), Rate: 100}}
	}
	return all
}

// pickCase is one configuration of the picker.
type pickCase struct {
	name       string
	policy     picker.Policy
	subsetSize int
	prefix     bool
	log        *zap.Logger
}

// benchPick measures the time and the allocations of one pick, on one core and
// on up to ten.
func benchPick(w io.Writer) error {
	// testing.Benchmark reads flags that only testing.Init defines.
	testing.Init()
	cases := []pickCase{
		{name: "two-choices"},
		{name: "prefix-affinity", prefix: true},
		{name: "two-choices-with-log", log: discardLogger()},
		{name: "linear-scan-of-subset", policy: picker.LinearScan{}},
		{name: "linear-scan-of-all", policy: picker.LinearScan{}, subsetSize: directoryReplicas},
	}
	previous := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(previous)
	for _, cores := range []int{1, min(10, runtime.NumCPU())} {
		runtime.GOMAXPROCS(cores)
		for _, c := range cases {
			c.measure(w, cores)
		}
	}
	return nil
}

// discardLogger returns a logger that encodes log lines and discards them.
func discardLogger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zapcore.InfoLevel))
}

func (c pickCase) measure(w io.Writer, cores int) {
	p := &picker.Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Policy: c.policy, SubsetSize: c.subsetSize, Log: c.log}
	p.Update(spreadReplicas(directoryReplicas), time.Now())
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) { c.pick(p, pb) })
	})
	// All cores pick at the same time, so one pick takes the time between two
	// picks multiplied by the number of cores.
	perPick := float64(result.T.Nanoseconds()) / float64(result.N) * float64(cores)
	name := fmt.Sprintf("pick/%s/cores-%d", c.name, cores)
	fmt.Fprintf(w, "%s/time %.0f ns\n", name, perPick)
	fmt.Fprintf(w, "%s/allocations %d number\n", name, result.AllocsPerOp())
}

func (c pickCase) pick(p *picker.Picker, pb *testing.PB) {
	target := identifier.Target{Model: benchModel}
	now := time.Now()
	for n := uint64(1); pb.Next(); n++ {
		q := picker.Query{Subject: "req", Target: target}
		if c.prefix {
			q.PrefixHash = n%1000 + 1
		}
		choice, _ := p.Pick(&q, now)
		choice.Done(true, now)
	}
}
