package plugin

import (
	"fmt"
	"time"

	"garnetline/routing"
)

// classTable holds the classes of Options as classes of the routing package. In the routing
// package, idempotency is a property of a class. In this package, it is a property of an operation.
// The table therefore holds one routing class for each combination of a class and an idempotency.
type classTable struct {
	routing []routing.Class
	index   map[classKey]int // index of each class in routing
}

type classKey struct {
	name        string
	idempotency Idempotency
}

// newClassTable returns the table of the given classes. The caller must have applied withDefaults
// to them. newClassTable returns an error if a class lacks a name, a positive latency objective or
// a positive deadline.
func newClassTable(classes []Class) (*classTable, error) {
	table := &classTable{index: map[classKey]int{}}
	for i, class := range classes {
		if class.Name == "" || class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return nil, fmt.Errorf("plugin: Classes[%d]: expected a non-empty Name, a positive LatencyObjective and a positive Deadline, got Name %q, LatencyObjective %v and Deadline %v", i, class.Name, class.LatencyObjective, class.Deadline)
		}
		for idempotency := Idempotent; idempotency <= NonIdempotent; idempotency++ {
			table.add(class, idempotency)
		}
	}
	return table, nil
}

func (t *classTable) add(class Class, idempotency Idempotency) {
	t.index[classKey{class.Name, idempotency}] = len(t.routing)
	t.routing = append(t.routing, routing.Class{
		Name:             class.Name,
		Idempotency:      routing.Idempotency(idempotency),
		KeyWindow:        class.KeyWindow,
		LatencyObjective: class.LatencyObjective,
		Deadline:         class.Deadline,
		PriorityWeight:   max(class.PriorityWeight, 0),
	})
}

// indexOf returns the index in t.routing of an operation's class.
func (t *classTable) indexOf(operation Operation) int {
	return t.index[classKey{operation.Class, operation.Effect}]
}

// checkOperations returns an error for an operation whose class is not in the table.
func (t *classTable) checkOperations(operations Operations) error {
	for id, operation := range operations {
		if _, ok := t.index[classKey{operation.Class, operation.Effect}]; !ok {
			return fmt.Errorf("plugin: Operations[%q]: expected the Name of a class in Options.Classes and a valid Effect, got class %q and Effect %d", id, operation.Class, operation.Effect)
		}
	}
	return nil
}

// maxRetryAfter is the longest retry delay in the error that the caller of a rejected RPC receives.
const maxRetryAfter = time.Second

// routingSettings returns the settings of a single router in a single zone. All its servers are
// of one kind, and there is neither a parent cache nor an origin.
func routingSettings(maxAttempts int, classes []routing.Class) routing.Settings {
	return routing.Settings{
		Zones:            1,
		Kinds:            1,
		ParentKind:       -1,
		OriginKind:       -1,
		RoutersByZone:    []int{1},
		Routers:          1,
		MaxAttempts:      maxAttempts,
		MaxRetryAfter:    maxRetryAfter,
		CanCancel:        true,
		WeightIsCapacity: true, // the weight of an SRV record stands for the server's capacity
		CacheSlowStart:   routing.SlowStart{InitialCapacity: 1},
		Classes:          classes,
	}
}
