package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	daemons = 9
	// newsDelay is the age of the demand that daemons hear of, in seconds.
	newsDelay = 2
)

// fleet is entry daemons that share limits, with time as a number of seconds.
type fleet struct {
	limits [daemons]limits
	told   [][daemons][]*messenger.TeamUsage
	// knows returns the second whose demand at daemon j is known at i, or a
	// negative number.
	knows func(second, i, j int) int
	// asks is the demand in requests per second.
	asks func(team string, second, i int) float64
}

// run returns the requests of each second that were taken.
func (f *fleet) run(teams []*parser.Team, seconds int) map[string][]float64 {
	start := time.Unix(0, 0)
	taken := map[string][]float64{}
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		var told [daemons][]*messenger.TeamUsage
		for i := range daemons {
			told[i] = f.limits[i].share(f.elsewhere(second, i), true, daemons, now)
		}
		f.told = append(f.told, told)
		for _, team := range teams {
			n := 0.0
			for i := range daemons {
				asked := int(f.asks(team.Name, second, i))
				for k := range asked {
					at := now.Add(time.Duration(k) * time.Second / time.Duration(asked))
					if f.limits[i].take(team, 1, daemons, at) == nil {
						n++
					}
				}
			}
			taken[team.Name] = append(taken[team.Name], n)
		}
	}
	return taken
}

func (f *fleet) elsewhere(second, i int) []*messenger.TeamUsage {
	var others []*messenger.TeamUsage
	sums := map[string]*messenger.TeamUsage{}
	for j := range daemons {
		at := f.knows(second, i, j)
		if i == j || at < 0 {
			continue
		}
		for _, u := range f.told[at][j] {
			if sums[u.GetTeam()] == nil {
				sums[u.GetTeam()] = &messenger.TeamUsage{Team: u.GetTeam()}
				others = append(others, sums[u.GetTeam()])
			}
			sums[u.GetTeam()].Requests += u.GetRequests()
		}
	}
	return others
}

func delayed(second, _, _ int) int { return second - newsDelay }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// TestShares guards against a team that gets only a part of its limit because
// its callers use few daemons, and against shares that add up to more.
func TestShares(t *testing.T) {
	type window struct {
		from, to    int
		least, most float64
	}
	const limit = 200.0
	tests := []struct {
		name    string
		asks    func(second, i int) float64
		knows   func(second, i, j int) int
		windows []window
	}{
		{
			name:    "one daemon has all demand",
			asks:    func(_, i int) float64 { return either(i == 0, 1.5*limit, 0) },
			windows: []window{{0, 60, 0.95, 1.1}, {20, 60, 0.95, 1.06}},
		},
		{
			name:    "demand spread evenly",
			asks:    func(int, int) float64 { return 0.3 * limit },
			windows: []window{{20, 60, 0.95, 1.05}},
		},
		{
			name: "demand spread unevenly",
			asks: func(_, i int) float64 { return float64(i*i) / 36 * limit },
			// One daemon asks for more than the limit, one for nothing.
			windows: []window{{20, 60, 0.95, 1.06}},
		},
		{
			name: "all demand moves at once",
			asks: func(second, i int) float64 {
				return either((i == 0) == (second < 30), 1.5*limit/float64(either(i == 0, 1, 8)), 0)
			},
			windows: []window{{20, 30, 0.95, 1.06}, {30, 40, 0.75, 1.9}, {45, 60, 0.95, 1.06}},
		},
		{
			name:    "demand starts on all daemons at once",
			asks:    func(second, _ int) float64 { return either(second >= 10, 2*limit, 0) },
			windows: []window{{10, 20, 1, 2.7}, {25, 60, 0.95, 1.05}},
		},
		{
			name: "a daemon dies and its callers go elsewhere",
			asks: func(second, i int) float64 {
				return either(i == 0, either(second < 30, limit, 0), either(second < 30, 0.1, 0.25)*limit)
			},
			knows: func(second, _, j int) int {
				return int(either(j == 0 && second >= 30+newsDelay, -1, float64(second-newsDelay)))
			},
			windows: []window{{20, 30, 0.95, 1.06}, {30, 36, 0.7, 1.2}, {36, 60, 0.95, 1.06}},
		},
		{
			name: "a split, with the known demand for 20 s and then without",
			asks: func(int, int) float64 { return 0.5 * limit },
			knows: func(second, i, j int) int {
				switch apart := (i < 4) != (j < 4); {
				case !apart || second < 30:
					return second - newsDelay
				case second < 50:
					return 30 - newsDelay
				}
				return -1
			},
			windows: []window{{30, 50, 0.95, 1.06}, {50, 90, 1, 2.12}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fleet{knows: tt.knows, asks: func(_ string, second, i int) float64 { return tt.asks(second, i) }}
			if f.knows == nil {
				f.knows = delayed
			}
			taken := f.run([]*parser.Team{{Name: "t", RequestsPerSecond: limit}}, 90)["t"]
			for _, w := range tt.windows {
				got := mean(taken[w.from:w.to]) / limit
				t.Logf("%d s to %d s: %.3f of the limit", w.from, w.to, got)
				qt.Check(t, got >= w.least && got <= w.most, qt.IsTrue, qt.Commentf("%v, due %v to %v", got, w.least, w.most))
			}
		})
	}
}

func either(first bool, a, b float64) float64 {
	if first {
		return a
	}
	return b
}

// TestSmallLimit guards against the refusal of a team with a limit of one
// request per second whose only caller uses one daemon of an idle fleet.
func TestSmallLimit(t *testing.T) {
	f := &fleet{knows: delayed, asks: func(_ string, second, i int) float64 { return either(i == 3 && second >= 5, 1, 0) }}
	taken := f.run([]*parser.Team{{Name: "t", RequestsPerSecond: 1}}, 60)["t"]
	qt.Assert(t, mean(taken[5:]), qt.Equals, 1.0)
}

// TestFloodAndSmallTeam guards against a team far over its limit that lowers
// what another team gets, also while the other team's demand moves.
func TestFloodAndSmallTeam(t *testing.T) {
	small := &parser.Team{Name: "small", RequestsPerSecond: 20}
	flood := &parser.Team{Name: "flood", RequestsPerSecond: 100}
	asks := func(team string, second, i int) float64 {
		return either(team == "flood", 300, either(i == second/20, 10, 0))
	}
	alone := (&fleet{knows: delayed, asks: asks}).run([]*parser.Team{small}, 60)
	both := (&fleet{knows: delayed, asks: asks}).run([]*parser.Team{flood, small}, 60)
	t.Logf("small team %.3f of its demand, flood %.3f of its limit", mean(both["small"])/10, mean(both["flood"][20:])/100)
	qt.Assert(t, both["small"], qt.DeepEquals, alone["small"])
	qt.Assert(t, mean(both["small"])/10 >= 0.95, qt.IsTrue)
	qt.Assert(t, mean(both["flood"][20:])/100 <= 1.06, qt.IsTrue)
}
