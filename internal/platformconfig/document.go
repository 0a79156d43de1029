package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
)

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

type knownEvents struct {
	Seq     uint64 `json:"seq"`
	Results []struct {
		Seq        uint64      `json:"seq"`
		Fleet      *listUpdate `json:"fleet"`
		Invalidate *purge      `json:"invalidate"`
	} `json:"results"`
}

type listUpdate struct {
	Snapshot bool `json:"whole"`
	Hosts    []struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   float64 `json:"born_ms"`
	} `json:"hosts"`
}

type purge struct {
	Object string  `json:"object"`
	Bucket *int    `json:"bucket"`
	Time   float64 `json:"time"`
}

// Parse reads a configuration.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var f document
	if err := json.Unmarshal(data, &f); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%s: is a %s", bad.Field, bad.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	if v := env("EDGE_NAME"); v != "" {
		f.Name = v
	}
	if v := env("EDGE_LISTEN"); v != "" {
		f.Listen = v
	}
	if v := env("EDGE_MGMT"); v != "" {
		f.AdminListen = v
	}
	c := &Config{Name: f.Name, Limits: f.Limits, KnownSeq: f.Known.Seq, StateDir: env("TMPDIR")}
	var err error
	if v := env("EDGE_LISTEN_FD"); v != "" {
		if c.ListenFD, err = strconv.Atoi(v); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("EDGE_LISTEN_FD: %q is not a descriptor from 3", v)
		}
	}
	if f.AdminListen != "" {
		if c.AdminListen, err = netip.ParseAddrPort(f.AdminListen); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
	}
	if f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 || f.Limits.Cores < 0 {
		return nil, fmt.Errorf("limits: %+v: negative", f.Limits)
	}
	if f.Limits.Sockets > 0 && f.Limits.Sockets < 32 {
		return nil, fmt.Errorf("limits.sockets: %d, want 32 or more", f.Limits.Sockets)
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if f.FlowBytesPerSecond < 0 {
		return nil, fmt.Errorf("flow_bytes_per_s: %v: negative", f.FlowBytesPerSecond)
	}
	c.Settings.BodyBytesPerSecond, c.Upstream.BytesPerSecond = f.FlowBytesPerSecond, f.FlowBytesPerSecond
	for i, r := range f.Known.Results {
		ev, err := c.parseEvent(r.Seq, r.Fleet, r.Invalidate)
		if err != nil {
			return nil, fmt.Errorf("known.results[%d].%w", i, err)
		}
		c.KnownEvents = append(c.KnownEvents, ev)
		c.KnownSeq = max(c.KnownSeq, r.Seq)
	}
	return c, nil
}
