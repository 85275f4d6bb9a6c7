package splitter

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDeepValueFailsOthers guards against a deeply nested or malformed value that makes the
// values beside it unreadable.
func TestDeepValueFailsOthers(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat("]}", 20_000)
	tests := []struct {
		name, value string
		depth       int
	}{
		{"deep", deep, 40_000},
		{"string with brackets", `"]},\"{["`, 0},
		{"number too large", `1e400`, 0},
		{"unknown literal", `NaN`, 0},
		{"mismatched brackets", `{"a":[}]`, 2},
		{"brackets in a name", `{"]}":1}`, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			fields, err := Fields([]byte(` {"first":1 , "odd": ` + tc.value + ` ,"last" : {"b":2}} `))
			c.Assert(err, qt.IsNil)
			c.Assert(fields, qt.HasLen, 3)
			c.Assert(string(fields["odd"]), qt.Equals, tc.value)
			c.Assert(string(fields["last"]), qt.Equals, `{"b":2}`)
			elements, err := Elements([]byte("[1," + tc.value + ",\n[2]]"))
			c.Assert(err, qt.IsNil)
			c.Assert(elements, qt.HasLen, 3)
			c.Assert(string(elements[2]), qt.Equals, `[2]`)
			c.Assert(Depth([]byte(tc.value)), qt.Equals, tc.depth)
		})
	}
}

// TestTruncatedTextCounts guards against a truncated response that counts as complete.
func TestTruncatedTextCounts(t *testing.T) {
	text := []byte(`{"a":[{"b":"c"},1],"d":true}`)
	for n := range len(text) {
		_, err := Fields(text[:n])
		var syntax *SyntaxError
		qt.Assert(t, errors.As(err, &syntax), qt.IsTrue, qt.Commentf("%s", text[:n]))
	}
	for _, trailing := range []string{`{"a":1}{`, `{"a":1}]`, `{"a":1,}`, `{"a" 1}`, `{1:1}`, `[]`, ``} {
		_, err := Fields([]byte(trailing))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(trailing))
	}
}

// FuzzFields guards against values that differ from those that encoding/json finds.
func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":"\"]"},1e400],"d":true,"a":null}`))
	f.Add([]byte(`{"\u0061":"\\","":[[[]]]}`))
	f.Add([]byte(`[1,{"a":"b"}]`))
	f.Add([]byte(`{"a":tru]e}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Fields(data)
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) == nil && want != nil {
			if err != nil || len(got) != len(want) {
				t.Fatalf("%q: %v, %d values, want %d", data, err, len(got), len(want))
			}
			for name, value := range want {
				if !bytes.Equal(got[name], value) {
					t.Fatalf("%q: %q is %q, want %q", data, name, got[name], value)
				}
			}
		}
		_, _ = Elements(data)
		Depth(data)
	})
}
