package commander

import (
	"context"
	"flag"
	"runtime/debug"
)

var versionSubcommand = subcommand{
	name:        "version",
	summary:     "print the version of lentil",
	details:     "Version prints the version of lentil and of the Go release that built it.",
	example:     "lentil version -o json",
	defineFlags: func(*flag.FlagSet) runFunc { return runVersion },
}

type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func runVersion(_ context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 0, 0); err != nil {
		return err
	}
	report := versionReport{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		report.Version = info.Main.Version
		report.Go = info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				report.Revision = setting.Value
			}
		}
	}
	if s.json() {
		return s.writeJSON(report)
	}
	s.printf("lentil %s %s\n", report.Version, report.Go)
	return nil
}
