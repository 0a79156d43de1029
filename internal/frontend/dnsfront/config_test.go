package dnsfront

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An error names the key at fault; the example in deploy is valid.
func TestLoadConfig(t *testing.T) {
	if c, err := LoadConfig(""); err != nil || c.Enabled {
		t.Errorf("without a file: %+v %v", c, err)
	}
	if c, err := LoadConfig("../../../deploy/dns.toml"); err != nil || c.Enabled || c.Zone != "garnetline.local." {
		t.Errorf("deploy/dns.toml: %+v %v", c, err)
	}
	for text, want := range map[string]string{
		`listen = "x"`:        "listen",
		`zone = "."`:          "zone",
		`patience_ms = 0`:     "patience_ms",
		`max_inflight = 0`:    "max_inflight",
		`max_connections = 0`: "max_connections",
		`ttl = 5`:             "ttl",
	} {
		path := filepath.Join(t.TempDir(), "dns.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Every key of the older file for DNS alone, and the defaults.
func TestConfigKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "dns.toml")
	text := "enabled = true\nlisten = \"127.0.0.1:53\"\nzone = \"A.test\"\npatience_ms = 2.5\nmax_inflight = 3\nmax_connections = 4\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if want := (Config{true, "127.0.0.1:53", "a.test.", 2.5, 3, 4}); err != nil || c != want {
		t.Errorf("%+v %v, want %+v", c, err, want)
	}
	if c, want := DefaultConfig(), (Config{false, "127.0.0.1:5353", "garnetline.local.", 1000, 256, 32}); c != want {
		t.Errorf("without keys %+v, want %+v", c, want)
	}
}
