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
	knownReplicas = 4300
	benchModel    = "assistant"
	domains       = 5
	regions       = 2
)

// replica returns a directory entry of a ready replica near the entry daemons.
func replica(i int) *messenger.Replica {
	return &messenger.Replica{
		Vm: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("vm-%d:1", i), Incarnation: "i",
		Model: benchModel, Version: "v1", Region: "r0", FailureDomain: "d0",
		State: messenger.ReplicaState_REPLICA_STATE_READY,
	}
}

// spread returns n replicas in 5 failure domains of 2 regions.
func spread(n int) []picker.Candidate {
	all := make([]picker.Candidate, n)
	for i := range all {
		r := replica(i)
		domain := i % domains
		r.Region, r.FailureDomain = fmt.Sprintf("r%d", domain%regions), fmt.Sprintf("d%d", domain)
		all[i] = picker.Candidate{Replica: r, Load: &messenger.Load{Queued: uint32(i % 7), Rate: 100}}
	}
	return all
}

// pickCase is one way to pick.
type pickCase struct {
	name   string
	policy picker.Policy
	subset int
	prefix bool
	log    *zap.Logger
}

// benchPick measures the time and the allocations of one pick.
func benchPick(w io.Writer) error {
	// The benchmark of the testing package reads flags that only Init defines.
	testing.Init()
	cases := []pickCase{
		{name: "two-choices"},
		{name: "prefix-affinity", prefix: true},
		{name: "two-choices-with-log", log: discardingLog()},
		{name: "linear-scan-of-subset", policy: picker.LinearScan{}},
		{name: "linear-scan-of-all", policy: picker.LinearScan{}, subset: knownReplicas},
	}
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	for _, cores := range []int{1, min(10, runtime.NumCPU())} {
		runtime.GOMAXPROCS(cores)
		for _, c := range cases {
			c.report(w, cores)
		}
	}
	return nil
}

// discardingLog encodes decision lines and drops them.
func discardingLog() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zapcore.InfoLevel))
}

func (c pickCase) report(w io.Writer, cores int) {
	p := &picker.Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Policy: c.policy, SubsetSize: c.subset, Log: c.log}
	p.Update(spread(knownReplicas), time.Now())
	got := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) { c.pick(p, pb) })
	})
	// Cores pick at the same time, so that one pick takes as many times the
	// time between two picks.
	perPick := float64(got.T.Nanoseconds()) / float64(got.N) * float64(cores)
	name := fmt.Sprintf("pick/%s/cores-%d", c.name, cores)
	fmt.Fprintf(w, "%s/time %.0f ns\n", name, perPick)
	fmt.Fprintf(w, "%s/allocations %d number\n", name, got.AllocsPerOp())
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
