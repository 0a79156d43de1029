package platformconfig

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"garnetline/internal/golden"
	"garnetline/routing"
)

// TestGoldenConfig checks the value that each key of the platform's JSON is parsed to.
// testdata/full.json has every key.
func TestGoldenConfig(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"TMPDIR": "/state", "EDGE_LISTEN_FD": "7"}[name]
	}
	config, err := Load("testdata/full.json", env)
	if err != nil {
		t.Fatal(err)
	}
	var text textLines
	writeConfig(&text, config)
	writeSettings(&text, &config.Settings)
	golden.Compare(t, "full.golden", []byte(text.String()))
}

// textLines builds a text line by line.
type textLines struct{ strings.Builder }

func (l *textLines) line(key string, values ...any) {
	fmt.Fprintln(&l.Builder, append([]any{key}, values...)...)
}

func writeConfig(text *textLines, config *Config) {
	text.line("name", config.Name)
	text.line("listen", config.Listen)
	text.line("EDGE_LISTEN_FD", config.ListenFD)
	text.line("mgmt", config.AdminListen)
	text.line("TMPDIR", config.StateDir)
	text.line("changelog", config.Discovery)
	text.line("seed", config.Seed)
	text.line("limits", config.Limits.Cores, config.Limits.MemoryMB, config.Limits.Sockets)
	text.line("flow_bytes_per_s", config.Upstream.BytesPerSecond)
	for _, event := range config.KnownEvents {
		text.line("known", event.Seq, event.ListUpdate, event.Snapshot)
		for _, endpoint := range event.Endpoints {
			text.line("  host", endpoint.ID, endpoint.Addr, endpoint.Zone, endpoint.Kind, endpoint.Cell, int(endpoint.Phase), endpoint.Weight, endpoint.StartedAt)
		}
		if purge := event.Purge; purge != nil {
			text.line("  invalidate", uint64(purge.Object), purge.Group, purge.At)
		}
	}
	text.line("known.seq", config.KnownSeq)
	text.line("settings.areas", config.Zones)
	text.line("settings.machine_types", config.Kinds)
	text.line("settings.telemetry.fields", config.LoadReportFields)
	text.line("settings.limits.conn_idle_us", config.Upstream.IdleTimeout)
	text.line("settings.limits.connect_timeout_us", config.Upstream.ConnectTimeout)
	text.line("settings.limits.max_streams", config.Upstream.MaxStreams)
}

func writeSettings(text *textLines, s *routing.Settings) {
	text.line("counts", s.Zones, s.Zone, s.Kinds, s.ParentKind, s.OriginKind, s.RoutersByZone, s.Routers)
	for _, class := range s.Classes {
		text.line("class", class.Name, int(class.Idempotency), int(class.KeyScope), class.KeyWindow, class.LatencyObjective, class.ObjectiveTransferFactor, class.Deadline, class.PriorityWeight, class.LateWeightFactor, class.Write, class.FreshnessLifetime, class.MaxStale)
	}
	text.line("limits", s.MaxAttempts, s.MaxRetryAfter, s.CanCancel)
	text.line("family_info", s.CanJoinFill, s.AllowBypass, s.TransferKBPerSecond, s.BodyBytesPerSecond, s.HitStatusOnly, s.OriginStopsOnOverload)
	text.line("discovery, weights", s.MustSubscribe, s.WeightIsCapacity)
	text.line("rules", s.DrainGrace, s.PurgeGrace, s.PurgeRetention)
	text.line("cache", s.CacheSlowStart.InitialCapacity, s.CacheSlowStart.Duration, s.CacheSlowStart.OverloadFactor, s.CacheSlowStart.OverloadWindow)
	text.line("parent", s.ParentSlowStart.InitialCapacity, s.ParentSlowStart.Duration, s.ParentSlowStart.OverloadFactor, s.ParentSlowStart.OverloadWindow)
}

// writeJSONKeys writes the JSON path and the kind of each field of a type that the platform's
// JSON is decoded into.
func writeJSONKeys(out *strings.Builder, path string, typ reflect.Type) {
	switch {
	case typ.Kind() == reflect.Pointer:
		writeJSONKeys(out, path, typ.Elem())
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		writeJSONKeys(out, path+"[]", typ.Elem())
	case typ.Kind() == reflect.Struct:
		for i := range typ.NumField() {
			writeJSONKeys(out, strings.TrimPrefix(path+"."+typ.Field(i).Tag.Get("json"), "."), typ.Field(i).Type)
		}
	default:
		fmt.Fprintf(out, "%s %s\n", path, typ.Kind())
	}
}

// TestGoldenKeys checks the names of the keys of the platform's JSON. The keys below settings are
// not part of document; TestGoldenConfig checks them with testdata/full.json.
func TestGoldenKeys(t *testing.T) {
	var out strings.Builder
	writeJSONKeys(&out, "", reflect.TypeOf(document{}))
	golden.Compare(t, "keys.golden", []byte(out.String()))
}

// invalidChanges are replacements that each make validConfig invalid.
var invalidChanges = []struct{ text, replacement string }{
	{`{"name"`, `"name"`},
	{`"127.0.0.1:5050"`, `"nowhere"`},
	{`"127.0.0.1:5050"`, `17`},
	{`"name":"n0"`, `"mgmt":"x"`},
	{`"127.0.0.1:9092"`, `""`},
	{`8c1f30d27a5be964`, `xyz`},
	{`"cores":1.0`, `"cores":-1`},
	{`"sockets":1024`, `"sockets":4`},
	{`"memory_mb":192`, `"memory_mb":"a lot"`},
	{`"limits":{"cores"`, `"flow_bytes_per_s":-1,"limits":{"cores"`},
	{`"s-00c41f7a"`, `"s-1"`},
	{`"site":"edge-1"`, `"site":"edge-9"`},
	{`"class":"box"`, `"class":"cat"`},
	{`"health":"draining"`, `"health":"fine"`},
	{`"dial":"127.0.0.2:5050"`, `"dial":"x"`},
	{`"block":2`, `"block":"2"`},
	{`"bucket":17`, `"object":"17"`},
	{`"invalidate"`, `"other"`},
	{`"zone":1`, `"zone":7`},
	{`"try_limit":6`, `"try_limit":"x"`},
	{`"conn_idle_us":15000000`, `"conn_idle_us":-1`},
	{`"connect_timeout_us":400000`, `"connect_timeout_us":0`},
	{`"max_streams":100`, `"max_streams":0`},
	{`"read_like"`, `"whatever"`},
	{`["hub","edge-1"]`, `["edge-1","edge-1"]`},
	{`"parent","origin"]`, `"box","origin"]`},
	{`"second_tier_kind":1`, `"second_tier_kind":2`},
	{`"report_x1"`, `"parent_starts_at":1.5,"report_x1"`},
	{`"telemetry"`, `"rules":{"cold_from":2},"telemetry"`},
	{`"class_write":[false]`, `"class_write":[false,true]`},
	{`"settings"`, `"set"`},
	{`"settings":{`, `"settings":[{`},
}

// TestGoldenErrors checks which field the error of an invalid configuration names, and that the
// error is one line. The name of the field is the text before the first colon.
func TestGoldenErrors(t *testing.T) {
	var out strings.Builder
	for _, change := range invalidChanges {
		text := strings.Replace(validConfig, change.text, change.replacement, 1)
		if text == validConfig {
			t.Fatalf("%s is not in validConfig", change.text)
		}
		if change.replacement == `"settings":[{` {
			text = strings.TrimSuffix(text, "}") + "]}"
		}
		_, err := Parse([]byte(text), noEnvironment)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%s: got error %v, want an error of one line", change.replacement, err)
		}
		field, _, _ := strings.Cut(err.Error(), ": ")
		fmt.Fprintf(&out, "%s -> %s\n", change.replacement, field)
	}
	for _, env := range []string{"EDGE_CONFIG", "EDGE_LISTEN", "EDGE_MGMT", "EDGE_LISTEN_FD"} {
		get := func(name string) string {
			if name == env {
				return "x"
			}
			return ""
		}
		_, err := Parse([]byte(validConfig), get)
		if env == "EDGE_CONFIG" {
			_, err = Load("", get)
		}
		field, _, _ := strings.Cut(err.Error(), ": ")
		fmt.Fprintf(&out, "%s=x -> %s\n", env, field)
	}
	_, err := Load("", noEnvironment)
	fmt.Fprintf(&out, "nothing given -> %v\n", err)
	golden.Compare(t, "errors.golden", []byte(out.String()))
}

// TestGoldenRestart checks which fields only a restart can change.
func TestGoldenRestart(t *testing.T) {
	config, err := Parse([]byte(validConfig), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, change := range []struct{ text, replacement string }{
		{`"name":"n0"`, `"name":"n1"`},
		{`"127.0.0.1:5050","seed"`, `"127.0.0.1:5051","seed"`},
		{`"name":"n0"`, `"name":"n0","mgmt":"127.0.0.1:1"`},
		{`"127.0.0.1:9092"`, `"127.0.0.1:9093"`},
		{`"sockets":1024`, `"sockets":64`},
		{`["hub","edge-1"]`, `["hub","edge-1","x"],"x":[0]`},
		{`"parent","origin"]`, `"parent","origin","x"]`},
		{`"zone":1`, `"zone":0`},
		{`"second_tier_kind":1`, `"second_tier_kind":0`},
		{`"root_kind":2`, `"root_kind":0`},
		{`"name":"part"`, `"name":"path"`},
		{`"read_like"`, `"non_idempotent"`},
		{`"class_write":[false]`, `"class_write":[true]`},
		{`"aim_us":280000`, `"aim_us":1`},
	} {
		text := strings.Replace(validConfig, change.text, change.replacement, 1)
		if strings.Contains(change.replacement, `"x":[0]`) {
			text = strings.Replace(text, `[0,2]`, `[0,2,0]`, 1)
		}
		next, err := Parse([]byte(text), noEnvironment)
		if err != nil || text == validConfig {
			t.Fatalf("%s: got error %v, want a valid changed configuration", change.replacement, err)
		}
		fmt.Fprintf(&out, "%s -> %v\n", change.replacement, config.CheckReload(next))
	}
	golden.Compare(t, "restart.golden", []byte(out.String()))
}
