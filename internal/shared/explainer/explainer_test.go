package explainer_test

import (
	"flag"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/peterbourgon/ff/v3"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
)

// Guards against showing errors of the flag parser to users unchanged. They do not suggest the
// correct spelling of a flag or an acceptable value.
func TestExplain(t *testing.T) {
	tests := []struct {
		name    string
		args    []string
		env     string
		message string
	}{
		{name: "misspelt", args: []string{"--sedes", "a"}, message: `flag --sedes does not exist; write --seeds`},
		{name: "unknown", args: []string{"--zzzzzzzzzz", "a"}, message: `flag --zzzzzzzzzz does not exist; type lentil-x --help`},
		{name: "no value", args: []string{"--seeds"}, message: `flag --seeds has no value; write --seeds and a value`},
		{name: "duration", args: []string{"--wait", "5"}, message: `--wait "5" is not a duration; write a duration such as 500ms, 30s or 10m`},
		{name: "number", args: []string{"--size", "5MB"}, message: `--size "5MB" is not a whole number; write a whole number such as 64`},
		{name: "boolean", args: []string{"--force=perhaps"}, message: `--force "perhaps" is not true or false; write true or false`},
		{name: "environment", env: "many", message: `LENTIL_SIZE is not a whole number; set it to a whole number such as 64 or unset it`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.env != "" {
				t.Setenv("LENTIL_SIZE", test.env)
			}
			fs := flag.NewFlagSet("lentil-x", flag.ContinueOnError)
			fs.SetOutput(io.Discard)
			fs.String("seeds", "", "")
			fs.Duration("wait", time.Second, "")
			fs.Int64("size", 1, "")
			fs.Bool("force", false, "")
			err := ff.Parse(fs, test.args, ff.WithEnvVarPrefix(explainer.EnvPrefix))
			c := qt.New(t)
			c.Assert(err, qt.IsNotNil)
			c.Assert(explainer.Explain("lentil-x", fs, err).Error(), qt.Equals, test.message)
		})
	}
}
