package wire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnetline/routing"
)

// settingValues are settings by path. The first error sticks in fields.
type settingValues struct {
	values map[string]string
	fields *fields
}

// settings reads the path=value pairs that end a BEGIN line, and the names of the values in a load
// report. Unknown paths are skipped; absent ones take their default.
func (f *fields) settings() (settings routing.Settings, loadFields []string) {
	values := map[string]string{}
	for f.more {
		pair := f.nextValue("info")
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			f.fail("info", fmt.Sprintf("%q is not path=value", pair))
		}
		values[path] = value
	}
	return settingValues{values, f}.settings()
}

// ParseSettings reads settings given by path, and the names of the values in a load report. An
// error names the path.
func ParseSettings(values map[string]string) (settings routing.Settings, loadFields []string, err error) {
	var f fields
	settings, loadFields = settingValues{values, &f}.settings()
	var unreadable *Error
	if errors.As(f.err, &unreadable) {
		return settings, nil, fmt.Errorf("%s: %s", unreadable.Field, unreadable.Why)
	}
	return settings, loadFields, f.err
}

// settings turns the values into what a router takes.
func (p settingValues) settings() (settings routing.Settings, loadFields []string) {
	settings = routing.Settings{
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
		CacheSlowStart: routing.SlowStart{
			InitialCapacity: p.float("rules.cold_from"),
			Duration:        p.duration("rules.cold_us"),
			OverloadFactor:  p.float("rules.fall_multiple"),
			OverloadWindow:  p.duration("rules.overload_for_us"),
		},
		ParentSlowStart: routing.SlowStart{
			InitialCapacity: p.float("family_info.parent_starts_at"),
			Duration:        p.duration("family_info.parent_warms_in_us"),
			OverloadFactor:  p.float("family_info.parent_fall_multiple"),
			OverloadWindow:  p.duration("rules.overload_for_us"),
		},
	}
	if !p.boolean("limits.retry_after") {
		settings.MaxRetryAfter = 0
	}
	for _, count := range p.list("family_info.seats_by_zone") {
		settings.RoutersByZone = append(settings.RoutersByZone, p.parseInteger("family_info.seats_by_zone", count))
	}
	settings.Classes = p.classes()
	p.checkConsistency(&settings)
	return settings, p.list("telemetry.fields")
}

// checkConsistency fails where settings contradict each other. What only makes a rule stricter than
// it need be, such as a latency objective beyond the deadline, is no contradiction.
//
// Symptom guarded against: of two classes, zones or kinds of one name the first stood for both, and
// a write without an origin went to a cache, which cannot execute it.
func (p settingValues) checkConsistency(settings *routing.Settings) {
	p.requireDistinct("areas", p.list("areas"))
	p.requireDistinct("machine_types", p.list("machine_types"))
	if settings.ParentKind >= 0 && settings.ParentKind == settings.OriginKind {
		p.fields.fail("family_info.second_tier_kind",
			fmt.Sprintf("kind %d is the origin's, as family_info.root_kind says", settings.ParentKind))
	}
	p.requirePart("rules.cold_from", settings.CacheSlowStart.InitialCapacity)
	p.requirePart("family_info.parent_starts_at", settings.ParentSlowStart.InitialCapacity)
	names := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		names[i] = class.Name
		if class.Write && settings.OriginKind < 0 {
			p.fields.fail("family_info.class_write",
				fmt.Sprintf("class %q runs at the origin, and family_info.root_kind names none", class.Name))
		}
	}
	p.requireDistinct("classes", names)
}

// requirePart fails where a part of a server's capacity is more than all of it.
func (p settingValues) requirePart(path string, part float64) {
	if part > 1 {
		p.fields.fail(path, fmt.Sprintf("%v is more than all of a server's capacity", part))
	}
}

// requireDistinct fails where a name stands twice. The simulator need not name its classes.
func (p settingValues) requireDistinct(path string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			p.fields.fail(path, fmt.Sprintf("%q stands twice", name))
		}
	}
}

const maxClasses = 1000

// Lists that have a value for each class, or are absent.
const (
	classWritePath     = "family_info.class_write"
	classFreshnessPath = "family_info.lifetime_by_class_us"
	classMaxStalePath  = "family_info.older_by_us"
)

func (p settingValues) classes() []routing.Class {
	count := p.integer("classes.count", 0)
	if count > maxClasses {
		p.fields.fail("classes.count", "too many classes")
		return nil
	}
	lists := map[string][]string{}
	for _, path := range []string{classWritePath, classFreshnessPath, classMaxStalePath} {
		values := p.list(path)
		if len(values) != 0 && len(values) != count {
			p.fields.fail(path, fmt.Sprintf("%d values for %d classes", len(values), count))
			return nil
		}
		lists[path] = values
	}
	var classes []routing.Class
	for i := range count {
		classes = append(classes, p.class(i, lists))
	}
	return classes
}

// class reads the settings of one class; lists have a value for each class, or none.
func (p settingValues) class(i int, lists map[string][]string) routing.Class {
	prefix := fmt.Sprintf("classes.%d.", i)
	class := routing.Class{
		Name:                    p.values[prefix+"name"],
		Idempotency:             routing.Idempotency(p.enumIndex(prefix+"effect", "read_like", "idempotency_key", "non_idempotent")),
		KeyScope:                routing.KeyScope(p.enumIndex(prefix+"group", "all", "zone", "cell")),
		KeyWindow:               p.duration(prefix + "window_us"),
		LatencyObjective:        p.duration(prefix + "aim_us"),
		ObjectiveTransferFactor: p.float(prefix + "aim_stretch"),
		Deadline:                p.duration(prefix + "deadline_us"),
		PriorityWeight:          p.float(prefix + "value"),
		LateWeightFactor:        p.float(prefix + "late_worth"),
	}
	if writes := lists[classWritePath]; len(writes) > 0 {
		class.Write = p.parseBool(classWritePath, writes[i])
	}
	if lifetimes := lists[classFreshnessPath]; len(lifetimes) > 0 {
		class.FreshnessLifetime = p.parseDuration(classFreshnessPath, lifetimes[i])
	}
	if stale := lists[classMaxStalePath]; len(stale) > 0 {
		class.MaxStale = p.parseDuration(classMaxStalePath, stale[i])
	}
	return class
}

// enumIndex returns the place of a path's value among words; an absent one is the first.
func (p settingValues) enumIndex(path string, words ...string) int {
	value, ok := p.value(path)
	if !ok {
		return 0
	}
	index := slices.Index(words, value)
	if index < 0 {
		p.fields.fail(path, fmt.Sprintf("unknown word %q", value))
		return 0
	}
	return index
}

// value returns what a path is given; false: it is absent.
func (p settingValues) value(path string) (string, bool) {
	value := p.values[path]
	return value, value != "" && value != absentValue
}

func (p settingValues) list(path string) []string {
	value, ok := p.value(path)
	if !ok {
		return nil
	}
	return strings.Split(value, ",")
}

func (p settingValues) integer(path string, absent int) int {
	value, ok := p.value(path)
	if !ok {
		return absent
	}
	return p.parseInteger(path, value)
}

// parseInteger reads a whole number from -1.
func (p settingValues) parseInteger(path, value string) int {
	number, err := strconv.ParseInt(value, 10, 32)
	if err != nil || number < -1 {
		p.fields.fail(path, fmt.Sprintf("%q is not a whole number", value))
		return 0
	}
	return int(number)
}

func (p settingValues) float(path string) float64 {
	value, ok := p.value(path)
	if !ok {
		return 0
	}
	number, ok := parseNonNegative(value)
	if !ok {
		p.fields.fail(path, fmt.Sprintf("%q is not a number from 0", value))
	}
	return number
}

func (p settingValues) duration(path string) time.Duration {
	value, ok := p.value(path)
	if !ok {
		return 0
	}
	return p.parseDuration(path, value)
}

func (p settingValues) parseDuration(path, value string) time.Duration {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number > maxMicroseconds {
		p.fields.fail(path, fmt.Sprintf("%q is not a time in microseconds", value))
		return 0
	}
	return time.Duration(number) * time.Microsecond
}

func (p settingValues) boolean(path string) bool {
	value, ok := p.value(path)
	return ok && p.parseBool(path, value)
}

func (p settingValues) parseBool(path, value string) bool {
	switch value {
	case "true", "1":
		return true
	case "false", "0":
		return false
	default:
		p.fields.fail(path, fmt.Sprintf("%q is not true or false", value))
		return false
	}
}
