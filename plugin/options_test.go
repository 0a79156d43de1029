package plugin

import (
	"reflect"
	"testing"
	"time"
)

// equivalentOptions returns pairs of options that must have the same effect. The first options of a
// pair set deprecated fields. The second options set the fields that replace them.
func equivalentOptions() map[string]struct{ deprecated, current Options } {
	oneClass := func(class Class) Options { return Options{Classes: []Class{class}} }
	return map[string]struct{ deprecated, current Options }{
		"nothing is set": {Options{}, Options{}},
		"LatencyObjective": {
			oneClass(Class{Aim: 400 * time.Millisecond}),
			oneClass(Class{LatencyObjective: 400 * time.Millisecond}),
		},
		"KeyWindow": {
			oneClass(Class{Window: 2 * time.Second}),
			oneClass(Class{KeyWindow: 2 * time.Second}),
		},
		"PriorityWeight":               {oneClass(Class{Worth: 3}), oneClass(Class{PriorityWeight: 3})},
		"PriorityWeight below 0":       {oneClass(Class{Worth: -3}), oneClass(Class{PriorityWeight: -3})},
		"RefreshInterval":              {Options{Refresh: time.Second}, Options{RefreshInterval: time.Second}},
		"RefreshInterval below 0":      {Options{Refresh: -1}, Options{RefreshInterval: -1}},
		"MaxAttempts":                  {Options{Attempts: 7}, Options{MaxAttempts: 7}},
		"MaxAttempts below 0":          {Options{Attempts: -1}, Options{MaxAttempts: -1}},
		"Trace, nothing is set":        {Options{Trace: &Trace{}}, Options{Trace: &Trace{}}},
		"Trace.OrdinaryPerSecond":      {Options{Trace: &Trace{Ordinary: 0.5}}, Options{Trace: &Trace{OrdinaryPerSecond: 0.5}}},
		"Trace.MaxSizeMB":              {Options{Trace: &Trace{KeepMB: 32}}, Options{Trace: &Trace{MaxSizeMB: 32}}},
		"both, the new field prevails": {Options{Attempts: 7, MaxAttempts: 3}, Options{MaxAttempts: 3}},
	}
}

// clearDeprecated sets the deprecated fields to zero.
func clearDeprecated(options Options) Options {
	options.Refresh = 0
	options.Attempts = 0
	for i := range options.Classes {
		options.Classes[i].Aim = 0
		options.Classes[i].Window = 0
		options.Classes[i].Worth = 0
	}
	if options.Trace != nil {
		options.Trace.Ordinary = 0
		options.Trace.KeepMB = 0
	}
	return options
}

func TestDeprecatedOptionsAreEquivalent(t *testing.T) {
	for name, pair := range equivalentOptions() {
		t.Run(name, func(t *testing.T) {
			got := clearDeprecated(pair.deprecated.withDefaults())
			want := clearDeprecated(pair.current.withDefaults())
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got options %+v from the deprecated fields and %+v from the current fields, want equal options", got, want)
			}
		})
	}
}

func TestDeprecatedKeyIsEquivalent(t *testing.T) {
	const method = "/puzzles.Parts/GetPart"
	for name, pair := range map[string]struct{ deprecated, current Key }{
		"nothing is set": {Key{}, Key{}},
		"Chunk":          {Key{Object: 1, Part: 5, Group: 2}, Key{Object: 1, Chunk: 5, Group: 2}},
		"both":           {Key{Object: 1, Part: 5, Chunk: 4}, Key{Object: 1, Chunk: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			got, want := pair.deprecated.withDefaults(method), pair.current.withDefaults(method)
			got.Part = 0
			if got != want {
				t.Errorf("got key %+v from the deprecated field and %+v from the current field, want equal keys", got, want)
			}
		})
	}
}

func TestDefaults(t *testing.T) {
	got := Options{Classes: []Class{{Name: "part"}}, Trace: &Trace{}}.withDefaults()
	want := Options{
		Classes:         []Class{{Name: "part", PriorityWeight: 1}},
		RefreshInterval: 500 * time.Millisecond,
		MaxAttempts:     4,
		Trace:           &Trace{MaxSizeMB: 64},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got defaults %+v, want %+v", got, want)
	}
	if key, want := (Key{}).withDefaults("/a.B/Get"), (Key{Object: hashString("/a.B/Get")}); key != want {
		t.Errorf("got key %+v, want %+v", key, want)
	}
}

func TestWithDefaultsKeepsCallerOptions(t *testing.T) {
	options := Options{Classes: []Class{{Name: "part", Aim: time.Second}}, Trace: &Trace{Ordinary: 1}}
	options.withDefaults()
	want := Options{Classes: []Class{{Name: "part", Aim: time.Second}}, Trace: &Trace{Ordinary: 1}}
	if !reflect.DeepEqual(options, want) {
		t.Errorf("got options %+v after withDefaults, want them unchanged: %+v", options, want)
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	validClass := Class{Name: "part", LatencyObjective: 1, Deadline: 1}
	for name, options := range map[string]Options{
		"no class":             {},
		"no latency objective": {Classes: []Class{{Name: "part", Deadline: 1}}},
		"unknown class":        {Classes: []Class{validClass}, Operations: Operations{"Check": {ID: "Check", Class: "form"}}},
		"refresh interval":     {Classes: []Class{validClass}, RefreshInterval: -1},
	} {
		t.Run(name, func(t *testing.T) {
			plugin, err := New(options)
			if err == nil {
				plugin.Close()
				t.Errorf("New returned no error for invalid options %+v", options)
			}
		})
	}
}
