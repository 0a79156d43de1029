package simproto

import (
	"strings"
	"testing"
	"time"

	"garnetline/routing"
)

// readSettings returns the settings of the instance that is started by the given lines.
func readSettings(t *testing.T, lines string) routing.Settings {
	t.Helper()
	messages, err := readAll(batchOf(lines))
	if err != nil {
		t.Fatal(err)
	}
	return messages[0].Settings
}

func TestSettingsOfStartedInstance(t *testing.T) {
	settings := readSettings(t, startLines)
	if settings.Zones != 2 || settings.Zone != 1 {
		t.Errorf("got zone %d of %d zones, want zone 1 of 2", settings.Zone, settings.Zones)
	}
	if settings.ParentKind != 1 || settings.OriginKind != 2 {
		t.Errorf("got kinds %d of parents and %d of the origin, want 1 and 2", settings.ParentKind, settings.OriginKind)
	}
	if !settings.WeightIsCapacity {
		t.Error("got WeightIsCapacity false with weights=rough, want true")
	}
	if settings.MaxRetryAfter != 500*time.Millisecond {
		t.Errorf("got MaxRetryAfter %v, want 500ms", settings.MaxRetryAfter)
	}
	if len(settings.RoutersByZone) != 2 || len(settings.Classes) != 2 {
		t.Fatalf("got RoutersByZone %v and classes %+v, want two of each", settings.RoutersByZone, settings.Classes)
	}
	class := settings.Classes[1]
	if class.Idempotency != routing.IdempotentWithKey || class.KeyScope != routing.KeyScopeZone || !class.Write {
		t.Errorf("got class %+v, want a write that is idempotent with a key, in the scope of a zone", class)
	}
}

func TestAbsentSettingsHaveDefaults(t *testing.T) {
	settings := readSettings(t, startLines)
	if settings.Routers != 1 {
		t.Errorf("got %d routers, want 1", settings.Routers)
	}
	if settings.AllowBypass || settings.HitStatusOnly || settings.OriginStopsOnOverload {
		t.Errorf("got AllowBypass %t, HitStatusOnly %t, OriginStopsOnOverload %t; want false",
			settings.AllowBypass, settings.HitStatusOnly, settings.OriginStopsOnOverload)
	}
	if got := settings.Classes[0].Idempotency; got != routing.Idempotent {
		t.Errorf("got idempotency %v for a class without the setting, want %v", got, routing.Idempotent)
	}
}

func TestHitStatusOnlyAndOriginOverload(t *testing.T) {
	lines := strings.Replace(startLines, "new_key=x", "family_info.note_level=hit family_info.origin_limit_factor=2.5", 1)
	settings := readSettings(t, lines)
	if !settings.HitStatusOnly || !settings.OriginStopsOnOverload {
		t.Errorf("got HitStatusOnly %t, OriginStopsOnOverload %t; want true", settings.HitStatusOnly, settings.OriginStopsOnOverload)
	}
}

// TestFirstContradictionIsReported checks that, of two invalid settings, the same one is reported
// every time. Checks that iterate over a map would report one or the other from run to run.
func TestFirstContradictionIsReported(t *testing.T) {
	for range 20 {
		_, _, err := ParseSettings(map[string]string{pathParentInitial: "2", pathCacheInitial: "3"})
		want := "rules.cold_from: expected a fraction of a server's capacity from 0 to 1, got 3"
		if err == nil || err.Error() != want {
			t.Fatalf("got error %v, want %s", err, want)
		}
	}
}

func TestParseSettingsReturnsLoadReportFields(t *testing.T) {
	_, loadFields, err := ParseSettings(map[string]string{"telemetry.fields": "active,x1"})
	if err != nil || len(loadFields) != 2 || loadFields[0] != "active" || loadFields[1] != "x1" {
		t.Errorf("got load report fields %q, error %v; want active and x1", loadFields, err)
	}
}
