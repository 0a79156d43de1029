// Package logs makes the program's structured log: one event a line, as JSON, on
// zerolog. What is written carries no idempotency key and no tag of an object.
package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rs/zerolog"
)

func init() {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.TimestampFieldName = "ms" // Unix milliseconds, as everywhere in the program
	zerolog.MessageFieldName = "event"
}

// Levels are the names that a level may have, the most talkative first.
var Levels = []string{"debug", "info", "warn", "error", "off"}

// ParseLevel reads the name of a level.
func ParseLevel(name string) (zerolog.Level, error) {
	for i, n := range Levels {
		if n == name {
			return [...]zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel, zerolog.Disabled}[i], nil
		}
	}
	return zerolog.NoLevel, fmt.Errorf("%q is none of %v", name, Levels)
}

// New returns a log that writes to w. It is safe for concurrent use where w is; a
// file is, since each event is one write.
func New(w io.Writer) *zerolog.Logger {
	l := zerolog.New(w).With().Timestamp().Logger()
	return &l
}

// SetLevel sets the level from which on all logs of the program write. An unknown name
// changes nothing.
func SetLevel(name string) error {
	l, err := ParseLevel(name)
	if err == nil {
		zerolog.SetGlobalLevel(l)
	}
	return err
}

// WriteCounters logs counters as one event, by name.
func WriteCounters(l *zerolog.Logger, all map[string]int64) {
	e := l.Info()
	for _, n := range slices.Sorted(maps.Keys(all)) {
		e.Int64(n, all[n])
	}
	e.Msg("counters")
}
