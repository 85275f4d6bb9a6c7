package router

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
)

// maxBodyLimit leaves 1 MiB of the 16 MiB that agents accept in a message for
// the other fields of an attempt.
const maxBodyLimit = 15 << 20

// minReportBytes is more than the reports of agents have, see monitor.DefaultMaxReportBytes.
const minReportBytes = 8 << 10

// maxDecodingLimit is the highest value of MaxDecodingBytes: a quarter of the memory of large VMs,
// because decoding a body needs about four times its size.
const maxDecodingLimit = 1 << 30

// settings holds the settings of an entry daemon.
type settings struct {
	VM              string
	Region          string
	FailureDomain   string
	PublicAddress   string
	RPCAddress      string
	AdvertisePublic string
	AdvertiseRPC    string
	DebugAddress    string
	ObjectAPI       string
	VMList          string
	Seeds           []string
	OriginRegion    string
	DrainTimeout    time.Duration
	EntriesValid    time.Duration
	LogLevel        string
	MaxBodyBytes    int64
	// MaxDecodingBytes limits the bodies that are decoded at the same time.
	MaxDecodingBytes int64
	// MemoryMB and MaxDescriptors are the limits of the process; 0 stands for those of the system.
	MemoryMB       int
	MaxDescriptors int
	// Callers are the limits of the connections of callers.
	Callers listener.Limits
	// SlowBodyTimeout is how long a body may take to arrive while others need the place of its
	// connection.
	SlowBodyTimeout  time.Duration
	MaxReportBytes   int
	MaxTransferBytes uint64
	// TLS encrypts and authenticates the connections between daemons.
	TLS authenticator.Authenticator
}

// SettingError reports an invalid setting, or a missing one with an empty Value.
type SettingError struct {
	Flag   string
	Value  string
	Advice string
}

func (e *SettingError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("--%s: %s", e.Flag, e.Advice)
	}
	return fmt.Sprintf("--%s %q: %s", e.Flag, e.Value, e.Advice)
}

// ArgumentError reports an argument that is not a flag.
type ArgumentError struct {
	Argument string
}

func (e *ArgumentError) Error() string {
	return fmt.Sprintf("argument %q is not expected; type %s --help", e.Argument, programName)
}

// parseSettings reads and checks the settings from args and the environment. For
// --help it writes the help to w and returns flag.ErrHelp.
func parseSettings(args []string, w io.Writer) (*settings, error) {
	cfg := &settings{}
	var seeds string
	callers := accepter.ListenerLimits()
	flags := flag.NewFlagSet(programName, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&cfg.VM, "vm", "", "`name` of this VM, unique among all VMs (required)")
	flags.StringVar(&cfg.Region, "region", "", "`region` of this VM (required)")
	flags.StringVar(&cfg.FailureDomain, "failure-domain", "", "`failure domain` of this VM (required)")
	flags.StringVar(&cfg.PublicAddress, "public-address", "127.0.0.1:8080", "`address` to listen on for callers (HTTP)")
	flags.StringVar(&cfg.RPCAddress, "rpc-address", "127.0.0.1:9090", "`address` to listen on for entry daemons and agents (gRPC)")
	flags.StringVar(&cfg.AdvertisePublic, "advertise-public-address", "", "`address` that callers are told; --public-address when empty")
	flags.StringVar(&cfg.AdvertiseRPC, "advertise-rpc-address", "", "`address` that other daemons are told; --rpc-address when empty")
	flags.StringVar(&cfg.DebugAddress, "debug-address", "127.0.0.1:6060", "`address` to listen on for /debug/vars, /healthz and /readyz (HTTP, not protected)")
	flags.StringVar(&cfg.ObjectAPI, "object-api", "", "`URL` of the object API, for example http://10.0.0.2:7000 (required)")
	flags.StringVar(&cfg.VMList, "vm-list", "", "`URL` of the platform's list of VMs, a hint for leaving VMs; empty uses none")
	flags.StringVar(&seeds, "seeds", "", "gRPC `addresses` of some entry daemons to find the others, separated by commas")
	flags.StringVar(&cfg.OriginRegion, "origin-region", "", "`region` of the origin of weights; --region when empty")
	flags.DurationVar(&cfg.DrainTimeout, "drain-timeout", 10*time.Minute, "longest `time` that a stop waits for requests in progress, after --entries-valid and 3s")
	flags.DurationVar(&cfg.EntriesValid, "entries-valid", accepter.DefaultEntriesValid, "`time` that callers may use an answer of /v1/entries, 1s to 1h")
	flags.StringVar(&cfg.LogLevel, "log-level", "info", "lowest `level` of log lines: debug, info, warn or error; decisions are logged at info")
	flags.Int64Var(&cfg.MaxBodyBytes, "max-body-bytes", 8<<20, "largest request body in `bytes`, 1 to 15728640")
	flags.IntVar(&cfg.Callers.MaxHeaderBytes, "max-header-bytes", callers.MaxHeaderBytes, "largest header block of a request in `bytes`, 1024 to 1048576")
	flags.DurationVar(&cfg.Callers.HeaderTimeout, "header-timeout", callers.HeaderTimeout, "longest `time` from the first byte of a header block to its end, 100ms to 10m")
	flags.DurationVar(&cfg.Callers.IdleTimeout, "idle-timeout", callers.IdleTimeout, "longest `time` that a caller may keep a connection without a request, 1s to 1h")
	flags.DurationVar(&cfg.SlowBodyTimeout, "slow-body-timeout", listener.DefaultSlowBodyTime, "`time` that a body may take to arrive while others need the place of its connection, 1s to 10m")
	flags.Int64Var(&cfg.MaxDecodingBytes, "max-decoding-bytes", accepter.DefaultMaxDecoding, "`bytes` of the bodies that are decoded at the same time, 32768 to 1073741824; decoding needs about four times as much memory")
	flags.IntVar(&cfg.MemoryMB, "memory-mb", 0, "memory of the VM in `MiB`, of which clients may use a part; 0 for the limit of the process, or 184")
	flags.IntVar(&cfg.MaxDescriptors, "max-descriptors", 0, "`number` of file descriptors, at least 256; 0 for the limit of the process")
	flags.IntVar(&cfg.MaxReportBytes, "max-report-bytes", monitor.DefaultMaxReportBytes, "largest report of an agent in `bytes`, 8192 to 16777216")
	flags.Uint64Var(&cfg.MaxTransferBytes, "max-transfer-bytes", 0, "weight transfer limit for each VM in `bytes/s`; 0 leaves it to the agents")
	flags.StringVar(&cfg.TLS.CertFile, "tls-cert", "", "`file` with this daemon's certificate, organizational unit entry; without the three --tls flags connections between daemons are not protected")
	flags.StringVar(&cfg.TLS.KeyFile, "tls-key", "", "`file` with the key of --tls-cert (PEM)")
	flags.StringVar(&cfg.TLS.CAFile, "tls-ca", "", "`file` with the certificates of the CA of all daemons (PEM)")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(explainer.EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		writeHelp(w, flags)
		return nil, err
	}
	if err != nil {
		return nil, explainer.Explain(programName, flags, err)
	}
	if flags.NArg() > 0 {
		return nil, &ArgumentError{Argument: flags.Arg(0)}
	}
	cfg.Seeds = splitList(seeds)
	cfg.applyDefaults()
	return cfg, cfg.check()
}

func (cfg *settings) applyDefaults() {
	if cfg.AdvertisePublic == "" {
		cfg.AdvertisePublic = cfg.PublicAddress
	}
	if cfg.AdvertiseRPC == "" {
		cfg.AdvertiseRPC = cfg.RPCAddress
	}
	if cfg.OriginRegion == "" {
		cfg.OriginRegion = cfg.Region
	}
}

// check returns an error for the first invalid setting.
func (cfg *settings) check() error {
	for _, required := range []struct{ flag, value string }{
		{"vm", cfg.VM},
		{"region", cfg.Region},
		{"failure-domain", cfg.FailureDomain},
		{"object-api", cfg.ObjectAPI},
	} {
		if required.value == "" {
			return &SettingError{Flag: required.flag, Advice: fmt.Sprintf("is required; give --%s VALUE or set %s", required.flag, explainer.EnvName(required.flag))}
		}
	}
	addresses := []struct{ flag, value string }{
		{"public-address", cfg.PublicAddress},
		{"rpc-address", cfg.RPCAddress},
		{"advertise-public-address", cfg.AdvertisePublic},
		{"advertise-rpc-address", cfg.AdvertiseRPC},
		{"debug-address", cfg.DebugAddress},
	}
	for _, seed := range cfg.Seeds {
		addresses = append(addresses, struct{ flag, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &SettingError{Flag: a.flag, Value: a.value, Advice: "give host:port, for example 10.0.0.7:9090"}
		}
	}
	for _, u := range []struct{ flag, value string }{{"object-api", cfg.ObjectAPI}, {"vm-list", cfg.VMList}} {
		if u.value == "" {
			continue
		}
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return &SettingError{Flag: u.flag, Value: u.value, Advice: "give a URL, for example http://10.0.0.2:7000"}
		}
	}
	if err := cfg.checkAdvertised(); err != nil {
		return err
	}
	if cfg.EntriesValid < time.Second || cfg.EntriesValid > time.Hour {
		return &SettingError{Flag: "entries-valid", Value: cfg.EntriesValid.String(), Advice: "give 1s to 1h"}
	}
	if cfg.DrainTimeout < 0 {
		return &SettingError{Flag: "drain-timeout", Value: cfg.DrainTimeout.String(), Advice: "give 0s or more"}
	}
	if err := cfg.TLS.Check(); err != nil {
		return &SettingError{Flag: "tls-cert", Value: cfg.TLS.CertFile, Advice: err.Error()}
	}
	if cfg.MaxBodyBytes < 1 || cfg.MaxBodyBytes > maxBodyLimit {
		return &SettingError{
			Flag: "max-body-bytes", Value: fmt.Sprint(cfg.MaxBodyBytes),
			Advice: fmt.Sprintf("give 1 to %d", maxBodyLimit),
		}
	}
	if err := cfg.checkCallers(); err != nil {
		return err
	}
	if cfg.MaxDecodingBytes < accepter.SmallBody || cfg.MaxDecodingBytes > maxDecodingLimit {
		return &SettingError{Flag: "max-decoding-bytes", Value: fmt.Sprint(cfg.MaxDecodingBytes), Advice: fmt.Sprintf("give %d to %d", accepter.SmallBody, maxDecodingLimit)}
	}
	if cfg.MemoryMB != 0 && (cfg.MemoryMB < listener.MinMemoryMB || cfg.MemoryMB > listener.MaxMemoryMB) {
		return &SettingError{Flag: "memory-mb", Value: fmt.Sprint(cfg.MemoryMB), Advice: fmt.Sprintf("give %d to %d, or 0", listener.MinMemoryMB, listener.MaxMemoryMB)}
	}
	if cfg.MaxReportBytes < minReportBytes || cfg.MaxReportBytes > maxRPCMessageBytes {
		return &SettingError{Flag: "max-report-bytes", Value: fmt.Sprint(cfg.MaxReportBytes), Advice: fmt.Sprintf("give %d to %d", minReportBytes, maxRPCMessageBytes)}
	}
	if cfg.MaxDescriptors != 0 && cfg.MaxDescriptors < listener.MinDescriptors {
		return &SettingError{Flag: "max-descriptors", Value: fmt.Sprint(cfg.MaxDescriptors), Advice: fmt.Sprintf("give at least %d, or 0", listener.MinDescriptors)}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, cfg.LogLevel) {
		return &SettingError{Flag: "log-level", Value: cfg.LogLevel, Advice: "give debug, info, warn or error"}
	}
	return nil
}

func (cfg *settings) callerLimits() listener.Limits { return cfg.Callers }

// checkCallers checks the limits of the connections of callers.
func (cfg *settings) checkCallers() error {
	c := cfg.Callers
	switch {
	case c.MaxHeaderBytes < 1<<10 || c.MaxHeaderBytes > listener.MaxHeaderBytes:
		return &SettingError{Flag: "max-header-bytes", Value: fmt.Sprint(c.MaxHeaderBytes), Advice: fmt.Sprintf("give 1024 to %d", listener.MaxHeaderBytes)}
	case c.HeaderTimeout < 100*time.Millisecond || c.HeaderTimeout > 10*time.Minute:
		return &SettingError{Flag: "header-timeout", Value: c.HeaderTimeout.String(), Advice: "give 100ms to 10m"}
	case c.IdleTimeout < time.Second || c.IdleTimeout > time.Hour:
		return &SettingError{Flag: "idle-timeout", Value: c.IdleTimeout.String(), Advice: "give 1s to 1h"}
	case cfg.SlowBodyTimeout < listener.MinSlowBodyTime || cfg.SlowBodyTimeout > listener.MaxSlowBodyTime:
		return &SettingError{Flag: "slow-body-timeout", Value: cfg.SlowBodyTimeout.String(), Advice: "give 1s to 10m"}
	}
	return nil
}

// checkAdvertised checks that the advertised addresses have a host and a port
// that others can connect to.
func (cfg *settings) checkAdvertised() error {
	for _, a := range []struct{ flag, value, listener string }{
		{"advertise-public-address", cfg.AdvertisePublic, "public-address"},
		{"advertise-rpc-address", cfg.AdvertiseRPC, "rpc-address"},
	} {
		host, port, err := net.SplitHostPort(a.value)
		if err != nil {
			return err
		}
		if ip := net.ParseIP(host); host == "" || port == "0" || ip != nil && ip.IsUnspecified() {
			return &SettingError{
				Flag: a.flag, Value: a.value,
				Advice: fmt.Sprintf("others cannot reach it; give HOST:PORT here or in --%s, for example 10.0.0.7:9090", a.listener),
			}
		}
	}
	return nil
}

func splitList(s string) []string {
	var parts []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
