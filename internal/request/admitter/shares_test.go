package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	daemonCount = 9
	// demandDelaySeconds is the age of the usage that a daemon has received from
	// the others.
	demandDelaySeconds = 2
)

// simulation simulates entry daemons that share the limits of teams, in steps of one
// second.
type simulation struct {
	limits [daemonCount]limits
	// published holds the usage that each daemon has sent in each second.
	published [][daemonCount][]*messenger.TeamUsage
	// knownSecond returns the second from which daemon i knows the usage at daemon
	// j, or a negative number for none.
	knownSecond func(second, i, j int) int
	// requestRate returns the requests per second of a team at daemon i.
	requestRate func(team string, second, i int) float64
}

// run simulates the given time and returns the admitted requests of each team in
// each second.
func (s *simulation) run(teams []*parser.Team, seconds int) map[string][]float64 {
	start := time.Unix(0, 0)
	admitted := map[string][]float64{}
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		var published [daemonCount][]*messenger.TeamUsage
		for i := range daemonCount {
			published[i] = s.limits[i].updateShares(s.remoteUsage(second, i), true, daemonCount, now)
		}
		s.published = append(s.published, published)
		for _, team := range teams {
			n := 0.0
			for i := range daemonCount {
				requests := int(s.requestRate(team.Name, second, i))
				for k := range requests {
					at := now.Add(time.Duration(k) * time.Second / time.Duration(requests))
					if s.limits[i].charge(team, 1, daemonCount, at) == nil {
						n++
					}
				}
			}
			admitted[team.Name] = append(admitted[team.Name], n)
		}
	}
	return admitted
}

// remoteUsage returns the usage at the other daemons that daemon i knows.
func (s *simulation) remoteUsage(second, i int) []*messenger.TeamUsage {
	var remote []*messenger.TeamUsage
	sums := map[string]*messenger.TeamUsage{}
	for j := range daemonCount {
		known := s.knownSecond(second, i, j)
		if i == j || known < 0 {
			continue
		}
		for _, u := range s.published[known][j] {
			if sums[u.GetTeam()] == nil {
				sums[u.GetTeam()] = &messenger.TeamUsage{Team: u.GetTeam()}
				remote = append(remote, sums[u.GetTeam()])
			}
			sums[u.GetTeam()].Requests += u.GetRequests()
		}
	}
	return remote
}

// delayed returns the second of the usage that a daemon knows if all others are
// reachable.
func delayed(second, _, _ int) int { return second - demandDelaySeconds }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// TestShares guards against a team that gets only a part of its limit because
// its callers use few daemons, and against shares that add up to more than the
// limit.
func TestShares(t *testing.T) {
	// window bounds the mean rate from one second to another, as a ratio to the limit.
	type window struct {
		from, to    int
		least, most float64
	}
	const limit = 200.0
	tests := []struct {
		name        string
		requestRate func(second, i int) float64
		knownSecond func(second, i, j int) int
		windows     []window
	}{
		{
			name:        "one daemon has all demand",
			requestRate: func(_, i int) float64 { return ifElse(i == 0, 1.5*limit, 0) },
			windows:     []window{{0, 60, 0.95, 1.1}, {20, 60, 0.95, 1.06}},
		},
		{
			name:        "demand spread evenly",
			requestRate: func(int, int) float64 { return 0.3 * limit },
			windows:     []window{{20, 60, 0.95, 1.05}},
		},
		{
			name:        "demand spread unevenly",
			requestRate: func(_, i int) float64 { return float64(i*i) / 36 * limit },
			// The demand at one daemon exceeds the limit, and one has none.
			windows: []window{{20, 60, 0.95, 1.06}},
		},
		{
			name: "all demand moves to the other daemons at once",
			requestRate: func(second, i int) float64 {
				return ifElse((i == 0) == (second < 30), 1.5*limit/float64(ifElse(i == 0, 1, 8)), 0)
			},
			windows: []window{{20, 30, 0.95, 1.06}, {30, 40, 0.75, 1.9}, {45, 60, 0.95, 1.06}},
		},
		{
			name:        "demand starts on all daemons at once",
			requestRate: func(second, _ int) float64 { return ifElse(second >= 10, 2*limit, 0) },
			windows:     []window{{10, 20, 1, 2.7}, {25, 60, 0.95, 1.05}},
		},
		{
			name: "a daemon fails and its callers use the others",
			requestRate: func(second, i int) float64 {
				return ifElse(i == 0, ifElse(second < 30, limit, 0), ifElse(second < 30, 0.1, 0.25)*limit)
			},
			knownSecond: func(second, _, j int) int {
				return int(ifElse(j == 0 && second >= 30+demandDelaySeconds, -1, float64(second-demandDelaySeconds)))
			},
			windows: []window{{20, 30, 0.95, 1.06}, {30, 36, 0.7, 1.2}, {36, 60, 0.95, 1.06}},
		},
		{
			name:        "network partition, with stale usage for 20 s and then none",
			requestRate: func(int, int) float64 { return 0.5 * limit },
			knownSecond: func(second, i, j int) int {
				switch isPartitioned := (i < 4) != (j < 4); {
				case !isPartitioned || second < 30:
					return second - demandDelaySeconds
				case second < 50:
					return 30 - demandDelaySeconds
				}
				return -1
			},
			windows: []window{{30, 50, 0.95, 1.06}, {50, 90, 1, 2.12}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &simulation{knownSecond: tt.knownSecond, requestRate: func(_ string, second, i int) float64 { return tt.requestRate(second, i) }}
			if s.knownSecond == nil {
				s.knownSecond = delayed
			}
			admitted := s.run([]*parser.Team{{Name: "t", RequestsPerSecond: limit}}, 90)["t"]
			for _, w := range tt.windows {
				got := mean(admitted[w.from:w.to]) / limit
				t.Logf("%d s to %d s: %.3f of the limit", w.from, w.to, got)
				qt.Check(t, got >= w.least && got <= w.most, qt.IsTrue, qt.Commentf("%v, due %v to %v", got, w.least, w.most))
			}
		})
	}
}

func ifElse(first bool, a, b float64) float64 {
	if first {
		return a
	}
	return b
}

// TestSmallLimit guards against rejected requests of a team with a limit of one
// request per second whose only caller uses one daemon while the others are idle.
func TestSmallLimit(t *testing.T) {
	s := &simulation{knownSecond: delayed, requestRate: func(_ string, second, i int) float64 { return ifElse(i == 3 && second >= 5, 1, 0) }}
	admitted := s.run([]*parser.Team{{Name: "t", RequestsPerSecond: 1}}, 60)["t"]
	qt.Assert(t, mean(admitted[5:]), qt.Equals, 1.0)
}

// TestFloodDoesNotReduceOtherTeam guards against a team far above its limit that
// reduces the rate of another team, also while the demand of the other team moves
// between daemons.
func TestFloodDoesNotReduceOtherTeam(t *testing.T) {
	small := &parser.Team{Name: "small", RequestsPerSecond: 20}
	flood := &parser.Team{Name: "flood", RequestsPerSecond: 100}
	requestRate := func(team string, second, i int) float64 {
		return ifElse(team == "flood", 300, ifElse(i == second/20, 10, 0))
	}
	alone := (&simulation{knownSecond: delayed, requestRate: requestRate}).run([]*parser.Team{small}, 60)
	both := (&simulation{knownSecond: delayed, requestRate: requestRate}).run([]*parser.Team{flood, small}, 60)
	t.Logf("small team %.3f of its demand, flood %.3f of its limit", mean(both["small"])/10, mean(both["flood"][20:])/100)
	qt.Assert(t, both["small"], qt.DeepEquals, alone["small"])
	qt.Assert(t, mean(both["small"])/10 >= 0.95, qt.IsTrue)
	qt.Assert(t, mean(both["flood"][20:])/100 <= 1.06, qt.IsTrue)
}
