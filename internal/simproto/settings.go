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
type pairs struct {
	m map[string]string
	f *fields
}

// settings reads the path=value pairs that end a BEGIN line, and the names
// of the values in a load report. Unknown paths are skipped; absent ones take
// their default.
func (f *fields) settings() (routing.Settings, []string) {
	m := map[string]string{}
	for f.more {
		s := f.next("info")
		path, value, ok := strings.Cut(s, "=")
		if !ok {
			f.fail("info", fmt.Sprintf("%q is not path=value", s))
		}
		m[path] = value
	}
	return pairs{m, f}.settings()
}

// ParseSettings reads settings given by path, and the names of the values in
// a load report. An error names the path.
func ParseSettings(m map[string]string) (routing.Settings, []string, error) {
	var f fields
	s, report := pairs{m, &f}.settings()
	if e, ok := f.err.(*Error); ok {
		return s, nil, fmt.Errorf("%s: %s", e.Field, e.Why)
	}
	return s, report, f.err
}

// settings turns the pairs into what the module takes.
func (p pairs) settings() (routing.Settings, []string) {
	s := routing.Settings{
		Zones:                 len(p.list("areas")),
		Zone:                  p.whole("zone", 0),
		Kinds:                 len(p.list("machine_types")),
		ParentKind:            p.whole("family_info.second_tier_kind", -1),
		OriginKind:            p.whole("family_info.root_kind", -1),
		Routers:               p.whole("peers_total", 1),
		MaxAttempts:           p.whole("limits.try_limit", 1),
		MaxRetryAfter:         p.time("limits.max_retry_after_us"),
		CanCancel:             p.yes("limits.cancel"),
		CanJoinFill:           p.yes("family_info.can_join"),
		AllowBypass:           p.yes("family_info.bypass_allowed"),
		TransferKBPerSecond:   p.real("family_info.one_flow_kb_per_s"),
		WeightIsCapacity:      p.m["weights"] == "nominal" || p.m["weights"] == "rough",
		HitStatusOnly:         p.m["family_info.note_level"] == "hit",
		OriginStopsOnOverload: p.real("family_info.origin_limit_factor") > 0,
		MustSubscribe:         p.m["discovery"] == "on_request",
		DrainGrace:            p.time("rules.drain_grace_us"),
		PurgeGrace:            p.time("family_info.obey_after_us"),
		PurgeRetention:        p.time("family_info.cleared_within_us"),
		CacheSlowStart: routing.SlowStart{InitialCapacity: p.real("rules.cold_from"), Duration: p.time("rules.cold_us"),
			OverloadFactor: p.real("rules.fall_multiple"), OverloadWindow: p.time("rules.overload_for_us")},
		ParentSlowStart: routing.SlowStart{InitialCapacity: p.real("family_info.parent_starts_at"), Duration: p.time("family_info.parent_warms_in_us"),
			OverloadFactor: p.real("family_info.parent_fall_multiple"), OverloadWindow: p.time("rules.overload_for_us")},
	}
	if !p.yes("limits.retry_after") {
		s.MaxRetryAfter = 0
	}
	for _, v := range p.list("family_info.seats_by_zone") {
		s.RoutersByZone = append(s.RoutersByZone, p.wholeOf("family_info.seats_by_zone", v))
	}
	s.Classes = p.classes()
	p.agree(s)
	return s, p.list("telemetry.fields")
}

// agree fails where settings contradict each other. What only makes a rule stricter than it
// need be, such as an aim beyond the deadline, is no contradiction.
//
// Symptom guarded against: of two classes, zones or kinds of one name the first stood for
// both, and a write without an origin went to a cache, which cannot run it.
func (p pairs) agree(s routing.Settings) {
	p.apart("areas", p.list("areas"))
	p.apart("machine_types", p.list("machine_types"))
	if s.ParentKind >= 0 && s.ParentKind == s.OriginKind {
		p.f.fail("family_info.second_tier_kind", fmt.Sprintf("kind %d is the origin's, as family_info.root_kind says", s.ParentKind))
	}
	for path, from := range map[string]float64{"rules.cold_from": s.CacheSlowStart.InitialCapacity, "family_info.parent_starts_at": s.ParentSlowStart.InitialCapacity} {
		if from > 1 {
			p.f.fail(path, fmt.Sprintf("%v is more than all of a server's capacity", from))
		}
	}
	names := make([]string, len(s.Classes))
	for i, c := range s.Classes {
		if names[i] = c.Name; c.Write && s.OriginKind < 0 {
			p.f.fail("family_info.class_write", fmt.Sprintf("class %q runs at the origin, and family_info.root_kind names none", c.Name))
		}
	}
	p.apart("classes", names)
}

// apart fails where a name stands twice. The simulator's wire need not name its classes.
func (p pairs) apart(path string, names []string) {
	for i, n := range names {
		if n != "" && slices.Contains(names[:i], n) {
			p.f.fail(path, fmt.Sprintf("%q stands twice", n))
		}
	}
}

func (p pairs) classes() []routing.Class {
	const info = "family_info."
	writes, fresh, grace := p.list(info+"class_write"), p.list(info+"lifetime_by_class_us"), p.list(info+"older_by_us")
	n := p.whole("classes.count", 0)
	if n > 1000 {
		p.f.fail("classes.count", "too many classes")
		return nil
	}
	for _, path := range []string{"class_write", "lifetime_by_class_us", "older_by_us"} {
		if l := len(p.list(info + path)); l != 0 && l != n {
			p.f.fail(info+path, fmt.Sprintf("%d values for %d classes", l, n))
			return nil
		}
	}
	var out []routing.Class
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := routing.Class{
			Name:                    p.m[at+"name"],
			Idempotency:             routing.Idempotency(choose(p, at+"effect", "read_like", "idempotency_key", "non_idempotent")),
			KeyScope:                routing.KeyScope(choose(p, at+"group", "all", "zone", "cell")),
			KeyWindow:               p.time(at + "window_us"),
			LatencyObjective:        p.time(at + "aim_us"),
			ObjectiveTransferFactor: p.real(at + "aim_stretch"),
			Deadline:                p.time(at + "deadline_us"),
			PriorityWeight:          p.real(at + "value"),
			LateWeightFactor:        p.real(at + "late_worth"),
			Write:                   len(writes) > 0 && p.yesOf(info+"class_write", writes[i]),
		}
		if len(fresh) > 0 {
			c.FreshnessLifetime = p.timeOf(info+"lifetime_by_class_us", fresh[i])
		}
		if len(grace) > 0 {
			c.MaxStale = p.timeOf(info+"older_by_us", grace[i])
		}
		out = append(out, c)
	}
	return out
}

// choose returns the place of a path's value among words; absent is the first.
func choose(p pairs, path string, words ...string) int {
	v, ok := p.get(path)
	if !ok {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	p.f.fail(path, fmt.Sprintf("unknown word %q", v))
	return 0
}

func (p pairs) get(path string) (string, bool) {
	v := p.m[path]
	return v, v != "" && v != "-"
}

func (p pairs) list(path string) []string {
	v, ok := p.get(path)
	if !ok {
		return nil
	}
	return strings.Split(v, ",")
}

func (p pairs) whole(path string, absent int) int {
	v, ok := p.get(path)
	if !ok {
		return absent
	}
	return p.wholeOf(path, v)
}

func (p pairs) wholeOf(path, v string) int {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < -1 {
		p.f.fail(path, fmt.Sprintf("%q is not a whole number", v))
		return 0
	}
	return int(n)
}

func (p pairs) real(path string) float64 {
	v, ok := p.get(path)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		p.f.fail(path, fmt.Sprintf("%q is not a number from 0", v))
		return 0
	}
	return x
}

func (p pairs) time(path string) time.Duration {
	v, ok := p.get(path)
	if !ok {
		return 0
	}
	return p.timeOf(path, v)
}

func (p pairs) timeOf(path, v string) time.Duration {
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n > maxTime {
		p.f.fail(path, fmt.Sprintf("%q is not a time in microseconds", v))
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (p pairs) yes(path string) bool {
	v, ok := p.get(path)
	return ok && p.yesOf(path, v)
}

func (p pairs) yesOf(path, v string) bool {
	switch v {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	p.f.fail(path, fmt.Sprintf("%q is not true or false", v))
	return false
}
