// Package logger sets up structured logs and writes one line for each routing
// or placement decision.
package logger

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger is the structured logger that all packages take.
type Logger = zap.Logger

// New returns a logger that writes JSON lines at the level ("debug", "info",
// "warn", "error").
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

// LevelError reports a log level that does not exist.
type LevelError struct {
	Level string
}

func (e *LevelError) Error() string {
	return "log level " + e.Level + " does not exist; use debug, info, warn or error"
}

// Decision is one routing or placement decision.
type Decision struct {
	// Kind is what was decided, for example "pick" or "import".
	Kind string
	// Subject is the request, chunk or object the decision is about.
	Subject string
	// Chosen is the VM or value that was chosen; empty when none was.
	Chosen string
	// Reason is a short fixed phrase.
	Reason string
	// Alternatives are the candidates that were not chosen.
	Alternatives []string
}

// LogDecision writes one line for the decision.
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
