package simproto

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// pairs are the settings of a BEGIN line by path. The first error sticks in f.
type settingReader struct {
	values map[string]string
	fields *fieldReader
}

// settings reads the path=value pairs that end a BEGIN line, and the names
// of the values in a load report. Unknown paths are skipped; absent ones take
// their default.
func (f *fieldReader) settings() (routing.Settings, []string) {
	values := map[string]string{}
	for f.hasMore {
		pair := f.next("info")
		path, value, found := strings.Cut(pair, "=")
		if !found {
			f.fail("info", fmt.Sprintf("%q is not path=value", pair))
		}
		values[path] = value
	}
	return settingReader{values, f}.settings()
}

// ParseSettings reads settings given by path, and the names of the values in
// a load report. An error names the path.
func ParseSettings(values map[string]string) (routing.Settings, []string, error) {
	var fields fieldReader
	settings, loadFields := settingReader{values, &fields}.settings()
	if parseError, ok := fields.err.(*ParseError); ok {
		return settings, nil, fmt.Errorf("%s: %s", parseError.Field, parseError.Reason)
	}
	return settings, loadFields, fields.err
}

// settings turns the pairs into what the module takes.
func (p settingReader) settings() (routing.Settings, []string) {
	settings := routing.Settings{
		Zones:                 len(p.list("areas")),
		Zone:                  p.integer("zone", 0),
		Kinds:                 len(p.list("machine_types")),
		ParentKind:            p.integer("family_info.second_tier_kind", -1),
		OriginKind:            p.integer("family_info.root_kind", -1),
		Routers:               p.integer("peers_total", 1),
		MaxAttempts:           p.integer("limits.try_limit", 1),
		MaxRetryAfter:         p.duration("limits.max_retry_after_us"),
		CanCancel:             p.boolean("limits.cancel"),
		CanJoinFill:           p.boolean("family_info.can_join"),
		AllowBypass:           p.boolean("family_info.bypass_allowed"),
		TransferKBPerSecond:   p.float("family_info.one_flow_kb_per_s"),
		WeightIsCapacity:      p.values["weights"] == "nominal" || p.values["weights"] == "rough",
		HitStatusOnly:         p.values["family_info.note_level"] == "hit",
		OriginStopsOnOverload: p.float("family_info.origin_limit_factor") > 0,
		MustSubscribe:         p.values["discovery"] == "on_request",
		DrainGrace:            p.duration("rules.drain_grace_us"),
		PurgeGrace:            p.duration("family_info.obey_after_us"),
		PurgeRetention:        p.duration("family_info.cleared_within_us"),
		CacheSlowStart: routing.SlowStart{InitialCapacity: p.float("rules.cold_from"), Duration: p.duration("rules.cold_us"),
			OverloadFactor: p.float("rules.fall_multiple"), OverloadWindow: p.duration("rules.overload_for_us")},
		ParentSlowStart: routing.SlowStart{InitialCapacity: p.float("family_info.parent_starts_at"), Duration: p.duration("family_info.parent_warms_in_us"),
			OverloadFactor: p.float("family_info.parent_fall_multiple"), OverloadWindow: p.duration("rules.overload_for_us")},
	}
	if !p.boolean("limits.retry_after") {
		settings.MaxRetryAfter = 0
	}
	for _, count := range p.list("family_info.seats_by_zone") {
		settings.RoutersByZone = append(settings.RoutersByZone, p.parseInteger("family_info.seats_by_zone", count))
	}
	settings.Classes = p.classes()
	p.checkConsistency(settings)
	return settings, p.list("telemetry.fields")
}

// agree fails where settings contradict each other. What only makes a rule stricter than it
// need be, such as an aim beyond the deadline, is no contradiction.
//
// Symptom guarded against: of two classes, zones or kinds of one name the first stood for
// both, and a write without an origin went to a cache, which cannot run it.
func (p settingReader) checkConsistency(settings routing.Settings) {
	p.requireDistinct("areas", p.list("areas"))
	p.requireDistinct("machine_types", p.list("machine_types"))
	if settings.ParentKind >= 0 && settings.ParentKind == settings.OriginKind {
		p.fields.fail("family_info.second_tier_kind", fmt.Sprintf("kind %d is the origin's, as family_info.root_kind says", settings.ParentKind))
	}
	for path, initial := range map[string]float64{"rules.cold_from": settings.CacheSlowStart.InitialCapacity, "family_info.parent_starts_at": settings.ParentSlowStart.InitialCapacity} {
		if initial > 1 {
			p.fields.fail(path, fmt.Sprintf("%v is more than all of a server's capacity", initial))
		}
	}
	names := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		if names[i] = class.Name; class.Write && settings.OriginKind < 0 {
			p.fields.fail("family_info.class_write", fmt.Sprintf("class %q runs at the origin, and family_info.root_kind names none", class.Name))
		}
	}
	p.requireDistinct("classes", names)
}

// apart fails where a name stands twice. The simulator's wire need not name its classes.
func (p settingReader) requireDistinct(path string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			p.fields.fail(path, fmt.Sprintf("%q stands twice", name))
		}
	}
}

func (p settingReader) classes() []routing.Class {
	const info = "family_info."
	writes, freshness, maxStale := p.list(info+"class_write"), p.list(info+"lifetime_by_class_us"), p.list(info+"older_by_us")
	count := p.integer("classes.count", 0)
	if count > 1000 {
		p.fields.fail("classes.count", "too many classes")
		return nil
	}
	for _, path := range []string{"class_write", "lifetime_by_class_us", "older_by_us"} {
		if l := len(p.list(info + path)); l != 0 && l != count {
			p.fields.fail(info+path, fmt.Sprintf("%d values for %d classes", l, count))
			return nil
		}
	}
	var classes []routing.Class
	for i := range count {
		prefix := fmt.Sprintf("classes.%d.", i)
		class := routing.Class{
			Name:                    p.values[prefix+"name"],
			Idempotency:             routing.Idempotency(wordIndex(p, prefix+"effect", "read_like", "idempotency_key", "non_idempotent")),
			KeyScope:                routing.KeyScope(wordIndex(p, prefix+"group", "all", "zone", "cell")),
			KeyWindow:               p.duration(prefix + "window_us"),
			LatencyObjective:        p.duration(prefix + "aim_us"),
			ObjectiveTransferFactor: p.float(prefix + "aim_stretch"),
			Deadline:                p.duration(prefix + "deadline_us"),
			PriorityWeight:          p.float(prefix + "value"),
			LateWeightFactor:        p.float(prefix + "late_worth"),
			Write:                   len(writes) > 0 && p.parseBoolean(info+"class_write", writes[i]),
		}
		if len(freshness) > 0 {
			class.FreshnessLifetime = p.parseDuration(info+"lifetime_by_class_us", freshness[i])
		}
		if len(maxStale) > 0 {
			class.MaxStale = p.parseDuration(info+"older_by_us", maxStale[i])
		}
		classes = append(classes, class)
	}
	return classes
}

// choose returns the place of a path's value among words; absent is the first.
func wordIndex(settings settingReader, path string, words ...string) int {
	value, present := settings.value(path)
	if !present {
		return 0
	}
	for i, word := range words {
		if value == word {
			return i
		}
	}
	settings.fields.fail(path, fmt.Sprintf("unknown word %q", value))
	return 0
}

func (p settingReader) value(path string) (string, bool) {
	value := p.values[path]
	return value, value != "" && value != "-"
}

func (p settingReader) list(path string) []string {
	value, present := p.value(path)
	if !present {
		return nil
	}
	return strings.Split(value, ",")
}

func (p settingReader) integer(path string, absent int) int {
	value, present := p.value(path)
	if !present {
		return absent
	}
	return p.parseInteger(path, value)
}

func (p settingReader) parseInteger(path, value string) int {
	number, err := strconv.ParseInt(value, 10, 32)
	if err != nil || number < -1 {
		p.fields.fail(path, fmt.Sprintf("%q is not a whole number", value))
		return 0
	}
	return int(number)
}

func (p settingReader) float(path string) float64 {
	value, present := p.value(path)
	if !present {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0) || math.IsInf(number, 0) {
		p.fields.fail(path, fmt.Sprintf("%q is not a number from 0", value))
		return 0
	}
	return number
}

func (p settingReader) duration(path string) time.Duration {
	value, present := p.value(path)
	if !present {
		return 0
	}
	return p.parseDuration(path, value)
}

func (p settingReader) parseDuration(path, value string) time.Duration {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number > maxMicroseconds {
		p.fields.fail(path, fmt.Sprintf("%q is not a time in microseconds", value))
		return 0
	}
	return time.Duration(number) * time.Microsecond
}

func (p settingReader) boolean(path string) bool {
	value, present := p.value(path)
	return present && p.parseBoolean(path, value)
}

func (p settingReader) parseBoolean(path, value string) bool {
	switch value {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	p.fields.fail(path, fmt.Sprintf("%q is not true or false", value))
	return false
}
