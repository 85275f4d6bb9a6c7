package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	// maxServiceAnswerBytes keeps an answer below the 4 MiB message size that
	// gRPC clients accept.
	maxServiceAnswerBytes = 3 << 20
)

// Main runs lentil-agent and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet(programName, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	settings, err := ParseSettings(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		writeHelp(out, flags)
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitUsage
	}
	err = runAgent(ctx, settings, out, errOut)
	var settingErr *SettingError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settingErr):
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitFailed
	}
}

func runAgent(ctx context.Context, settings Settings, out, errOut io.Writer) error {
	log, err := logger.New(errOut, settings.LogLevel)
	if err != nil {
		return merry.Wrap(err)
	}
	a := &Agent{Settings: settings, Log: log, Out: out}
	if settings.EngineAddress != "" {
		a.Engine = adapter.NewHTTPEngine(settings.EngineAddress)
		a.configureWeights()
	} else {
		service := adapter.NewHTTPService(settings.ServiceAddress)
		service.MaxAnswerBytes = maxServiceAnswerBytes
		a.Service = service
	}
	return a.Run(ctx)
}

// configureWeights creates the components that transfer and activate weights.
func (a *Agent) configureWeights() {
	s := a.Settings
	limits := &limiter.Limiter{
		DownloadPolicy:      limiter.Adaptive{MaxBytesPerSecond: float64(s.DownloadRate)},
		UploadPolicy:        limiter.Adaptive{MaxBytesPerSecond: float64(s.UploadRate)},
		AcrossRegionsPolicy: limiter.Adaptive{MaxBytesPerSecond: float64(s.RegionRate)},
	}
	store := &storer.Storer{Limiter: limits, MaxBytes: s.MaxWeightsBytes}
	w := &transferWeights{
		Self:    &messenger.Peer{Vm: s.VM, Address: s.advertised(), Region: s.Region, FailureDomain: s.FailureDomain},
		Engine:  a.Engine,
		Store:   store,
		Limiter: limits,
		TLS:     s.TLS,
		Log:     a.Log,
	}
	if s.WeightsAddress != "" {
		w.Source = &adapter.HTTPWeightSource{BaseURL: "http://" + s.WeightsAddress}
	}
	a.Weights = w
	a.Chunks = store
	a.OnFirstToken = limits.ObserveFirstToken
}

func newIncarnation() string {
	var b [8]byte
	// rand.Read of crypto/rand never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
