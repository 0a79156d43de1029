package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRouters is how many routers a scenario may start.
	maxRouters = 60

	// maxScenarioSeconds is the latest time of an operation.
	maxScenarioSeconds = 3600
)

// scenario is a list of faults, and of their repairs, by time.
type scenario struct {
	routers    int
	operations []operation // in order of time; the first starts the routers
}

// operation is one line of a scenario.
type operation struct {
	at        time.Duration // since the routers' start
	verb      verb
	arguments []string
	text      string // verb and arguments as they are in the file
}

// parseScenario reads the text of a scenario: a line for each operation, with the time in
// seconds, a verb and its arguments; # begins a comment. Errors name the file and the line.
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
		return scenario{}, fmt.Errorf("%s: there is nothing to do", fileName)
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
			return fmt.Errorf("%s: comes before the line above", added.verb)
		}
		s.operations = append(s.operations, added)
		return nil
	}
	if added.verb != verbRouters {
		return fmt.Errorf("%s: has to come first", verbRouters)
	}
	s.routers, err = strconv.Atoi(added.arguments[0])
	if err != nil || s.routers < 1 || s.routers > maxRouters {
		return fmt.Errorf("%s: want 1 to %d", verbRouters, maxRouters)
	}
	s.operations = append(s.operations, added)
	return nil
}

// parseOperation parses a line that is not empty.
func parseOperation(line string) (operation, error) {
	fields := strings.Fields(line)
	seconds, err := strconv.ParseFloat(fields[0], 64)
	inRange := seconds >= 0 && seconds <= maxScenarioSeconds // false for NaN
	if err != nil || !inRange || len(fields) < 2 {
		return operation{}, fmt.Errorf("want seconds up to %d and what is done then", maxScenarioSeconds)
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
		return operation{}, fmt.Errorf("%s: no such thing can be done", parsed.verb)
	case entry.arguments != anyNumber && len(parsed.arguments) != entry.arguments:
		return operation{}, fmt.Errorf("%s: want %d words after it", parsed.verb, entry.arguments)
	}
	return parsed, nil
}
