package daemontest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"garnetline/internal/platformconfig"
)

// Kinds of servers in PlatformSettings.
const (
	Cache  = "box"
	Parent = "parent"
	Origin = "origin"
)

// KnownSeq is the sequence number of the last watch event that a configuration contains. The router
// requests the events after this number from its change log.
const KnownSeq = 4

// PlatformSettings are the default settings of a test's platform configuration: one zone, a class
// of reads, and a class of writes with idempotency keys.
const PlatformSettings = `{"areas":["edge"],"machine_types":["box","parent","origin"],"zone":0,"weights":"rough",
"classes":[{"name":"part","effect":"read_like","aim_us":400000,"deadline_us":4000000,"value":2.0},
 {"name":"form","effect":"idempotency_key","group":"all","window_us":2000000,"aim_us":400000,"deadline_us":4000000,"value":3.0}],
"family_info":{"class_write":[false,true],"root_kind":2,"second_tier_kind":1,"seats_by_zone":[1],"cleared_within_us":6000000,"one_flow_kb_per_s":5000,"can_join":true},
"limits":{"try_limit":6,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},"rules":{"cold_from":0.15,"cold_us":16000000,"fall_multiple":3.0,"overload_for_us":1500000}}`

// Endpoint is a server of the endpoint list in a configuration. It is ready, and was started
// long ago.
type Endpoint struct {
	ID   int
	Kind string
	Addr net.Addr
}

// Config holds the values that differ between the platform configurations of tests.
type Config struct {
	Name       string // default: n0
	Seed       string // in hexadecimal; default: 1
	ListenAddr string
	ChangeLog  net.Addr
	Endpoints  []Endpoint
	Settings   string // default: PlatformSettings
	Limits     string // JSON; default: no limits
}

// document is the JSON form of a configuration.
type document struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`
	Limits    json.RawMessage `json:"limits"`
	ChangeLog string          `json:"changelog"`
	Known     knownEvents     `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type knownEvents struct {
	Seq     uint64       `json:"seq"`
	Results []knownEvent `json:"results"`
}

type knownEvent struct {
	Seq   uint64       `json:"seq"`
	Fleet endpointList `json:"fleet"`
}

type endpointList struct {
	Seq   uint64     `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []listHost `json:"hosts"`
}

type listHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs uint64  `json:"born_ms"`
}

// JSON returns the configuration in the format in which the platform writes it.
func (c Config) JSON(tb testing.TB) []byte {
	tb.Helper()
	list := endpointList{Whole: true}
	for _, endpoint := range c.Endpoints {
		list.Hosts = append(list.Hosts, listHost{
			Host:   fmt.Sprintf("s-%08x", endpoint.ID),
			Dial:   endpoint.Addr.String(),
			Site:   "edge",
			Class:  endpoint.Kind,
			Health: "ready",
			Share:  100,
		})
	}
	text, err := json.Marshal(document{
		Name:      orDefault(c.Name, "n0"),
		Listen:    c.ListenAddr,
		Seed:      orDefault(c.Seed, "1"),
		Limits:    json.RawMessage(orDefault(c.Limits, "{}")),
		ChangeLog: c.ChangeLog.String(),
		Known:     knownEvents{Seq: KnownSeq, Results: []knownEvent{{Seq: KnownSeq, Fleet: list}}},
		Settings:  json.RawMessage(orDefault(c.Settings, PlatformSettings)),
	})
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// Write writes the configuration to path.
func (c Config) Write(tb testing.TB, path string) {
	tb.Helper()
	WriteFile(tb, path, string(c.JSON(tb)))
}

// Load writes the configuration to a temporary file and reads it with platformconfig.Load. env
// maps the names of environment variables to their values.
func (c Config) Load(tb testing.TB, env map[string]string) *platformconfig.Config {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "config.json")
	c.Write(tb, path)
	config, err := platformconfig.Load(path, func(name string) string { return env[name] })
	if err != nil {
		tb.Fatal(err)
	}
	return config
}

// WriteFile writes text to path.
func WriteFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
