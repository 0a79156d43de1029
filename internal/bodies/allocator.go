// Package bodies is not called by anything yet: it decides which request bodies are retained, in
// memory or on disk, so that a further attempt can send them again. It does no I/O and has no
// clock; times are Unix milliseconds that the caller passes.
//
// A body that is not retained whole from its first byte on can be sent only once. So what is
// decided here bounds which requests can be retried, and it is decided before the first byte is
// sent: see Body.Repeatable.
package bodies

import "fmt"

// Usage is what is reserved for all open bodies together.
type Usage struct {
	MemoryBytes int64
	DiskBytes   int64
	DiskBodies  int64
}

// Allocator decides where bodies are retained, within a Budget that classes share. It is not
// safe for concurrent use.
type Allocator struct {
	Counts Counts

	classes    []Class
	memory     quota // bytes
	disk       quota // bytes
	diskBodies quota
	diskWrites tokenBucket // bytes
}

// New returns an Allocator. It fails where the classes cannot share a budget, or the budget is
// below zero.
func New(budget Budget, classes []Class) (*Allocator, error) {
	if err := validateClasses(classes); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	allocator := &Allocator{
		classes:    append([]Class(nil), classes...),
		memory:     newQuota(classes),
		disk:       newQuota(classes),
		diskBodies: newQuota(classes),
	}
	return allocator, allocator.UpdateBudget(budget)
}

// UpdateBudget replaces the budget. Bodies stay where they are while they do not grow; what no
// longer fits is found as they do. A budget below zero is an error and changes nothing.
func (a *Allocator) UpdateBudget(budget Budget) error {
	if err := budget.validate(); err != nil {
		return fmt.Errorf("bodies: %w", err)
	}
	a.memory.resize(budget.MemoryBytes, a.classes)
	a.disk.resize(budget.DiskBytes, a.classes)
	a.diskBodies.resize(budget.DiskBodies, a.classes)
	a.diskWrites.setRate(budget.DiskBytesPerSecond)
	return nil
}

// Admit decides on a body of a class, by its index in those given to New, before any of it has
// been received. size is the announced one in bytes; -1: not known. The action is Continue, or
// Reject with a nil body: then none of it need be read, and there is nothing to close.
func (a *Allocator) Admit(now float64, class int, size int64) (*Body, Action) {
	if size > a.classes[class].MaxBytes {
		a.Counts.Rejected++
		return nil, Reject
	}
	body := &Body{class: class, Location: InMemory}
	if size > 0 {
		a.allocate(now, body, size)
	}
	a.Counts.admitted(body.Location)
	return body, Continue
}

// allocate reserves size bytes for a body that has none, at the first location with capacity.
func (a *Allocator) allocate(now float64, body *Body, size int64) {
	class := &a.classes[body.class]
	switch {
	case size <= class.MaxMemoryBytes && a.memory.reserve(body.class, size):
		body.Location, body.reserved = InMemory, size
	case size <= class.MaxDiskBytes && a.reserveOnDisk(now, body.class, size):
		body.Location, body.reserved = OnDisk, size
	default:
		body.Location, body.reserved = NotRetained, 0
	}
}

// reserveOnDisk reserves bytes for one more body on disk, and their writing. It reports false
// and reserves nothing if one of the quotas or the write rate does not allow it.
func (a *Allocator) reserveOnDisk(now float64, class int, size int64) bool {
	if !a.diskBodies.reserve(class, 1) {
		return false
	}
	if !a.growOnDisk(now, class, size) {
		a.diskBodies.release(class, 1)
		return false
	}
	return true
}

// growOnDisk reserves more bytes for a body on disk, and their writing. It reports false and
// reserves nothing if the quota or the write rate does not allow it.
func (a *Allocator) growOnDisk(now float64, class int, more int64) bool {
	if !a.disk.reserve(class, more) {
		return false
	}
	if !a.diskWrites.allow(now, float64(more)) {
		a.disk.release(class, more)
		return false
	}
	return true
}

// Grow handles more bytes of a body that are received, before the owner stores them, and returns
// what the owner must do.
func (a *Allocator) Grow(now float64, body *Body, more int64) Action {
	if body.closed || more <= 0 {
		return Continue
	}
	size := body.Received + more
	if size > a.classes[body.class].MaxBytes {
		return a.endTooLong(body)
	}
	body.Received = size
	if body.Location == NotRetained || size <= body.reserved {
		return Continue
	}
	return a.grow(now, body, size)
}

// endTooLong ends a body that exceeds its class's maximum.
func (a *Allocator) endTooLong(body *Body) Action {
	a.release(body)
	if body.FirstByteSent {
		a.Counts.Aborted++
		return Abort
	}
	a.Counts.Rejected++
	return Reject
}

// grow reserves what a body of size lacks, where it is or on disk, or stops retaining it.
func (a *Allocator) grow(now float64, body *Body, size int64) Action {
	class := &a.classes[body.class]
	more := size - body.reserved
	switch {
	case body.Location == InMemory && size <= class.MaxMemoryBytes && a.memory.reserve(body.class, more):
		body.reserved = size
		return Continue
	case body.Location == OnDisk && size <= class.MaxDiskBytes && a.growOnDisk(now, body.class, more):
		body.reserved = size
		return Continue
	case body.Location == InMemory && size <= class.MaxDiskBytes && a.reserveOnDisk(now, body.class, size):
		a.memory.release(body.class, body.reserved)
		body.Location = OnDisk
		body.reserved = size
		a.Counts.MovedToDisk++
		return MoveToDisk
	}
	a.stopRetaining(body)
	return StopRetaining
}

// DiskFailed handles that the files of a body cannot be used, since the disk is full or failed.
// What has been sent of the body cannot be sent again.
func (a *Allocator) DiskFailed(body *Body) Action {
	if body.closed || body.Location != OnDisk {
		return Continue
	}
	a.stopRetaining(body)
	return StopRetaining
}

func (a *Allocator) stopRetaining(body *Body) {
	a.release(body)
	a.Counts.StoppedRetaining++
}

// Close ends a body and releases all that is reserved for it. Further calls have no effect.
func (a *Allocator) Close(body *Body) {
	if body.closed {
		return
	}
	a.release(body)
	body.closed = true
}

// release releases what is reserved for a body, which is not retained from then on. Every
// reservation is released here, or by grow as it moves.
func (a *Allocator) release(body *Body) {
	switch body.Location {
	case InMemory:
		a.memory.release(body.class, body.reserved)
	case OnDisk:
		a.disk.release(body.class, body.reserved)
		a.diskBodies.release(body.class, 1)
	case NotRetained:
	}
	body.Location = NotRetained
	body.reserved = 0
}

// Usage returns what is reserved of each budget.
func (a *Allocator) Usage() Usage {
	return Usage{
		MemoryBytes: a.memory.usedByAll(),
		DiskBytes:   a.disk.usedByAll(),
		DiskBodies:  a.diskBodies.usedByAll(),
	}
}
