package operatorconfig

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/golden"
)

// formatKeys writes each key of a block, taken from the hcl tags, with its value.
func formatKeys(out *strings.Builder, path string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			fmt.Fprintf(out, "%s none\n", path)
			return
		}
		formatKeys(out, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			formatKeys(out, path+"."+value.Type().Field(i).Tag.Get("hcl"), value.Field(i))
		}
	case reflect.Slice:
		if value.Type().Elem().Kind() != reflect.Struct {
			fmt.Fprintf(out, "%s %q\n", path, value.Interface())
			return
		}
		for i := range value.Len() {
			formatKeys(out, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	default:
		fmt.Fprintf(out, "%s %v\n", path, value.Interface())
	}
}

func formatConfig(config *Config) string {
	var out strings.Builder
	for _, block := range []struct {
		name  string
		value any
	}{{"log", config.Log}, {"dns", config.DNS}, {"trace", config.Trace}, {"fleet", config.Fleet}, {"duties", config.Leases}} {
		formatKeys(&out, block.name, reflect.ValueOf(block.value))
	}
	return out.String()
}

// TestGoldenKeys checks the name of every block and key of the operators' file, the value that it
// is parsed to and its default. testdata/full.hcl has every key.
func TestGoldenKeys(t *testing.T) {
	config, err := Load("testdata/full.hcl")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "full.golden", []byte(formatConfig(&config)))
	config, err = loadText(t, "trace {\n class \"a\" {}\n collector { url = \"http://127.0.0.1\" }\n}\nduties {\n prober {}\n first_try {}\n bans {}\n}")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "default.golden", []byte(formatConfig(&config)))
}

// TestGoldenTransport checks the settings of transport, membership, connectivity and leases that
// result from the values in testdata/full.hcl.
func TestGoldenTransport(t *testing.T) {
	config, err := Load("testdata/full.hcl")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.Fleet.TransportSettings()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	membership, connectivity := settings.Node.Membership, settings.Node.Connectivity
	fmt.Fprintln(&out, settings.FleetName, settings.ListenAddr, settings.AdvertiseAddr, settings.Seeds, settings.PacketsPerSecond, settings.BytesPerSecond)
	fmt.Fprintln(&out, membership.ProbeInterval, membership.ProbeTimeout, membership.MinSuspicionTimeout, membership.SyncInterval, membership.ReconnectInterval, membership.MaxMembers)
	fmt.Fprintln(&out, connectivity.RecentWindow, connectivity.TogetherShare, connectivity.SilenceTimeout, connectivity.DowngradeDelay, connectivity.UpgradeDelay, connectivity.MaxUpgradeDelay)
	consensus := config.Leases.ConsensusSettings()
	fmt.Fprintln(&out, consensus.ElectionTicks, consensus.Lease.TTL, consensus.Lease.SafetyMargin, consensus.Lease.MaxClockDrift, consensus.Lease.RetryInterval)
	golden.Compare(t, "fleet.golden", []byte(out.String()))
}

// TestGoldenErrors checks that the error for an invalid file is one line, and which file, line,
// block and field it names. For an HCL error, it checks the file, line and summary.
func TestGoldenErrors(t *testing.T) {
	const fleet = "fleet {\n enabled = true\n keys = [\"sixteen bytes or more\"]\n "
	const duties = fleet + "}\nduties {\n enabled = true\n electors = [\"a\", \"b\", \"c\"]\n "
	var out strings.Builder
	for _, text := range []string{
		"log {\n level = \"loud\"\n}",
		"dns {\n listen = \"x\"\n}", "dns {\n zone = \".\"\n}", "dns {\n patience_ms = 0\n}", "dns {\n max_inflight = 0\n}", "dns {\n max_connections = 0\n}",
		"dns {\n colour = 1\n}", "dns {\n max_inflight = \"many\"\n}", "dns {", "zones {}", "log {}\nlog {}",
		"trace {\n enabled = true\n}", "trace {\n segment_mb = 0\n}", "trace {\n keep_mb = 9\n}", "trace {\n undecided_kb = 1\n}",
		"trace {\n ordinary_per_s = -1\n}", "trace {\n retry_within_ms = 1e9\n}", "trace {\n class \"a\" {}\n class \"a\" {}\n}",
		"trace {\n class \"a\" { wanted_ms = -1 }\n}", "trace {\n collector { url = \"ftp://x\" }\n}", "trace {\n collector {}\n}",
		"trace {\n collector {\n url = \"http://x\"\n queue = -1\n}\n}",
		"fleet {\n enabled = true\n}", fleet + "probe_ms = 1\n}", fleet + "timeout_ms = 101\n}", fleet + "suspect_ms = 1\n}", fleet + "sync_ms = 1\n}",
		fleet + "reach_ms = 1\n}", fleet + "max_members = 1\n}", fleet + "packets_per_s = 1\n}", fleet + "bytes_per_s = 1\n}", fleet + "lately_ms = 1\n}",
		fleet + "together_share = 2\n}", fleet + "alone_after_silence_ms = 1\n}", fleet + "less_room_after_ms = -1\n}", fleet + "more_room_after_ms = 1\n}",
		fleet + "name = \"\"\n}", fleet + "listen = \"x\"\n}", fleet + "advertise = \"x\"\n}", fleet + "listen = \"0.0.0.0:1\"\n}", fleet + "join = [\"here\"]\n}",
		"duties {\n enabled = true\n}", fleet + "}\nduties {\n enabled = true\n}", duties + "election_ms = 1\n}", duties + "lease_ms = 1\n}", duties + "drift = 1\n}",
		fleet + "}\nduties {\n enabled = true\n electors = [\"a\", \"b\", \"a\"]\n}", "duties {\n first_try { routers_per_s = -1 }\n}",
		"duties {\n bans { every_ms = 1 }\n}", "duties {\n prober { every_ms = 1 }\n}",
	} {
		_, err := loadText(t, text)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: got error %v, want an error of one line", text, err)
		}
		parts := strings.SplitN(err.Error(), ": ", 4)
		fmt.Fprintf(&out, "%q -> %s\n", text, strings.Join(parts[:min(3, len(parts)-1)], ": "))
	}
	golden.Compare(t, "errors.golden", []byte(out.String()))
}

// TestGoldenRestart checks which blocks and fields only a restart can change.
func TestGoldenRestart(t *testing.T) {
	current := Default()
	var out strings.Builder
	for _, text := range []string{"log {\n level = \"off\"\n}", "dns {\n patience_ms = 2\n}", "trace {\n enabled = true\n folder = \"x\"\n}",
		"trace {\n folder = \"x\"\n}", "trace {\n secret = \"x\"\n}", "trace {\n peers = true\n}", "trace {\n collector { url = \"http://x\" }\n}",
		"trace {\n keep_mb = 99\n}", "fleet {\n keys = [\"x\"]\n join = [\"x\"]\n}", "fleet {\n zone = \"x\"\n}", "duties {\n drift = 0.03\n}"} {
		next, err := loadText(t, text)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%q -> %v\n", text, current.CheckReload(next))
	}
	golden.Compare(t, "restart.golden", []byte(out.String()))
}
