// Package logger creates structured loggers and logs routing and placement decisions in a
// common form.
package logger

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger is the structured logger that all packages use.
type Logger = zap.Logger

// New returns a logger that writes entries of the level ("debug", "info", "warn" or "error")
// and above to w, as one JSON object per line.
func New(w io.Writer, level string) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &LevelError{Level: level}
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// LevelError reports an unknown log level.
type LevelError struct {
	Level string
}

func (e *LevelError) Error() string {
	return "log level " + e.Level + " does not exist; use debug, info, warn or error"
}

// Decision describes a routing or placement decision.
type Decision struct {
	// Kind is the kind of decision, for example "pick" or "import".
	Kind string
	// Subject identifies the request, version or object that the decision is about.
	Subject string
	// Chosen is the VM or value that was chosen, or empty if there was none.
	Chosen string
	// Reason is a short phrase from a fixed set.
	Reason string
	// Alternatives are the candidates that were not chosen.
	Alternatives []string
}

// LogDecision logs a decision and the additional fields at level info.
func LogDecision(log *Logger, d Decision, fields ...zap.Field) {
	entry := log.Check(zapcore.InfoLevel, "decision")
	if entry == nil {
		return
	}
	all := make([]zap.Field, 0, 5+len(fields))
	all = append(all,
		zap.String("kind", d.Kind),
		zap.String("subject", d.Subject),
		zap.String("chosen", d.Chosen),
		zap.String("reason", d.Reason),
		zap.Strings("alternatives", d.Alternatives),
	)
	entry.Write(append(all, fields...)...)
}
