package commander

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const teamFile = `{"kind":"team","name":"presses","weight":WEIGHT,"key-digests":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}`

// writeTeam writes a file with a team and returns its path.
func writeTeam(t *testing.T, weight string) string {
	path := filepath.Join(t.TempDir(), "team.json")
	qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(teamFile, "WEIGHT", weight, 1)), 0o600), qt.IsNil)
	return path
}

// putStatus creates or updates a status object, as daemons do.
func putStatus(ctx context.Context, m *emulator.MemoryObjects, key string, status any) {
	value, _ := json.Marshal(status)
	var current adapter.Object
	listed, _ := m.List(ctx, key)
	if len(listed) == 0 {
		_, _ = m.Create(ctx, key, value)
		return
	}
	current = listed[0]
	_, _ = m.Update(ctx, key, value, current.Version)
}

func regionAtRevisions(revisions ...uint64) parser.RegionStatus {
	status := parser.RegionStatus{Region: "central"}
	for _, r := range revisions {
		status.Daemons = append(status.Daemons, parser.DaemonStatus{VM: "vm", Revision: r})
	}
	return status
}

// Commands that wait must print the progress, continue after an outage of the
// object API, and end in time with the right exit code.
func TestWaiting(t *testing.T) {
	rollout := func(phase string, active int) parser.RolloutStatus {
		return parser.RolloutStatus{Rollout: "r", Version: "v2", Phase: phase, Replicas: 2, Transferred: 2, Active: active}
	}
	tests := []struct {
		name string
		args func(t *testing.T) []string
		// events happen 2 s apart, the first one just before 3 s.
		events []func(ctx context.Context, m *emulator.MemoryObjects)
		code   int
		want   string
	}{
		{
			"apply until in force", func(t *testing.T) []string { return []string{"apply", "--wait", writeTeam(t, "2")} },
			[]func(context.Context, *emulator.MemoryObjects){
				func(ctx context.Context, m *emulator.MemoryObjects) {
					putStatus(ctx, m, "status/central", regionAtRevisions(1, 2))
				},
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(true) },
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(false) },
				func(ctx context.Context, m *emulator.MemoryObjects) {
					putStatus(ctx, m, "status/central", regionAtRevisions(2, 2))
				},
			},
			ExitDone,
			"change team/presses\nrevision 2 published\nrevision 2 in force at 0 of 0 daemons\nrevision 2 in force at 1 of 2 daemons\nrevision 2 in force at 2 of 2 daemons\n",
		},
		{
			"apply times out", func(t *testing.T) []string { return []string{"apply", "--wait", "--timeout", "5s", writeTeam(t, "2")} },
			[]func(context.Context, *emulator.MemoryObjects){
				func(ctx context.Context, m *emulator.MemoryObjects) {
					putStatus(ctx, m, "status/central", regionAtRevisions(2, 1))
				},
			},
			ExitNotInForce,
			"change team/presses\nrevision 2 published\nrevision 2 in force at 0 of 0 daemons\nrevision 2 in force at 1 of 2 daemons\n",
		},
		{
			"follow a rollout", func(*testing.T) []string { return []string{"rollout", "status", "--follow", "r"} },
			[]func(context.Context, *emulator.MemoryObjects){
				func(ctx context.Context, m *emulator.MemoryObjects) {
					putStatus(ctx, m, "rollouts/r", rollout("activating", 1))
				},
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(true) },
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(false) },
				func(ctx context.Context, m *emulator.MemoryObjects) {
					putStatus(ctx, m, "rollouts/r", rollout("done", 2))
				},
			},
			ExitDone,
			`rollout r: no daemon has reported yet
rollout r: activating, 2 of 2 replicas have the weights, 1 serve version v2, 0 bytes from the origin
rollout r: object API not available, trying again
rollout r: activating, 2 of 2 replicas have the weights, 1 serve version v2, 0 bytes from the origin
rollout r: done, 2 of 2 replicas have the weights, 2 serve version v2, 0 bytes from the origin
`,
		},
		{
			"watch", func(*testing.T) []string { return []string{"watch", "--count", "2"} },
			[]func(context.Context, *emulator.MemoryObjects){
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(true) },
				func(_ context.Context, m *emulator.MemoryObjects) { m.SetDown(false) },
				func(ctx context.Context, m *emulator.MemoryObjects) {
					(&Program{Stdout: new(strings.Builder), Stderr: new(strings.Builder), Author: "anan", Objects: m}).
						Run(ctx, []string{"delete", "team/presses"})
				},
			},
			ExitDone,
			`revision 1 by mali at 2000-01-01T00:00:00Z: model/m, model-version/v1, model-version/v2, fleet/f, team/presses, rollout/r
revision 2 by anan at 2000-01-01T00:00:06Z: team/presses deleted
`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				m := &emulator.MemoryObjects{}
				var out, errOut strings.Builder
				p := &Program{Stdout: &out, Stderr: &errOut, Author: "mali", Objects: m}
				c.Assert(p.Run(t.Context(), []string{"apply", "testdata/set.yaml", writeTeam(t, "1")}), qt.Equals, ExitDone, qt.Commentf("%s", &errOut))
				out.Reset()
				for i, event := range test.events {
					time.AfterFunc(time.Duration(2*i+3)*time.Second-time.Millisecond, func() { event(t.Context(), m) })
				}
				c.Assert(p.Run(t.Context(), test.args(t)), qt.Equals, test.code, qt.Commentf("%s", &errOut))
				c.Assert(out.String(), qt.Equals, test.want)
			})
		})
	}
}
