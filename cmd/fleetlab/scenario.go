package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRouters is the maximum number of routers of a scenario.
	maxRouters = 60

	// maxScenarioSeconds is the latest time of an operation, in seconds.
	maxScenarioSeconds = 3600
)

// scenario is a list of timed operations: faults and their repairs.
type scenario struct {
	routers    int
	operations []operation // ordered by time; the first starts the routers
}

// operation is one line of a scenario.
type operation struct {
	at        time.Duration // since the start of the routers
	verb      verb
	arguments []string
	text      string // verb and arguments as written in the file
}

// parseScenario parses the text of a scenario. Each line is an operation: the time in seconds, a
// verb and its arguments. A # begins a comment. Each error contains the file name. An error in a line
// also contains the number of the line.
func parseScenario(fileName, text string) (scenario, error) {
	var parsed scenario
	for index, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := parsed.addLine(line); err != nil {
			return scenario{}, fmt.Errorf("%s:%d: %w", fileName, index+1, err)
		}
	}
	if len(parsed.operations) == 0 {
		return scenario{}, fmt.Errorf("%s: expected at least one operation, got none", fileName)
	}
	return parsed, nil
}

// addLine parses one line and appends its operation.
func (s *scenario) addLine(line string) error {
	added, err := parseOperation(line)
	if err != nil {
		return err
	}
	if len(s.operations) > 0 {
		if added.at < s.operations[len(s.operations)-1].at {
			return fmt.Errorf("%s: time %v is earlier than time %v of the previous operation", added.verb, added.at, s.operations[len(s.operations)-1].at)
		}
		s.operations = append(s.operations, added)
		return nil
	}
	if added.verb != verbRouters {
		return fmt.Errorf("expected %s as the first operation, got %s", verbRouters, added.verb)
	}
	s.routers, err = strconv.Atoi(added.arguments[0])
	if err != nil || s.routers < 1 || s.routers > maxRouters {
		return fmt.Errorf("%s: expected a number from 1 to %d, got %q", verbRouters, maxRouters, added.arguments[0])
	}
	s.operations = append(s.operations, added)
	return nil
}

// parseOperation parses a line, which must not be blank.
func parseOperation(line string) (operation, error) {
	fields := strings.Fields(line)
	seconds, err := strconv.ParseFloat(fields[0], 64)
	inRange := seconds >= 0 && seconds <= maxScenarioSeconds // false for NaN
	if err != nil || !inRange || len(fields) < 2 {
		return operation{}, fmt.Errorf("expected a time from 0 to %d seconds and a verb, got %q", maxScenarioSeconds, fields)
	}
	parsed := operation{
		at:        time.Duration(seconds * float64(time.Second)),
		verb:      verb(fields[1]),
		arguments: fields[2:],
		text:      strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), fields[0])),
	}
	entry, known := actions[parsed.verb]
	switch {
	case !known:
		return operation{}, fmt.Errorf("unknown verb %q", parsed.verb)
	case entry.arguments != anyNumber && len(parsed.arguments) != entry.arguments:
		return operation{}, fmt.Errorf("%s: expected %d arguments, got %d", parsed.verb, entry.arguments, len(parsed.arguments))
	}
	return parsed, nil
}
