// Package logs sets up the program's structured log, which zerolog writes as one JSON event per
// line. Events never contain an idempotency key or an entity tag.
//
// The format of events and the log level are global to the process. A logger is safe for
// concurrent use if its writer is.
package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rs/zerolog"
)

// The keys that are present in every event. Operators' tools read them.
const (
	timeKey    = "ms" // Unix milliseconds, the program's unit for all times
	messageKey = "event"
)

// countersMessage is the message of the event that WriteCounters writes.
const countersMessage = "counters"

func init() {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.TimestampFieldName = timeKey
	zerolog.MessageFieldName = messageKey
}

// Levels are the names of the log levels, the most verbose first.
var Levels = []string{"debug", "info", "warn", "error", "off"}

// zerologLevels are the levels for the names in Levels, in the same order.
var zerologLevels = []zerolog.Level{
	zerolog.DebugLevel,
	zerolog.InfoLevel,
	zerolog.WarnLevel,
	zerolog.ErrorLevel,
	zerolog.Disabled,
}

// ParseLevel returns the level with the given name, or an error that lists the valid names.
func ParseLevel(name string) (zerolog.Level, error) {
	index := slices.Index(Levels, name)
	if index < 0 {
		return zerolog.NoLevel, fmt.Errorf("unknown log level %q, expected one of %v", name, Levels)
	}
	return zerologLevels[index], nil
}

// New returns a logger that writes to w. The logger is safe for concurrent use if w is safe for
// concurrent use. An *os.File is safe, because the logger writes each event by a single call of Write.
func New(w io.Writer) *zerolog.Logger {
	logger := zerolog.New(w).With().Timestamp().Logger()
	return &logger
}

// SetLevel sets the lowest level of events that the process writes. If the name is unknown,
// SetLevel returns an error and the level stays unchanged.
func SetLevel(name string) error {
	level, err := ParseLevel(name)
	if err != nil {
		return err
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// WriteCounters writes counters as one event of level info. The keys of values are the names of the
// counters, and the event contains the counters in the order of their names.
func WriteCounters(logger *zerolog.Logger, values map[string]int64) {
	event := logger.Info()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		event.Int64(name, values[name])
	}
	event.Msg(countersMessage)
}
