// Package logs sets up the program's structured log: one event per line, as JSON, written by
// zerolog. Events carry no idempotency key and no entity tag.
//
// The form of events and the level are global to the process. A logger may be used from any
// goroutine if its writer may.
package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rs/zerolog"
)

// The keys that every event has. Operators' tools read them.
const (
	timeKey    = "ms" // Unix milliseconds, as everywhere in the program
	messageKey = "event"
)

// countersMessage is the message of the event that WriteCounters writes.
const countersMessage = "counters"

func init() {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.TimestampFieldName = timeKey
	zerolog.MessageFieldName = messageKey
}

// Levels are the names of the levels, the most verbose first.
var Levels = []string{"debug", "info", "warn", "error", "off"}

// zerologLevels are the levels that Levels names, in the same order.
var zerologLevels = []zerolog.Level{
	zerolog.DebugLevel,
	zerolog.InfoLevel,
	zerolog.WarnLevel,
	zerolog.ErrorLevel,
	zerolog.Disabled,
}

// ParseLevel returns the level of a name, or an error that lists the names there are.
func ParseLevel(name string) (zerolog.Level, error) {
	index := slices.Index(Levels, name)
	if index < 0 {
		return zerolog.NoLevel, fmt.Errorf("%q is none of %v", name, Levels)
	}
	return zerologLevels[index], nil
}

// New returns a logger that writes to w. It is safe for concurrent use if w is; a file is,
// since each event is one write.
func New(w io.Writer) *zerolog.Logger {
	logger := zerolog.New(w).With().Timestamp().Logger()
	return &logger
}

// SetLevel sets the least level of events that the process writes. If the name is unknown it
// returns an error and changes nothing.
func SetLevel(name string) error {
	level, err := ParseLevel(name)
	if err != nil {
		return err
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// WriteCounters writes the values of counters as one event, in the order of their names.
func WriteCounters(logger *zerolog.Logger, values map[string]int64) {
	event := logger.Info()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		event.Int64(name, values[name])
	}
	event.Msg(countersMessage)
}
