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
type settingValues struct {
	values map[string]string
	fields *fields
}

// settings reads the path=value pairs that end a BEGIN line, and the names
// of the values in a load report. Unknown paths are skipped; absent ones take
// their default.
func (f *fields) settings() (routing.Settings, []string) {
	m := map[string]string{}
	for f.more {
		s := f.nextValue("info")
		path, value, ok := strings.Cut(s, "=")
		if !ok {
			f.fail("info", fmt.Sprintf("%q is not path=value", s))
		}
		m[path] = value
	}
	return settingValues{m, f}.settings()
}

// ParseSettings reads settings given by path, and the names of the values in
// a load report. An error names the path.
func ParseSettings(m map[string]string) (routing.Settings, []string, error) {
	var f fields
	s, report := settingValues{m, &f}.settings()
	if e, ok := f.err.(*ParseError); ok {
		return s, nil, fmt.Errorf("%s: %s", e.Field, e.Reason)
	}
	return s, report, f.err
}

// settings turns the pairs into what the module takes.
func (p settingValues) settings() (routing.Settings, []string) {
	s := routing.Settings{
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
		s.MaxRetryAfter = 0
	}
	for _, v := range p.list("family_info.seats_by_zone") {
		s.RoutersByZone = append(s.RoutersByZone, p.parseInteger("family_info.seats_by_zone", v))
	}
	s.Classes = p.classes()
	p.checkConsistency(s)
	return s, p.list("telemetry.fields")
}

// agree fails where settings contradict each other. What only makes a rule stricter than it
// need be, such as an aim beyond the deadline, is no contradiction.
//
// Symptom guarded against: of two classes, zones or kinds of one name the first stood for
// both, and a write without an origin went to a cache, which cannot run it.
func (p settingValues) checkConsistency(s routing.Settings) {
	p.requireDistinct("areas", p.list("areas"))
	p.requireDistinct("machine_types", p.list("machine_types"))
	if s.ParentKind >= 0 && s.ParentKind == s.OriginKind {
		p.fields.fail("family_info.second_tier_kind", fmt.Sprintf("kind %d is the origin's, as family_info.root_kind says", s.ParentKind))
	}
	for path, from := range map[string]float64{"rules.cold_from": s.CacheSlowStart.InitialCapacity, "family_info.parent_starts_at": s.ParentSlowStart.InitialCapacity} {
		if from > 1 {
			p.fields.fail(path, fmt.Sprintf("%v is more than all of a server's capacity", from))
		}
	}
	names := make([]string, len(s.Classes))
	for i, c := range s.Classes {
		if names[i] = c.Name; c.Write && s.OriginKind < 0 {
			p.fields.fail("family_info.class_write", fmt.Sprintf("class %q runs at the origin, and family_info.root_kind names none", c.Name))
		}
	}
	p.requireDistinct("classes", names)
}

// apart fails where a name stands twice. The simulator's wire need not name its classes.
func (p settingValues) requireDistinct(path string, names []string) {
	for i, n := range names {
		if n != "" && slices.Contains(names[:i], n) {
			p.fields.fail(path, fmt.Sprintf("%q stands twice", n))
		}
	}
}

func (p settingValues) classes() []routing.Class {
	const info = "family_info."
	writes, fresh, grace := p.list(info+"class_write"), p.list(info+"lifetime_by_class_us"), p.list(info+"older_by_us")
	n := p.integer("classes.count", 0)
	if n > 1000 {
		p.fields.fail("classes.count", "too many classes")
		return nil
	}
	for _, path := range []string{"class_write", "lifetime_by_class_us", "older_by_us"} {
		if l := len(p.list(info + path)); l != 0 && l != n {
			p.fields.fail(info+path, fmt.Sprintf("%d values for %d classes", l, n))
			return nil
		}
	}
	var out []routing.Class
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := routing.Class{
			Name:                    p.values[at+"name"],
			Idempotency:             routing.Idempotency(enumIndex(p, at+"effect", "read_like", "idempotency_key", "non_idempotent")),
			KeyScope:                routing.KeyScope(enumIndex(p, at+"group", "all", "zone", "cell")),
			KeyWindow:               p.duration(at + "window_us"),
			LatencyObjective:        p.duration(at + "aim_us"),
			ObjectiveTransferFactor: p.float(at + "aim_stretch"),
			Deadline:                p.duration(at + "deadline_us"),
			PriorityWeight:          p.float(at + "value"),
			LateWeightFactor:        p.float(at + "late_worth"),
			Write:                   len(writes) > 0 && p.parseBool(info+"class_write", writes[i]),
		}
		if len(fresh) > 0 {
			c.FreshnessLifetime = p.parseDuration(info+"lifetime_by_class_us", fresh[i])
		}
		if len(grace) > 0 {
			c.MaxStale = p.parseDuration(info+"older_by_us", grace[i])
		}
		out = append(out, c)
	}
	return out
}

// choose returns the place of a path's value among words; absent is the first.
func enumIndex(p settingValues, path string, words ...string) int {
	v, ok := p.value(path)
	if !ok {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	p.fields.fail(path, fmt.Sprintf("unknown word %q", v))
	return 0
}

func (p settingValues) value(path string) (string, bool) {
	v := p.values[path]
	return v, v != "" && v != "-"
}

func (p settingValues) list(path string) []string {
	v, ok := p.value(path)
	if !ok {
		return nil
	}
	return strings.Split(v, ",")
}

func (p settingValues) integer(path string, absent int) int {
	v, ok := p.value(path)
	if !ok {
		return absent
	}
	return p.parseInteger(path, v)
}

func (p settingValues) parseInteger(path, v string) int {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < -1 {
		p.fields.fail(path, fmt.Sprintf("%q is not a whole number", v))
		return 0
	}
	return int(n)
}

func (p settingValues) float(path string) float64 {
	v, ok := p.value(path)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		p.fields.fail(path, fmt.Sprintf("%q is not a number from 0", v))
		return 0
	}
	return x
}

func (p settingValues) duration(path string) time.Duration {
	v, ok := p.value(path)
	if !ok {
		return 0
	}
	return p.parseDuration(path, v)
}

func (p settingValues) parseDuration(path, v string) time.Duration {
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n > maxMicroseconds {
		p.fields.fail(path, fmt.Sprintf("%q is not a time in microseconds", v))
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (p settingValues) boolean(path string) bool {
	v, ok := p.value(path)
	return ok && p.parseBool(path, v)
}

func (p settingValues) parseBool(path, v string) bool {
	switch v {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	p.fields.fail(path, fmt.Sprintf("%q is not true or false", v))
	return false
}
