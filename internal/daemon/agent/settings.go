package agent

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	programName = "lentil-agent"

	defaultDrainTimeout = 10 * time.Minute
	defaultMaxRunning   = 64
	defaultMaxWaiting   = 256
)

// Settings holds the settings of an agent.
type Settings struct {
	VM            string
	Region        string
	FailureDomain string
	Fleet         string
	// Model is the model of the fleet, reported until an order names it. It may
	// be empty.
	Model string
	// Service is the service that the backend server runs.
	Service          string
	RPCAddress       string
	AdvertiseAddress string
	DebugAddress     string
	// Entries are the RPC addresses of the entry daemons to connect to first.
	Entries        []string
	EngineAddress  string
	ServiceAddress string
	WeightsAddress string
	DrainTimeout   time.Duration
	LogLevel       string
	MaxRunning     int
	MaxWaiting     int
	// UploadRate, DownloadRate and RegionRate limit weight transfers in bytes
	// per second. 0 leaves the rate to the limiter.
	UploadRate   int64
	DownloadRate int64
	RegionRate   int64
	// MaxWeightsBytes limits the weights in memory; 0 means no limit.
	MaxWeightsBytes int64
	// MemoryMB and MaxDescriptors are the limits of the process; 0 stands for those of the system.
	MemoryMB       int
	MaxDescriptors int
	// TLS encrypts and authenticates the connections between daemons.
	TLS *authenticator.Authenticator
}

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string
	Text    string
}

func (e *SettingError) Error() string { return e.Setting + ": " + e.Text }

// ParseSettings reads the settings from arguments and environment variables
// (LENTIL_VM for --vm). It returns flag.ErrHelp after --help.
func ParseSettings(flags *flag.FlagSet, args []string) (Settings, error) {
	s := Settings{TLS: &authenticator.Authenticator{}}
	flags.StringVar(&s.VM, "vm", "", "`name` of this VM, unique among all VMs")
	flags.StringVar(&s.Region, "region", "", "`name` of this VM's region")
	flags.StringVar(&s.FailureDomain, "failure-domain", "", "`name` of this VM's failure domain")
	flags.StringVar(&s.Fleet, "fleet", "", "`name` of the fleet that this VM belongs to")
	flags.StringVar(&s.Model, "model", "", "`name` of the fleet's model, reported until an order names it")
	flags.StringVar(&s.Service, "service", "", "`name` of the service behind --service-address; the fleet's name when empty")
	flags.StringVar(&s.RPCAddress, "rpc-address", "127.0.0.1:0", "`address` to listen on for entry daemons and other agents (gRPC)")
	flags.StringVar(&s.AdvertiseAddress, "advertise-address", "", "`address` under which others reach --rpc-address, when it differs")
	flags.StringVar(&s.DebugAddress, "debug-address", "127.0.0.1:0", "`address` to listen on for /debug/vars, /healthz and /readyz (HTTP, not protected)")
	entries := flags.String("entries", "", "gRPC `addresses` of some entry daemons to find the others, separated by commas")
	flags.StringVar(&s.EngineAddress, "engine-address", "", "`address` of the model engine (HTTP), reachable by this agent only")
	flags.StringVar(&s.ServiceAddress, "service-address", "", "`address` of the plain service (HTTP), reachable by this agent only")
	flags.StringVar(&s.WeightsAddress, "weights-address", "", "`address` of the origin of weights (HTTP); without it orders to transfer are refused")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", defaultDrainTimeout, "longest `time` that running attempts may go on after SIGTERM or before a switch of versions")
	flags.StringVar(&s.LogLevel, "log-level", "info", "lowest `level` of log lines: debug, info, warn or error; decisions are logged at info")
	flags.IntVar(&s.MaxRunning, "max-running", defaultMaxRunning, "`number` of attempts that run at once")
	flags.IntVar(&s.MaxWaiting, "max-waiting", defaultMaxWaiting, "`number` of attempts that wait for a slot")
	flags.Int64Var(&s.UploadRate, "upload-rate", 0, "highest rate to peers in `bytes/s`; 0 stands for 1.25e9, lowered while first tokens are late")
	flags.Int64Var(&s.DownloadRate, "download-rate", 0, "highest rate of reading weights in `bytes/s`; 0 as for --upload-rate")
	flags.Int64Var(&s.RegionRate, "region-rate", 0, "highest rate of reading weights from other regions in `bytes/s`; 0 as for --upload-rate")
	flags.Int64Var(&s.MaxWeightsBytes, "max-weights-bytes", 0, "`bytes` of weights that are held in memory, all versions together; 0 for no limit")
	flags.IntVar(&s.MemoryMB, "memory-mb", 0, "memory of the VM in `MiB`, including the weights; 0 for the limit of the process, or 184 besides the weights")
	flags.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "`number` of file descriptors, at least 256; 0 for the limit of the process")
	flags.StringVar(&s.TLS.CertFile, "tls-cert", "", "`file` with this daemon's certificate, organizational unit agent; without the three --tls flags connections between daemons are not protected")
	flags.StringVar(&s.TLS.KeyFile, "tls-key", "", "`file` with the key of --tls-cert (PEM)")
	flags.StringVar(&s.TLS.CAFile, "tls-ca", "", "`file` with the certificates of the CA of all daemons (PEM)")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(explainer.EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return s, err
	}
	if err != nil {
		return s, explainer.Explain(programName, flags, err)
	}
	if flags.NArg() > 0 {
		return s, &SettingError{Setting: flags.Arg(0), Text: "unexpected argument; see " + programName + " --help"}
	}
	s.Entries = splitList(*entries)
	if s.ServiceAddress != "" && s.Service == "" {
		s.Service = s.Fleet
	}
	return s, s.check()
}

// advertised returns the address that other daemons connect to.
func (s *Settings) advertised() string {
	if s.AdvertiseAddress != "" {
		return s.AdvertiseAddress
	}
	return s.RPCAddress
}

// check returns an error for the first invalid setting.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkNames, s.checkBackend, s.checkAddresses, s.checkNumbers} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	required := []struct{ setting, value string }{
		{"--vm", s.VM}, {"--region", s.Region}, {"--failure-domain", s.FailureDomain}, {"--fleet", s.Fleet},
	}
	for _, r := range required {
		if r.value == "" {
			return &SettingError{r.setting, fmt.Sprintf("is required; give %s NAME or set %s", r.setting, explainer.EnvName(strings.TrimPrefix(r.setting, "--")))}
		}
	}
	if len(s.Entries) == 0 {
		return &SettingError{"--entries", "is required; give --entries ADDRESS,… or set LENTIL_ENTRIES"}
	}
	return nil
}

func (s *Settings) checkBackend() error {
	switch {
	case s.EngineAddress == "" && s.ServiceAddress == "":
		return &SettingError{"--engine-address", "is required unless --service-address is given; give one of the two as HOST:PORT"}
	case s.EngineAddress != "" && s.ServiceAddress != "":
		return &SettingError{"--service-address", "can't be given with --engine-address; an agent has one backend server"}
	case s.EngineAddress != "" && s.Service != "":
		return &SettingError{"--service", "can't be given with --engine-address"}
	case s.ServiceAddress != "" && s.Model != "":
		return &SettingError{"--model", "can't be given with --service-address"}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ setting, value string }{
		{"--rpc-address", s.RPCAddress},
		{"--debug-address", s.DebugAddress},
		{"--advertise-address", s.AdvertiseAddress},
		{"--engine-address", s.EngineAddress},
		{"--service-address", s.ServiceAddress},
		{"--weights-address", s.WeightsAddress},
	}
	for _, entry := range s.Entries {
		addresses = append(addresses, struct{ setting, value string }{"--entries", entry})
	}
	for _, a := range addresses {
		if a.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &SettingError{a.setting, fmt.Sprintf("%q is not an address; give HOST:PORT", a.value)}
		}
	}
	return s.checkAdvertised()
}

// checkAdvertised checks that other daemons can connect to the advertised
// address.
func (s *Settings) checkAdvertised() error {
	if s.AdvertiseAddress != "" {
		return nil
	}
	host, _, err := net.SplitHostPort(s.RPCAddress)
	if err != nil {
		return &SettingError{"--rpc-address", fmt.Sprintf("%q is not an address; give HOST:PORT", s.RPCAddress)}
	}
	if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
		return &SettingError{"--advertise-address", "is required when --rpc-address names no host; give HOST:PORT"}
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	if err := s.TLS.Check(); err != nil {
		return &SettingError{"--tls-cert", err.Error()}
	}
	if s.DrainTimeout <= 0 {
		return &SettingError{"--drain-timeout", "must be above 0, for example 10m"}
	}
	if s.MaxRunning < 1 {
		return &SettingError{"--max-running", "must be at least 1, for example 64"}
	}
	if s.MaxWaiting < 1 {
		return &SettingError{"--max-waiting", "must be at least 1, for example 64"}
	}
	if s.MemoryMB != 0 && (s.MemoryMB < listener.MinMemoryMB || s.MemoryMB > listener.MaxMemoryMB) {
		return &SettingError{"--memory-mb", fmt.Sprintf("must be 0 or from %d to %d", listener.MinMemoryMB, listener.MaxMemoryMB)}
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors < listener.MinDescriptors {
		return &SettingError{"--max-descriptors", fmt.Sprintf("must be 0 or at least %d", listener.MinDescriptors)}
	}
	rates := []struct {
		setting string
		rate    int64
	}{
		{"--upload-rate", s.UploadRate},
		{"--download-rate", s.DownloadRate},
		{"--region-rate", s.RegionRate},
		{"--max-weights-bytes", s.MaxWeightsBytes},
	}
	for _, r := range rates {
		if r.rate < 0 {
			return &SettingError{r.setting, "must not be negative; give bytes per second, or 0 for no fixed limit"}
		}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return &SettingError{"--log-level", (&logger.LevelError{Level: s.LogLevel}).Error()}
	}
	return nil
}

func splitList(text string) []string {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
