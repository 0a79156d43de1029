package dnsfront

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestDNSIsDisabledByDefault(t *testing.T) {
	for name, path := range map[string]string{
		"no file":               "",
		"the example in deploy": "../../../deploy/dns.toml",
	} {
		t.Run(name, func(t *testing.T) {
			config, err := LoadConfig(path)
			if err != nil {
				t.Fatal(err)
			}
			if config.Enabled || config.Zone != "garnetline.local." {
				t.Errorf("got %+v, want Enabled false and zone garnetline.local.", config)
			}
		})
	}
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`listen = "x"`:        "listen",
		`zone = "."`:          "zone",
		`patience_ms = 0`:     "patience_ms",
		`max_inflight = 0`:    "max_inflight",
		`max_connections = 0`: "max_connections",
		`ttl = 5`:             "ttl",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := LoadConfig(writeConfig(t, text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want an error that contains %q", err, want)
			}
		})
	}
}

// writeConfig writes a temporary configuration file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dns.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestConfigKeys reads every key of the deprecated separate DNS file.
func TestConfigKeys(t *testing.T) {
	text := "enabled = true\nlisten = \"127.0.0.1:53\"\nzone = \"A.test\"\npatience_ms = 2.5\nmax_inflight = 3\nmax_connections = 4\n"
	got, err := LoadConfig(writeConfig(t, text))
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Enabled: true, Listen: "127.0.0.1:53", Zone: "a.test.", TimeoutMs: 2.5, MaxInflight: 3, MaxConnections: 4}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestDefaultConfig(t *testing.T) {
	want := Config{Enabled: false, Listen: "127.0.0.1:5353", Zone: "garnetline.local.", TimeoutMs: 1000, MaxInflight: 256, MaxConnections: 32}
	if got := DefaultConfig(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
