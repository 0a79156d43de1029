package simproto

import (
	"slices"

	"garnetline/routing"
)

// checkConsistency fails if settings contradict each other. A value that only makes a rule
// stricter than necessary, such as a latency objective beyond the deadline, is no contradiction.
//
// Symptom guarded against: of two classes, zones or kinds with the same name the first stood for
// both, and a write without an origin was sent to a cache, which cannot execute it.
func (s settingReader) checkConsistency(settings *routing.Settings) {
	s.requireDistinct(pathZones, s.list(pathZones))
	s.requireDistinct(pathKinds, s.list(pathKinds))
	if settings.ParentKind >= 0 && settings.ParentKind == settings.OriginKind {
		s.fields.failf(pathParentKind, "kind %d is the origin's, as %s says", settings.ParentKind, pathOriginKind)
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

// checkInitialCapacity fails if a server would start with more than its capacity.
func (s settingReader) checkInitialCapacity(path string, slowStart routing.SlowStart) {
	if slowStart.InitialCapacity > 1 {
		s.fields.failf(path, "%v is more than all of a server's capacity", slowStart.InitialCapacity)
	}
}

// checkWritesHaveOrigin fails if a class is executed by an origin that there is not.
func (s settingReader) checkWritesHaveOrigin(settings *routing.Settings) {
	if settings.OriginKind >= 0 {
		return
	}
	for i := range settings.Classes {
		if class := &settings.Classes[i]; class.Write {
			s.fields.failf(pathClassWrite, "class %q runs at the origin, and %s names none", class.Name, pathOriginKind)
		}
	}
}

// requireDistinct fails if a name occurs twice. The simulator does not always name its classes, so
// empty names are not compared.
func (s settingReader) requireDistinct(path string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			s.fields.failf(path, "%q stands twice", name)
		}
	}
}
