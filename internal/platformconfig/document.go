package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"garnetline/internal/fielderror"
)

const (
	firstInheritedFD = 3 // 0 to 2 are standard input, output and error
	minSockets       = 32
)

// document is the JSON document of the file. The platform defines its keys.
type document struct {
	Name               string          `json:"name"`
	Listen             string          `json:"listen"`
	Seed               string          `json:"seed"`
	Limits             Limits          `json:"limits"`
	AdminListen        string          `json:"mgmt"`
	Discovery          string          `json:"changelog"`
	Known              knownEvents     `json:"known"`
	FlowBytesPerSecond float64         `json:"flow_bytes_per_s"`
	Settings           json.RawMessage `json:"settings"`
}

// Parse reads a configuration from the content of a file. env returns the value of an
// environment variable, and "" if it is not set. The text of an error begins with the name of
// the invalid field, unless data is not valid JSON.
func Parse(data []byte, env func(string) string) (*Config, error) {
	doc, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	doc.override(env)
	config := &Config{
		Name:     doc.Name,
		Limits:   doc.Limits,
		KnownSeq: doc.Known.Seq,
		StateDir: env(envStateDir),
	}
	if config.ListenFD, err = parseListenFD(env(envListenFD)); err != nil {
		return nil, err
	}
	if err := config.parseAddresses(doc); err != nil {
		return nil, err
	}
	if config.Seed, err = strconv.ParseUint(doc.Seed, 16, 64); err != nil {
		return nil, fielderror.Errorf("seed", "expected 1 to 16 hexadecimal digits, got %q", doc.Seed)
	}
	if err := doc.Limits.validate(); err != nil {
		return nil, err
	}
	if err := config.parseSettings(doc.Settings); err != nil {
		return nil, err
	}
	if doc.FlowBytesPerSecond < 0 {
		return nil, fielderror.Errorf("flow_bytes_per_s", "expected a finite non-negative number, got %v", doc.FlowBytesPerSecond)
	}
	config.Settings.BodyBytesPerSecond = doc.FlowBytesPerSecond
	config.Upstream.BytesPerSecond = doc.FlowBytesPerSecond
	if err := config.parseKnownEvents(doc.Known); err != nil {
		return nil, err
	}
	return config, nil
}

func decodeDocument(data []byte) (*document, error) {
	var doc document
	err := json.Unmarshal(data, &doc)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return nil, fielderror.Errorf(wrongType.Field, "JSON %s has the wrong type for this field", wrongType.Value)
	case err != nil:
		return nil, fmt.Errorf("config: %w", err)
	}
	return &doc, nil
}

// override replaces the fields for which an environment variable is set.
func (d *document) override(env func(string) string) {
	for name, field := range map[string]*string{
		envName:        &d.Name,
		envListen:      &d.Listen,
		envAdminListen: &d.AdminListen,
	} {
		if value := env(name); value != "" {
			*field = value
		}
	}
}

// parseListenFD returns the number of an inherited descriptor, or 0 if text is empty.
func parseListenFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return 0, fielderror.Errorf(envListenFD, "expected a descriptor number of at least %[2]d, got %[1]q", text, firstInheritedFD)
	}
	return fd, nil
}

func (c *Config) parseAddresses(doc *document) error {
	var err error
	if doc.AdminListen != "" {
		if c.AdminListen, err = netip.ParseAddrPort(doc.AdminListen); err != nil {
			return &FieldError{Field: "mgmt", Err: err}
		}
	}
	if c.Listen, err = netip.ParseAddrPort(doc.Listen); err != nil {
		return &FieldError{Field: "listen", Err: err}
	}
	if c.Discovery, err = netip.ParseAddrPort(doc.Discovery); err != nil {
		return &FieldError{Field: "changelog", Err: err}
	}
	return nil
}

func (l Limits) validate() error {
	if l.MemoryMB < 0 || l.Sockets < 0 || l.Cores < 0 {
		return fielderror.Errorf("limits", "expected finite non-negative numbers, got %+v", l)
	}
	if l.Sockets > 0 && l.Sockets < minSockets {
		return fielderror.Errorf("limits.sockets", "expected at least %[2]d, got %[1]d", l.Sockets, minSockets)
	}
	return nil
}
