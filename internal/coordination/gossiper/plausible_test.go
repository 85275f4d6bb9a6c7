package gossiper

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPlausibleMessages guards against messages of other programs whose names fill the memory, and
// against the loss of ordinary contents beside them.
func TestPlausibleMessages(t *testing.T) {
	const from = `"from":{"vm":"v","role":"entry","address":"a:1"}`
	long := strings.Repeat("x", maxNameBytes+1)
	many := func(n int) string {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf(`"n-%d":1`, i))
		}
		return "{" + strings.Join(names, ",") + "}"
	}
	tests := []struct {
		name string
		text string
		// want is the message that is left, or empty if it is ignored.
		want string
	}{
		{"sender", from, from},
		{"long sender", `"from":{"vm":"` + long + `","address":"a:1"}`, ""},
		{"revisions", from + `,"revisions":` + many(maxKinds), from + `,"revisions":` + many(maxKinds)},
		{"many revisions", from + `,"revisions":` + many(maxKinds+1), ""},
		{"long revision", from + `,"revisions":{"` + long + `":1}`, ""},
		{"replica", from + `,"replica":{"address":"r:1","up":true,"versions":{"m":1}}`, from + `,"replica":{"address":"r:1","up":true,"versions":{"m":1}}`},
		{"long replica", from + `,"replica":{"address":"` + long + `"}`, from},
		{"replica of many versions", from + `,"replica":{"address":"r:1","versions":` + many(maxVersions+1) + `}`, from},
		{"members", from + `,"members":[{"vm":"a"},{"vm":"` + long + `"}]`, from + `,"members":[{"vm":"a"}]`},
		{"demand", from + `,"demand":` + many(maxServices), from + `,"demand":` + many(maxServices)},
		{"much demand", from + `,"demand":` + many(maxServices+1), from},
		{"load", from + `,"load":{"r":{},"` + long + `":{}}`, from + `,"load":{"r":{}}`},
		{"much demand of a failure domain", from + `,"digest":{"domain":"d","demand":` + many(maxServices+1) + `}`, from + `,"digest":{"domain":"d"}`},
		{
			"digest", from + `,"digest":{"domain":"d","entries":[{"vm":"a"},{"vm":"` + long + `"}],"replicas":[{"address":"r:1"},{"address":"` + long + `"}],"load":{"r":{},"` + long + `":{}}}`,
			from + `,"digest":{"domain":"d","entries":[{"vm":"a"}],"replicas":[{"address":"r:1"}],"load":{"r":{}}}`,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var m message
			c.Assert(decode([]byte("{"+tc.text+"}"), &m), qt.IsNil)
			ok := m.isPlausible()
			c.Assert(ok, qt.Equals, tc.want != "")
			if !ok {
				return
			}
			var want message
			c.Assert(json.Unmarshal([]byte("{"+tc.want+"}"), &want), qt.IsNil)
			got, err := json.Marshal(m)
			c.Assert(err, qt.IsNil)
			wanted, err := json.Marshal(want)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, string(wanted))
		})
	}
}
