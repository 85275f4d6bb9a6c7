package router

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilbridge/lentilbridge/pkg/accepter"
	"github.com/lentilbridge/lentilbridge/pkg/authenticator"
)

// settings are the checked settings of an entry daemon.
type settings struct {
	VM               string
	Region           string
	FailureDomain    string
	PublicAddress    string
	RPCAddress       string
	AdvertisePublic  string
	AdvertiseRPC     string
	DebugAddress     string
	ObjectAPI        string
	VMList           string
	Seeds            []string
	OriginRegion     string
	DrainTimeout     time.Duration
	EntriesValid     time.Duration
	LogLevel         string
	MaxBodyBytes     int64
	MaxTransferBytes uint64
	// TLS protects the connections between daemons.
	TLS authenticator.Authenticator
}

// SettingError reports a setting that cannot hold.
type SettingError struct {
	Flag   string
	Value  string
	Advice string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s %q: %s", e.Flag, e.Value, e.Advice)
}

const usage = `lentil-entry is the daemon of an entry VM.

Each flag can be set by an environment variable: --rpc-address is
LENTIL_RPC_ADDRESS. Flags go first.

Flags:
`

func parseSettings(args []string, w io.Writer) (*settings, error) {
	cfg := &settings{}
	var seeds string
	flags := flag.NewFlagSet("lentil-entry", flag.ContinueOnError)
	flags.SetOutput(w)
	flags.Usage = func() {
		fmt.Fprint(w, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&cfg.VM, "vm", "", "`name` of this VM (required)")
	flags.StringVar(&cfg.Region, "region", "", "`region` of this VM (required)")
	flags.StringVar(&cfg.FailureDomain, "failure-domain", "", "`failure domain` of this VM (required)")
	flags.StringVar(&cfg.PublicAddress, "public-address", "127.0.0.1:8080", "`address` for callers (HTTP)")
	flags.StringVar(&cfg.RPCAddress, "rpc-address", "127.0.0.1:9090", "`address` for entry daemons and agents (gRPC)")
	flags.StringVar(&cfg.AdvertisePublic, "advertise-public-address", "", "`address` that callers are told; --public-address when empty")
	flags.StringVar(&cfg.AdvertiseRPC, "advertise-rpc-address", "", "`address` that other daemons are told; --rpc-address when empty")
	flags.StringVar(&cfg.DebugAddress, "debug-address", "127.0.0.1:6060", "`address` of /debug/vars, /healthz and /readyz")
	flags.StringVar(&cfg.ObjectAPI, "object-api", "", "`URL` of the object API (required)")
	flags.StringVar(&cfg.VMList, "vm-list", "", "`URL` of the list of VMs; empty uses none")
	flags.StringVar(&seeds, "seeds", "", "gRPC `addresses` of other entry daemons, separated by commas")
	flags.StringVar(&cfg.OriginRegion, "origin-region", "", "`region` of the origin of weights; --region when empty")
	flags.DurationVar(&cfg.DrainTimeout, "drain-timeout", 10*time.Minute, "longest `time` that a stop waits for requests in progress")
	flags.DurationVar(&cfg.EntriesValid, "entries-valid", accepter.DefaultEntriesValid, "`time` that callers may use an answer of /v1/entries")
	flags.StringVar(&cfg.LogLevel, "log-level", "info", "debug, info, warn or error")
	flags.Int64Var(&cfg.MaxBodyBytes, "max-body-bytes", 8<<20, "largest request body in `bytes`")
	flags.Uint64Var(&cfg.MaxTransferBytes, "max-transfer-bytes", 0, "weight transfer limit for each VM in `bytes/s`; 0 leaves it to the agents")
	flags.StringVar(&cfg.TLS.CertFile, "tls-cert", "", "`file` with this daemon's certificate, organizational unit entry; empty leaves connections between daemons unprotected")
	flags.StringVar(&cfg.TLS.KeyFile, "tls-key", "", "`file` with the key of --tls-cert")
	flags.StringVar(&cfg.TLS.CAFile, "tls-ca", "", "`file` with the certificates of the CA of all daemons")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LENTIL")); err != nil {
		return nil, err
	}
	if flags.NArg() > 0 {
		return nil, &SettingError{Flag: "help", Value: flags.Arg(0), Advice: "lentil-entry takes flags only"}
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

func (cfg *settings) check() error {
	for _, required := range []struct{ flag, value string }{
		{"vm", cfg.VM},
		{"region", cfg.Region},
		{"failure-domain", cfg.FailureDomain},
		{"object-api", cfg.ObjectAPI},
	} {
		if required.value == "" {
			return &SettingError{Flag: required.flag, Advice: "is required"}
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
	if cfg.EntriesValid < time.Second || cfg.EntriesValid > time.Hour {
		return &SettingError{Flag: "entries-valid", Value: cfg.EntriesValid.String(), Advice: "give 1s to 1h"}
	}
	if cfg.DrainTimeout < 0 {
		return &SettingError{Flag: "drain-timeout", Value: cfg.DrainTimeout.String(), Advice: "give 0s or more"}
	}
	if err := cfg.TLS.Check(); err != nil {
		return &SettingError{Flag: "tls-cert", Value: cfg.TLS.CertFile, Advice: err.Error()}
	}
	if cfg.MaxBodyBytes < 1 {
		return &SettingError{Flag: "max-body-bytes", Value: fmt.Sprint(cfg.MaxBodyBytes), Advice: "give 1 or more"}
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
