package platformconfig

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
	"time"

	"garnetline/routing"
)

const validConfig = `{"name":"n0","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","changelog":"127.0.0.1:9092",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"seq":2,"results":[
 {"seq":1,"fleet":{"seq":0,"whole":true,"hosts":[{"host":"s-00c41f7a","dial":"127.0.0.2:5050","site":"edge-1","class":"box","block":2,"health":"draining","share":4,"born_ms":1764576000000}]}},
 {"seq":2,"invalidate":{"bucket":17,"time":1764576000480}}]},
"settings":{"areas":["hub","edge-1"],"machine_types":["box","parent","origin"],"zone":1,
 "classes":[{"name":"part","effect":"read_like","deadline_us":4000000,"aim_us":280000,"value":2.0}],
 "family_info":{"class_write":[false],"seats_by_zone":[0,2],"root_kind":2,"second_tier_kind":1,"cleared_within_us":6000000,"report_x1":"a text, with a comma"},
 "limits":{"conn_idle_us":15000000,"connect_timeout_us":400000,"max_streams":100,"try_limit":6,"cancel":true},"telemetry":{"fields":["active","x1"]}}}`

func noEnvironment(string) string { return "" }

func TestParse(t *testing.T) {
	config, err := Parse([]byte(validConfig), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := config.KnownEvents[0].Endpoints[0]
	if endpoint.ID != 0xc41f7a || endpoint.Zone != 1 || endpoint.Cell != 2 || endpoint.Phase != routing.Draining || endpoint.Weight != 4 ||
		endpoint.StartedAt != 1764576000000*time.Millisecond || endpoint.Addr.String() != "127.0.0.2:5050" || !config.KnownEvents[0].Snapshot {
		t.Errorf("got endpoint %+v", endpoint)
	}
	if purge := config.KnownEvents[1].Purge; purge == nil || purge.Group != 17 || purge.Object != 0 || purge.At != 1764576000480 {
		t.Errorf("got purge %+v", purge)
	}
	if settings := config.Settings; settings.MaxAttempts != 6 || len(settings.Classes) != 1 || settings.Classes[0].LatencyObjective != 280*time.Millisecond ||
		settings.PurgeRetention != 6*time.Second || len(config.LoadReportFields) != 2 || config.Upstream != (Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 100, BytesPerSecond: config.Settings.BodyBytesPerSecond}) || config.KnownSeq != 2 {
		t.Errorf("got settings %+v and config %+v", settings, config)
	}
	env := func(k string) string { return map[string]string{"EDGE_NAME": "n7", "EDGE_LISTEN": "127.0.0.3:1"}[k] }
	if config, err := Parse([]byte(validConfig), env); err != nil || config.Name != "n7" || config.Listen.String() != "127.0.0.3:1" {
		t.Errorf("the environment does not override the file: got config %v, error %v", config, err)
	}
}

// TestParseErrorNamesField checks that the error for an invalid value names the field that holds
// it.
func TestParseErrorNamesField(t *testing.T) {
	for _, test := range []struct{ text, replacement, field string }{
		{`"127.0.0.1:5050"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:9092"`, `""`, "changelog"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"sockets":1024`, `"sockets":4`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":"a lot"`, "limits.memory_mb"},
		{`"s-00c41f7a"`, `"s-1"`, "known.results[0].fleet.hosts[0].host"},
		{`"site":"edge-1"`, `"site":"edge-9"`, "known.results[0].fleet.hosts[0].site"},
		{`"class":"box"`, `"class":"cat"`, "known.results[0].fleet.hosts[0].class"},
		{`"health":"draining"`, `"health":"fine"`, "known.results[0].fleet.hosts[0].health"},
		{`"dial":"127.0.0.2:5050"`, `"dial":"x"`, "known.results[0].fleet.hosts[0].dial"},
		{`"bucket":17`, `"object":"17"`, "known.results[1].invalidate.object"},
		{`1764576000480`, `1e19`, "known.results[1].invalidate.time"},
		{`"invalidate"`, `"other"`, "known.results[1].fleet"},
		{`"zone":1`, `"zone":7`, "settings: routing: Zone"},
		{`"try_limit":6`, `"try_limit":"x"`, "settings.limits.try_limit"},
		{`"conn_idle_us":15000000`, `"conn_idle_us":-1`, "settings.limits.conn_idle_us"},
		{`"max_streams":100`, `"max_streams":0`, "settings.limits.max_streams"},
		{`"read_like"`, `"whatever"`, "settings.classes.0.effect"},
		{`["hub","edge-1"]`, `["edge-1","edge-1"]`, "settings.areas: duplicate name \"edge-1\""},
		{`"parent","origin"]`, `"box","origin"]`, "settings.machine_types: duplicate name \"box\""},
		{`"second_tier_kind":1`, `"second_tier_kind":2`, "settings.family_info.second_tier_kind"},
		{`"report_x1"`, `"parent_starts_at":1.5,"report_x1"`, "settings.family_info.parent_starts_at"},
		{`"telemetry"`, `"rules":{"cold_from":2},"telemetry"`, "settings.rules.cold_from"},
		{"\"value\":2.0}],\n \"family_info\":{\"class_write\":[false],", `"value":2.0},{"name":"part","deadline_us":1}],"family_info":{`, "settings.classes: duplicate name \"part\""},
		{`"class_write":[false],"seats_by_zone":[0,2],"root_kind":2`, `"class_write":[true],"seats_by_zone":[0,2]`, "settings.family_info.class_write"},
		{`"class_write":[false]`, `"class_write":[false,true]`, "settings.family_info.class_write"},
		{`"settings"`, `"set"`, "settings"},
	} {
		text := strings.Replace(validConfig, test.text, test.replacement, 1)
		if text == validConfig {
			t.Fatalf("%s is not in validConfig", test.text)
		}
		if _, err := Parse([]byte(text), noEnvironment); err == nil || !strings.Contains(err.Error(), test.field) {
			t.Errorf("%s: got error %v, want one that names %s", test.replacement, err, test.field)
		}
	}
}

// TestFieldError checks that a caller can get the field and the cause of an error without parsing
// its text.
func TestFieldError(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validConfig, `"s-00c41f7a"`, `"s-1"`, 1)), noEnvironment)
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "known.results[0].fleet.hosts[0].host" || fieldError.Unwrap() == nil {
		t.Errorf("got error %#v, want a FieldError with a field and a cause", err)
	}
	if _, err := Load("testdata/none.json", noEnvironment); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got error %v, want fs.ErrNotExist", err)
	}
}
