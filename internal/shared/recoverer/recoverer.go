// Package recoverer contains panics: an unexpected error in the handling of one message
// must not end the process.
package recoverer

import (
	"expvar"
	"fmt"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// panics counts the contained panics by the part of the program.
var panics = expvar.NewMap("panics")

// Contain is deferred around the handling of one message or event. It logs and counts a
// panic, and lets the caller go on.
//
//	defer recoverer.Contain(log, "datagram")
func Contain(log *logger.Logger, part string) {
	cause := recover()
	if cause == nil {
		return
	}
	panics.Add(part, 1)
	log.Error("panic contained", zap.String("part", part), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
}
