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
	config, err := Load(path)
	if err != nil {
		err = &relativePathError{strings.ReplaceAll(err.Error(), path, "x.hcl")}
	}
	return config, err
}

// relativePathError has the text of an error of Load with x.hcl for the path of the temporary file.
type relativePathError struct{ text string }

func (e *relativePathError) Error() string { return e.text }

// TestShippedFileMatchesDefault checks that the shipped file has the default values, and that
// values missing in a file get their defaults.
func TestShippedFileMatchesDefault(t *testing.T) {
	config, err := Load("../../deploy/garnetline.hcl")
	if err != nil || config.DNS != Default().DNS || config.Log != Default().Log || config.Trace.Enabled || !reflect.DeepEqual(withoutNilLists(config.Fleet), withoutNilLists(Default().Fleet)) {
		t.Errorf("got config %+v and error %v, want the defaults", config, err)
	}
	config, err = loadText(t, `dns { enabled = true }`)
	if err != nil || !config.DNS.Enabled || config.DNS.Zone != "garnetline.local." || config.Log.Level != "info" {
		t.Errorf("got config %+v and error %v, want dns enabled and the defaults", config, err)
	}
}

// TestErrorsNameFileLineAndField checks that the error for an invalid file is one line that names
// the file, line and field, and that Load then returns the defaults instead of a part of the file.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"log {\n  level = \"loud\"\n}":                                                              "x.hcl:2: log: level: ",
		"log {}\ndns {\n  zone = \".\"\n}":                                                          "x.hcl:3: dns: zone: ",
		"trace {\n enabled = true\n}":                                                               "x.hcl:2: trace: enabled: ",
		"trace {\n folder = \"/x\"\n segment_mb = 0\n}":                                             "x.hcl:3: trace: segment_mb: ",
		"trace {\n keep_mb = 9\n}":                                                                  "x.hcl:2: trace: keep_mb: ",
		"trace {\n class \"a\" {}\n class \"a\" {}\n}":                                              "x.hcl:1: trace: class \"a\": duplicate name",
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
		config, err := loadText(t, text)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that begins with %s", text, err, want)
		}
		if config.Log != Default().Log || config.DNS != Default().DNS {
			t.Errorf("%q: got values of the invalid file, want the defaults", text)
		}
	}
}

// TestCheckReload checks that CheckReload names the block with a field that only a restart can
// change.
func TestCheckReload(t *testing.T) {
	current, next := Default(), Default()
	next.Log.Level, next.Trace.OrdinaryPerSecond = "debug", 9
	if err := current.CheckReload(next); err != nil {
		t.Error(err)
	}
	next.DNS.Listen = "127.0.0.1:1"
	if err := current.CheckReload(next); err == nil || !strings.HasPrefix(err.Error(), "dns: ") {
		t.Error(err)
	}
	next = Default()
	next.Trace.Dir = "/x"
	if err := current.CheckReload(next); err == nil || !strings.HasPrefix(err.Error(), "trace: ") {
		t.Error(err)
	}
}

// withoutNilLists returns the fleet block with empty lists in place of nil ones, so that
// reflect.DeepEqual treats both alike.
func withoutNilLists(fleet Fleet) Fleet {
	fleet.Join, fleet.Keys = append([]string{}, fleet.Join...), append([]string{}, fleet.Keys...)
	return fleet
}

// TestFleetCheckReload checks that keys and join are the only fields of the fleet block that can
// change while a router runs.
func TestFleetCheckReload(t *testing.T) {
	current, next := Default(), Default()
	next.Fleet.Keys, next.Fleet.Join = []string{"x"}, []string{"y"}
	if err := current.CheckReload(next); err != nil {
		t.Error(err)
	}
	next.Fleet.Listen = "127.0.0.1:1"
	if err := current.CheckReload(next); err == nil || !strings.HasPrefix(err.Error(), "fleet: ") {
		t.Error(err)
	}
}

// TestConfigError checks that a caller can get the file, line, block and field of an error without
// parsing its text.
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
			t.Fatalf("%q: got error %#v, want a ConfigError with a cause", text, err)
		}
		want.Err = got.Err
		if *got != want {
			t.Errorf("%q: got %+v, want %+v", text, *got, want)
		}
	}
	next := Default()
	next.DNS.Listen = "127.0.0.1:1"
	config := Default()
	var got *ConfigError
	if err := config.CheckReload(next); !errors.As(err, &got) || got.Block != "dns" {
		t.Errorf("got error %#v, want a ConfigError of the block dns", err)
	}
}
