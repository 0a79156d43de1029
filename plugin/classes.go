package plugin

import (
	"fmt"
	"time"

	"garnetline/routing"
)

// classTable holds the classes of Options as the routing package knows them. There the
// idempotency is a property of the class, so that each class is held once for each
// idempotency that an operation of it may have.
type classTable struct {
	routing []routing.Class
	index   map[classKey]int // into routing
}

type classKey struct {
	name        string
	idempotency Idempotency
}

// newClassTable returns the table of classes whose defaults are set.
func newClassTable(classes []Class) (*classTable, error) {
	table := &classTable{index: map[classKey]int{}}
	for i, class := range classes {
		if class.Name == "" || class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return nil, fmt.Errorf("plugin: Classes[%d]: want a Name, an Aim and a Deadline", i)
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

// indexOf returns the index of an operation's class in routing.
func (t *classTable) indexOf(operation Operation) int {
	return t.index[classKey{operation.Class, operation.Effect}]
}

// checkOperations returns an error for an operation whose class is not in the table.
func (t *classTable) checkOperations(operations Operations) error {
	for id, operation := range operations {
		if _, ok := t.index[classKey{operation.Class, operation.Effect}]; !ok {
			return fmt.Errorf("plugin: Operations[%q]: class %q is not one of Classes", id, operation.Class)
		}
	}
	return nil
}

// maxRetryAfter is the longest time that a rejected caller is told to wait.
const maxRetryAfter = time.Second

// routingSettings returns the settings of a router that is alone in its zone and whose
// servers are all of one kind, without a parent cache or an origin.
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
		WeightIsCapacity: true, // the weight of an SRV record
		CacheSlowStart:   routing.SlowStart{InitialCapacity: 1},
		Classes:          classes,
	}
}
