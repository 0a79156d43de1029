package simproto

import (
	"fmt"

	"garnetline/routing"
)

// maxClasses limits the classes of settings, whose number is told before they are read.
const maxClasses = 1000

// The paths of settings about classes that are read in more than one place. Those of family_info
// are lists with a value for each class.
const (
	pathClasses        = "classes"
	pathClassCount     = "classes.count"
	pathClassWrite     = "family_info.class_write"
	pathClassFreshness = "family_info.lifetime_by_class_us"
	pathClassMaxStale  = "family_info.older_by_us"
)

// idempotencyWords and keyScopeWords are the words of the protocol in the order of the constants of
// package routing.
var (
	idempotencyWords = []string{
		routing.Idempotent:        "read_like",
		routing.IdempotentWithKey: "idempotency_key",
		routing.NonIdempotent:     "non_idempotent",
	}
	keyScopeWords = []string{
		routing.KeyScopeAll:  "all",
		routing.KeyScopeZone: "zone",
		routing.KeyScopeCell: "cell",
	}
)

// classes returns the classes of requests, or nil if there are too many or a list does not have a
// value for each.
func (s settingReader) classes() []routing.Class {
	writes := s.list(pathClassWrite)
	freshness := s.list(pathClassFreshness)
	maxStale := s.list(pathClassMaxStale)
	count := s.integer(pathClassCount, 0)
	if count > maxClasses {
		s.fields.failf(pathClassCount, "too many classes")
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

// checkClassList reports whether a list is absent or has a value for each class, and fails
// otherwise.
func (s settingReader) checkClassList(path string, values []string, classes int) bool {
	if len(values) == 0 || len(values) == classes {
		return true
	}
	s.fields.failf(path, "%d values for %d classes", len(values), classes)
	return false
}

// class returns what the settings of one class say by themselves.
func (s settingReader) class(i int) routing.Class {
	prefix := fmt.Sprintf("%s.%d.", pathClasses, i)
	return routing.Class{
		Name:                    s.values[prefix+"name"],
		Idempotency:             routing.Idempotency(s.word(prefix+"effect", idempotencyWords)),
		KeyScope:                routing.KeyScope(s.word(prefix+"group", keyScopeWords)),
		KeyWindow:               s.duration(prefix + "window_us"),
		LatencyObjective:        s.duration(prefix + "aim_us"),
		ObjectiveTransferFactor: s.float(prefix + "aim_stretch"),
		Deadline:                s.duration(prefix + "deadline_us"),
		PriorityWeight:          s.float(prefix + "value"),
		LateWeightFactor:        s.float(prefix + "late_worth"),
	}
}
