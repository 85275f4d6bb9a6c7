package parser

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against invalid input that is accepted silently, so that the published
// configuration differs from what the operator wrote. Every problem is reported
// with its line, its field and a suggested correction.
func TestReadFileProblems(t *testing.T) {
	tests := []struct {
		name, file, text string
		want             []string
	}{
		{"unknown key", "a.yaml", "kind: fleet\nname: f\nreplcas: 3\n", []string{`a.yaml:3: fleet/f: replcas: the key is not known for kind fleet; write replicas`}},
		{"unknown key far from all", "a.yaml", "kind: model\nname: m\nzzzzzzzz: 3\n", []string{`a.yaml:3: model/m: zzzzzzzz: the key is not known for kind model; write one of kind, name, max-context-tokens, default-max-tokens`}},
		{"wrong types", "a.yaml", "kind: fleet\nname: 12\nreplicas: many\nregions: x\nadapters: [a, {b: c}]\n", []string{
			`a.yaml:2: fleet/12: name: this is the number 12, not a string; write it in quotes: "12"`,
			`a.yaml:3: fleet/12: replicas: this is the string "many", not a whole number; write a number such as 12`,
			`a.yaml:4: fleet/12: regions: this is the string "x", not a list; write regions: [a, b]`,
			`a.yaml:5: fleet/12: adapters[1]: this is a mapping, not a string; write a string`,
		}},
		{"fraction and overflow", "a.yaml", "kind: fleet\nname: f\nreplicas: 1.5\nmax-unavailable: 99999999999999999999\n", []string{
			`a.yaml:3: fleet/f: replicas: this is the number 1.5, not a whole number; write a number such as 12`,
			`a.yaml:4: fleet/f: max-unavailable: this is the number 99999999999999999999, not a whole number; write a number such as 12`,
		}},
		{"duplicate name in documents", "a.yaml", "kind: model\nname: m\n---\nkind: model\nname: m\n", []string{`a.yaml:5: model/m: name: the name is also declared at a.yaml:1; write another name or delete one of the two`}},
		{"duplicate key", "a.yaml", "kind: model\nname: m\nname: n\n", []string{`a.yaml:3: model/m: name: the key is also on line 2; keep one of the two`}},
		{"missing kind", "a.yaml", "\nname: m\nreplicas: 3\n", []string{`a.yaml:2: m: kind: the key is missing; write kind: fleet`}},
		{"unknown kind", "a.yaml", "kind: flete\nname: m\n", []string{`a.yaml:1: m: kind: kind "flete" does not exist; write fleet`}},
		{"alias", "a.yaml", "kind: team\nname: &n t\nkey-digests: *n\n", []string{`a.yaml:3: team/t: key-digests: this is an alias, not a list; write key-digests: [a, b]`}},
		{"syntax", "a.yaml", "kind: model\nname: [\n", []string{`a.yaml:2: did not find expected node content; correct the YAML or JSON syntax`}},
		{"empty value", "a.yaml", "kind: model\nname: m\nmax-context-tokens:\n", []string{`a.yaml:3: model/m: max-context-tokens: this is empty, not a whole number; write a number such as 12`}},
		{"JSON with tabs", "a.json", "[\n\t{\"kind\": \"model\",\t\"name\": \"m\"},\n\t7\n]\n", []string{`a.json:3: this is the number 7, not an object; write an object with the keys kind and name`}},
		{"no problem", "a.yaml", "# comment\n---\nkind: team\nname: t\nweight: 2\nrequests-per-second: 10\n---\n", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := NewDeclaration()
			d.ReadFile(test.file, []byte(test.text))
			var got []string
			for _, p := range d.Problems {
				got = append(got, p.String())
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against daemons that run a different configuration from the accepted
// one: equal sets must have equal encodings, and an encoding must decode to the
// same set.
func TestEncodeRoundTrip(t *testing.T) {
	c := qt.New(t)
	d := NewDeclaration()
	d.ReadFile("a.yaml", []byte("kind: route\nname: a<b\nmodel: m\naffinity: false\n---\nkind: fleet\nname: f\nadapters: []\nregions: [x]\n"))
	c.Assert(d.Problems, qt.HasLen, 0)
	encoded, err := Encode(d.Set)
	c.Assert(err, qt.IsNil)
	c.Assert(string(encoded), qt.Equals, `[{"kind":"fleet","name":"f","regions":["x"],"replicas":0},{"kind":"route","name":"a<b","model":"m","affinity":false}]`)
	decoded, err := Decode(encoded)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, d.Set)
	for _, malformed := range []string{`{}`, `[{}]`, `[{"kind":"x","name":"y"}]`, `[{"kind":"model"}]`, `[{"kind":"model","name":"m","extra":1}]`, `[{"kind":"model","name":"m"},{"kind":"model","name":"m"}]`, `[`} {
		_, err := Decode([]byte(malformed))
		c.Assert(err, qt.IsNotNil, qt.Commentf(malformed))
	}
}

// Guards against file contents that make the parser panic, and against accepted
// contents that do not survive encoding and decoding.
func FuzzReadFile(f *testing.F) {
	f.Add("kind: fleet\nname: f\nregions: [a, b]\nreplicas: 3\n---\n- kind: model\n  name: m\n", false)
	f.Add("[{\"kind\":\"team\",\t\"name\":\"t\",\"key-digests\":[\"\\u00e9\"]}]", true)
	f.Add("a: &a [*a]\n<<: *a\n", false)
	f.Fuzz(func(t *testing.T, text string, isJSON bool) {
		name := "f.yaml"
		if isJSON {
			name = "f.json"
		}
		d := NewDeclaration()
		d.ReadFile(name, []byte(text))
		if len(d.Problems) > 0 {
			return
		}
		encoded, err := Encode(d.Set)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range d.Set.All() {
			if o.Ref().Name == "" {
				return
			}
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Encode(decoded)
		if err != nil || !bytes.Equal(again, encoded) {
			t.Fatalf("%s became %s: %v", encoded, again, err)
		}
	})
}

// Guards against encoded sets of other processes that make a daemon panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"kind":"fleet","name":"f","regions":["x"],"replicas":1}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(s); err != nil {
			t.Fatal(err)
		}
	})
}
