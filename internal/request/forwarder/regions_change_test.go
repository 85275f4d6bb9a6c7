package forwarder

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// restrict replaces the regions of a route and of the team of requests.
func (f *domains) restrict(route, team []string) {
	set := parser.NewSet()
	set.Add(&parser.Route{Kind: parser.KindRoute, Name: "m", Model: "m", Regions: route})
	set.Add(&parser.Team{Kind: parser.KindTeam, Name: "moulds", Regions: team})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = &parser.Revision{Number: f.revision.Number + 1, Set: set}
}

// TestRegionsChangeMeanwhile guards against an attempt in a region that the configuration in force does not allow,
// because the request has arrived before it, and against the answer of a call in a claim that is restricted by then.
func TestRegionsChangeMeanwhile(t *testing.T) {
	cut := playEvents(acceptedV1, firstTwo)
	tests := []struct {
		name    string
		scripts []script
		service bool
		regions matcher.Regions
		// route and team are the regions from the first attempt on, or from the beginning if early is set.
		route, team []string
		early       bool
		starts      []int
		outcome     identifier.Outcome
		code        string
	}{
		{name: "before the first attempt", scripts: []script{serveWords, serveWords}, team: []string{"r1"}, early: true, starts: []int{0, 1}, outcome: "served"},
		{name: "before a retry", scripts: []script{playEvents(), serveWords, serveWords}, route: []string{"r0", "r2"}, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "before a stream is resumed", scripts: []script{cut, serveWords, serveWords}, route: []string{"r0", "r2"}, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "before a stream is resumed in vain", scripts: []script{cut, serveWords}, team: []string{"r0"}, starts: []int{1, 0}, outcome: "unknown", code: "stream-broken"},
		{name: "beside a silent attempt", scripts: []script{after(time.Hour, serveWords), serveWords, serveWords}, route: []string{"r2"}, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "nothing in common", scripts: []script{serveWords, serveWords}, regions: matcher.Regions{"r0"}, team: []string{"r1"}, early: true, starts: []int{0, 0}, outcome: "not-run", code: "no-replica"},
		{name: "wider", scripts: []script{playEvents(), serveWords, serveWords}, regions: matcher.Regions{"r0", "r2"}, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "call", service: true, scripts: []script{serveStored, serveStored}, team: []string{"r1"}, early: true, starts: []int{0, 1}, outcome: "served"},
		{name: "call, restricted while it runs", service: true, scripts: []script{serveStored, serveStored}, team: []string{"r0"}, starts: []int{1, 0}, outcome: "served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				agents := make([]*fakeAgent, len(tt.scripts))
				var f *domains
				for i, s := range tt.scripts {
					agents[i] = &fakeAgent{cancelState: neverStarted, script: func(stream *fakeStream, start *messenger.AttemptStart) error {
						if f.current().Number == 1 {
							f.restrict(tt.route, tt.team)
						}
						return s(stream, start)
					}}
				}
				f = newDomains(t, agents...)
				if tt.early {
					f.restrict(tt.route, tt.team)
				}
				req := modelRequest()
				if tt.service {
					req = orderRequest("key")
				} else {
					req.Routes = []string{"m"}
				}
				req.Regions = tt.regions
				res := f.Run(t.Context(), req, &sink{})
				c.Assert(res.Outcome, qt.Equals, tt.outcome, qt.Commentf("%v", res.Err))
				if res.Err != nil {
					c.Check(res.Err.Code, qt.Equals, tt.code)
				}
				for i, want := range tt.starts {
					c.Check(len(agents[i].starts), qt.Equals, want, qt.Commentf("starts at agent %d", i))
				}
				if tt.service {
					c.Assert(f.claims.completed, qt.HasLen, 1)
					c.Check(f.claims.completed[0].GetAnswer(), qt.IsNil)
				}
			})
		})
	}
}
