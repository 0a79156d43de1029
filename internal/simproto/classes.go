package simproto

import (
	"fmt"

	"garnetline/routing"
)

// maxClasses limits the number of classes in settings. The settings contain the number of classes
// as a value, and the reader allocates memory for as many classes. Without maxClasses, a single
// large value could exhaust the memory.
const maxClasses = 1000

// Paths of class settings that are used in more than one place. A setting whose path begins with
// "family_info" is a list with one value for each class.
const (
	pathClasses        = "classes"
	pathClassCount     = "classes.count"
	pathClassWrite     = "family_info.class_write"
	pathClassFreshness = "family_info.lifetime_by_class_us"
	pathClassMaxStale  = "family_info.older_by_us"
)

// idempotencyNames and keyScopeNames hold the protocol's names of idempotency kinds and key scopes,
// indexed by the constants of package routing.
var (
	idempotencyNames = []string{
		routing.Idempotent:        "read_like",
		routing.IdempotentWithKey: "idempotency_key",
		routing.NonIdempotent:     "non_idempotent",
	}
	keyScopeNames = []string{
		routing.KeyScopeAll:  "all",
		routing.KeyScopeZone: "zone",
		routing.KeyScopeCell: "cell",
	}
)

// classes returns the request classes. It records an error and returns nil if there are more than
// maxClasses, or if a list is present but does not have one value for each class.
func (s settingReader) classes() []routing.Class {
	writes := s.list(pathClassWrite)
	freshness := s.list(pathClassFreshness)
	maxStale := s.list(pathClassMaxStale)
	count := s.integer(pathClassCount, 0)
	if count > maxClasses {
		s.fields.failf(pathClassCount, "expected at most %d classes, got %d", maxClasses, count)
		return nil
	}
	if !s.checkClassList(pathClassWrite, writes, count) ||
		!s.checkClassList(pathClassFreshness, freshness, count) ||
		!s.checkClassList(pathClassMaxStale, maxStale, count) {
		return nil
	}
	var classes []routing.Class
	for i := range count {
		class := s.class(i)
		if len(writes) > 0 {
			class.Write = s.parseBoolean(pathClassWrite, writes[i])
		}
		if len(freshness) > 0 {
			class.FreshnessLifetime = s.parseDuration(pathClassFreshness, freshness[i])
		}
		if len(maxStale) > 0 {
			class.MaxStale = s.parseDuration(pathClassMaxStale, maxStale[i])
		}
		classes = append(classes, class)
	}
	return classes
}

// checkClassList returns true if a list is absent, and also if it has one value for each class.
// Otherwise it records an error and returns false.
func (s settingReader) checkClassList(path string, values []string, classes int) bool {
	if len(values) == 0 || len(values) == classes {
		return true
	}
	s.fields.failf(path, "got %d values for %d classes, expected one for each class", len(values), classes)
	return false
}

// class returns the class with the given index. It leaves out the values that come from lists,
// that is, from settings whose paths begin with "family_info".
func (s settingReader) class(i int) routing.Class {
	prefix := fmt.Sprintf("%s.%d.", pathClasses, i)
	return routing.Class{
		Name:                    s.values[prefix+"name"],
		Idempotency:             routing.Idempotency(s.enum(prefix+"effect", idempotencyNames)),
		KeyScope:                routing.KeyScope(s.enum(prefix+"group", keyScopeNames)),
		KeyWindow:               s.duration(prefix + "window_us"),
		LatencyObjective:        s.duration(prefix + "aim_us"),
		ObjectiveTransferFactor: s.float(prefix + "aim_stretch"),
		Deadline:                s.duration(prefix + "deadline_us"),
		PriorityWeight:          s.float(prefix + "value"),
		LateWeightFactor:        s.float(prefix + "late_worth"),
	}
}
