package simproto

import (
	"slices"

	"garnetline/routing"
)

// checkConsistency records an error if settings contradict each other. It accepts a value that only
// makes a rule stricter than necessary, such as a latency objective that is longer than the deadline.
//
// Without checkConsistency, if two classes, zones or server kinds had the same name, the first of the
// two would be used for both. If there were writes but no origin, a write would be sent to a cache,
// which cannot execute writes.
func (s settingReader) checkConsistency(settings *routing.Settings) {
	s.requireDistinct(pathZones, s.list(pathZones))
	s.requireDistinct(pathKinds, s.list(pathKinds))
	if settings.ParentKind >= 0 && settings.ParentKind == settings.OriginKind {
		s.fields.failf(pathParentKind, "kind %d is also the origin's kind in %s", settings.ParentKind, pathOriginKind)
	}
	s.checkInitialCapacity(pathCacheInitial, settings.CacheSlowStart)
	s.checkInitialCapacity(pathParentInitial, settings.ParentSlowStart)
	s.checkWritesHaveOrigin(settings)
	names := make([]string, len(settings.Classes))
	for i := range settings.Classes {
		names[i] = settings.Classes[i].Name
	}
	s.requireDistinct(pathClasses, names)
}

// checkInitialCapacity records an error if a server would start with more than its full capacity.
func (s settingReader) checkInitialCapacity(path string, slowStart routing.SlowStart) {
	if slowStart.InitialCapacity > 1 {
		s.fields.failf(path, "expected a fraction of a server's capacity from 0 to 1, got %v", slowStart.InitialCapacity)
	}
}

// checkWritesHaveOrigin records an error if a class consists of writes but the settings name no
// origin. Only an origin can execute writes.
func (s settingReader) checkWritesHaveOrigin(settings *routing.Settings) {
	if settings.OriginKind >= 0 {
		return
	}
	for i := range settings.Classes {
		if class := &settings.Classes[i]; class.Write {
			s.fields.failf(pathClassWrite, "class %q consists of writes, which need an origin, but %s does not name an origin kind", class.Name, pathOriginKind)
		}
	}
}

// requireDistinct records an error if a name occurs more than once. Empty names are not compared,
// because the simulator does not always name its classes.
func (s settingReader) requireDistinct(path string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			s.fields.failf(path, "duplicate name %q", name)
		}
	}
}
