package simproto

import (
	"fmt"
	"strings"

	"garnetline/routing"
)

// Defaults of absent settings.
const (
	defaultRouters     = 1
	defaultMaxAttempts = 1
	noKind             = -1 // no server kind: there are no parents, or there is no origin
)

// Paths of settings that are used in more than one place.
const (
	pathZones         = "areas"
	pathKinds         = "machine_types"
	pathParentKind    = "family_info.second_tier_kind"
	pathOriginKind    = "family_info.root_kind"
	pathRoutersByZone = "family_info.seats_by_zone"
	pathCacheInitial  = "rules.cold_from"
	pathParentInitial = "family_info.parent_starts_at"
)

// Values of settings that select one of several options.
const (
	weightsNominal      = "nominal" // a server's weight is its registered size
	weightsApproximate  = "rough"   // a server's weight is approximately its size
	cacheStatusHitsOnly = "hit"     // cache statuses report hits and fills, but no failures
	discoveryOnRequest  = "on_request"
)

// ParseSettings parses settings. The keys of values are the paths of settings in the simulator's
// protocol. ParseSettings also returns the names of the values in a load report, in the order of the
// values. Unknown paths are ignored, and an absent or empty setting has its default. The text of an
// error begins with the path.
func ParseSettings(values map[string]string) (routing.Settings, []string, error) {
	var fields fieldReader
	settings, loadFields := settingReader{values: values, fields: &fields}.settings()
	if fields.err != nil {
		return settings, nil, fmt.Errorf("%s: %s", fields.err.Field, fields.err.Reason)
	}
	return settings, loadFields, nil
}

// settings reads the path=value pairs that make up the rest of the line. It returns the settings
// and the names of the values in a load report.
func (f *fieldReader) settings() (routing.Settings, []string) {
	values := map[string]string{}
	for f.hasMore {
		pair := f.next("info")
		path, value, found := strings.Cut(pair, "=")
		if !found {
			f.failf("info", "expected path=value, got %q", pair)
		}
		values[path] = value
	}
	return settingReader{values: values, fields: f}.settings()
}

// settings returns all settings and the names of the values in a load report.
func (s settingReader) settings() (routing.Settings, []string) {
	settings := routing.Settings{
		Zones:                 len(s.list(pathZones)),
		Zone:                  s.integer("zone", 0),
		Kinds:                 len(s.list(pathKinds)),
		ParentKind:            s.integer(pathParentKind, noKind),
		OriginKind:            s.integer(pathOriginKind, noKind),
		Routers:               s.integer("peers_total", defaultRouters),
		MaxAttempts:           s.integer("limits.try_limit", defaultMaxAttempts),
		MaxRetryAfter:         s.duration("limits.max_retry_after_us"),
		CanCancel:             s.boolean("limits.cancel"),
		CanJoinFill:           s.boolean("family_info.can_join"),
		AllowBypass:           s.boolean("family_info.bypass_allowed"),
		TransferKBPerSecond:   s.float("family_info.one_flow_kb_per_s"),
		WeightIsCapacity:      s.weightIsCapacity(),
		HitStatusOnly:         s.values["family_info.note_level"] == cacheStatusHitsOnly,
		OriginStopsOnOverload: s.float("family_info.origin_limit_factor") > 0,
		MustSubscribe:         s.values["discovery"] == discoveryOnRequest,
		DrainGrace:            s.duration("rules.drain_grace_us"),
		PurgeGrace:            s.duration("family_info.obey_after_us"),
		PurgeRetention:        s.duration("family_info.cleared_within_us"),
		CacheSlowStart:        s.slowStart(pathCacheInitial, "rules.cold_us", "rules.fall_multiple"),
		ParentSlowStart:       s.slowStart(pathParentInitial, "family_info.parent_warms_in_us", "family_info.parent_fall_multiple"),
	}
	if !s.boolean("limits.retry_after") {
		settings.MaxRetryAfter = 0
	}
	for _, count := range s.list(pathRoutersByZone) {
		settings.RoutersByZone = append(settings.RoutersByZone, s.parseInteger(pathRoutersByZone, count))
	}
	settings.Classes = s.classes()
	s.checkConsistency(&settings)
	return settings, s.list("telemetry.fields")
}

// weightIsCapacity reports whether the weight of a server is its exact or approximate capacity.
func (s settingReader) weightIsCapacity() bool {
	meaning := s.values["weights"]
	return meaning == weightsNominal || meaning == weightsApproximate
}

// slowStart returns the slow start settings of caches or parents. The overload window, the time
// for which a server withstands an overload, is the same for both.
func (s settingReader) slowStart(initialPath, durationPath, overloadPath string) routing.SlowStart {
	return routing.SlowStart{
		InitialCapacity: s.float(initialPath),
		Duration:        s.duration(durationPath),
		OverloadFactor:  s.float(overloadPath),
		OverloadWindow:  s.duration("rules.overload_for_us"),
	}
}
