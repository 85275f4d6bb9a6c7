package logger_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// Guards against decision log lines without the reason or the alternatives.
func TestLogDecisionWritesReasonAndAlternatives(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log, err := logger.New(&out, "info")
	c.Assert(err, qt.IsNil)
	logger.LogDecision(log, logger.Decision{
		Kind:         "pick",
		Subject:      "request-1",
		Chosen:       "vm-2",
		Reason:       "least loaded of two",
		Alternatives: []string{"vm-1"},
	})
	c.Assert(out.String(), qt.Contains, `"kind":"pick","subject":"request-1","chosen":"vm-2","reason":"least loaded of two","alternatives":["vm-1"]`)
}

// Guards against starting a daemon with an unknown log level.
func TestNewRejectsUnknownLevel(t *testing.T) {
	c := qt.New(t)
	_, err := logger.New(&bytes.Buffer{}, "verbose")
	var levelErr *logger.LevelError
	c.Assert(errors.As(err, &levelErr), qt.IsTrue)
}
