package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func loadText(t *testing.T, text string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(path)
	if err != nil {
		err = &shortError{strings.ReplaceAll(err.Error(), path, "x.hcl")}
	}
	return f, err
}

type shortError struct{ s string }

func (s *shortError) Error() string { return s.s }

// The file that is shipped is the default, and what a file leaves out is too.
func TestShippedFileMatchesDefault(t *testing.T) {
	f, err := Load("../../deploy/garnetline.hcl")
	if err != nil || f.DNS != Default().DNS || f.Log != Default().Log || f.Trace.Enabled || !reflect.DeepEqual(withoutNilLists(f.Fleet), withoutNilLists(Default().Fleet)) {
		t.Errorf("%+v, %v", f, err)
	}
	f, err = loadText(t, `dns { enabled = true }`)
	if err != nil || !f.DNS.Enabled || f.DNS.Zone != "garnetline.local." || f.Log.Level != "info" {
		t.Errorf("%+v, %v", f, err)
	}
}

// What cannot be used is one line with file, line and field, and nothing of the file
// holds.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"log {\n  level = \"loud\"\n}":                                                              "x.hcl:2: log: level: ",
		"log {}\ndns {\n  zone = \".\"\n}":                                                          "x.hcl:3: dns: zone: ",
		"trace {\n enabled = true\n}":                                                               "x.hcl:2: trace: enabled: ",
		"trace {\n folder = \"/x\"\n segment_mb = 0\n}":                                             "x.hcl:3: trace: segment_mb: ",
		"trace {\n keep_mb = 9\n}":                                                                  "x.hcl:2: trace: keep_mb: ",
		"trace {\n class \"a\" {}\n class \"a\" {}\n}":                                              "x.hcl:1: trace: class \"a\": named twice",
		"trace {\n collector { url = \"ftp://x\" }\n}":                                              "x.hcl:1: trace: collector: url: ",
		"dns {\n colour = 1\n}":                                                                     "x.hcl:2: Unsupported argument",
		"fleet {\n enabled = true\n}":                                                               "x.hcl:1: fleet: keys: ",
		"fleet {\n enabled = true\n keys = [\"sixteen bytes or more\"]\n probe_ms = 1\n}":           "x.hcl:4: fleet: probe_ms: ",
		"fleet {\n enabled = true\n keys = [\"sixteen bytes or more\"]\n join = [\"here\"]\n}":      "x.hcl:4: fleet: join: ",
		"fleet {\n enabled = true\n keys = [\"sixteen bytes or more\"]\n listen = \"0.0.0.0:1\"\n}": "x.hcl:1: fleet: advertise: ",
		"zones {}":                                    "x.hcl:1: Unsupported block type",
		"dns {\n max_inflight = \"many\"\n}":          "x.hcl:2: ",
		"dns {":                                       "x.hcl:1: ",
		"log {}\nlog {}":                              "x.hcl:2: Duplicate log block",
		"trace {\n ordinary_per_s = -1\n}":            "x.hcl:2: trace: ordinary_per_s: ",
		"trace {\n retry_within_ms = 1e9\n}":          "x.hcl:2: trace: retry_within_ms: ",
		"trace {\n undecided_kb = 1\n}":               "x.hcl:2: trace: undecided_kb: ",
		"trace {\n class \"a\" { wanted_ms = -1 }\n}": "x.hcl:1: trace: class \"a\": ",
		"trace {\n collector {\n url = \"http://127.0.0.1\"\n queue = -1\n}\n}": "x.hcl:1: trace: collector: ",
	} {
		f, err := loadText(t, text)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
		if f.Log != Default().Log || f.DNS != Default().DNS {
			t.Errorf("%q: a part of it holds", text)
		}
	}
}

// What only a restart can change is named.
func TestCheckReload(t *testing.T) {
	f, next := Default(), Default()
	next.Log.Level, next.Trace.OrdinaryPerSecond = "debug", 9
	if err := f.CheckReload(next); err != nil {
		t.Error(err)
	}
	next.DNS.Listen = "127.0.0.1:1"
	if err := f.CheckReload(next); err == nil || !strings.HasPrefix(err.Error(), "dns: ") {
		t.Error(err)
	}
	next = Default()
	next.Trace.Dir = "/x"
	if err := f.CheckReload(next); err == nil || !strings.HasPrefix(err.Error(), "trace: ") {
		t.Error(err)
	}
}

// withoutNilLists is a fleet's block with lists that are there, if empty.
func withoutNilLists(f Fleet) Fleet {
	f.Join, f.Keys = append([]string{}, f.Join...), append([]string{}, f.Keys...)
	return f
}

// Keys and addresses to join at can be changed while a router runs, and nothing else.
func TestFleetCheckReload(t *testing.T) {
	a, b := Default(), Default()
	b.Fleet.Keys, b.Fleet.Join = []string{"x"}, []string{"y"}
	if err := a.CheckReload(b); err != nil {
		t.Error(err)
	}
	b.Fleet.Listen = "127.0.0.1:1"
	if err := a.CheckReload(b); err == nil || !strings.HasPrefix(err.Error(), "fleet: ") {
		t.Error(err)
	}
}

// File, line, block and field of an error are to be had without its text.
func TestConfigError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.hcl")
	for text, want := range map[string]ConfigError{
		"log {}\ntrace {\n keep_mb = 9\n}":             {File: path, Line: 3, Block: "trace", Field: "keep_mb"},
		"trace {\n class \"a\" {}\n class \"a\" {}\n}": {File: path, Line: 1, Block: "trace", Field: "class"},
		"log {}\nzones {}":                             {File: path, Line: 2},
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		var got *ConfigError
		if !errors.As(err, &got) || got.Unwrap() == nil {
			t.Fatalf("%q: %#v", text, err)
		}
		want.Err = got.Err
		if *got != want {
			t.Errorf("%q: %+v, want %+v", text, *got, want)
		}
	}
	next := Default()
	next.DNS.Listen = "127.0.0.1:1"
	config := Default()
	var got *ConfigError
	if err := config.CheckReload(next); !errors.As(err, &got) || got.Block != "dns" {
		t.Errorf("%#v", err)
	}
}
