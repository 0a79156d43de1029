// Package bodies decides which request bodies are retained, in memory or on disk, so that another
// attempt can send them again. No other package uses package bodies yet. The package does no I/O and
// has no clock. The caller passes times as Unix milliseconds.
//
// A body that is not retained completely from its first byte on can be sent only once. The
// decisions of this package therefore determine which requests can be retried (see
// Body.Repeatable). The first decision about a body is made before its first byte is sent.
package bodies

import (
	"fmt"

	"garnetline/internal/quota"
)

// Usage is the capacity reserved for all open bodies together.
type Usage struct {
	MemoryBytes int64
	DiskBytes   int64
	DiskBodies  int64
}

// Allocator decides where bodies are retained, within a Budget that all classes share. It is not
// safe for concurrent use.
type Allocator struct {
	Counts Counts

	classes    []Class
	memory     quota.Quota // bytes
	disk       quota.Quota // bytes
	diskBodies quota.Quota
	diskWrites tokenBucket // bytes
}

// New returns an Allocator. It returns an error if a class is invalid, if the guaranteed fractions
// of the classes add up to more than 1, or if a limit of the budget is negative.
func New(budget Budget, classes []Class) (*Allocator, error) {
	if err := validateClasses(classes); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	allocator := &Allocator{
		classes:    append([]Class(nil), classes...),
		memory:     quota.New(len(classes)),
		disk:       quota.New(len(classes)),
		diskBodies: quota.New(len(classes)),
	}
	return allocator, allocator.UpdateBudget(budget)
}

// UpdateBudget replaces the budget. Bodies that no longer fit into the new budget keep their location
// until they grow. UpdateBudget returns an error and changes nothing if a limit is negative.
func (a *Allocator) UpdateBudget(budget Budget) error {
	if err := budget.validate(); err != nil {
		return fmt.Errorf("bodies: %w", err)
	}
	shares := sharesOf(a.classes)
	a.memory.Resize(budget.MemoryBytes, shares)
	a.disk.Resize(budget.DiskBytes, shares)
	a.diskBodies.Resize(budget.DiskBodies, shares)
	a.diskWrites.setRate(budget.DiskBytesPerSecond)
	return nil
}

// sharesOf returns what each class is entitled to of each limit of the budget.
func sharesOf(classes []Class) []quota.Share {
	shares := make([]quota.Share, len(classes))
	for i := range classes {
		shares[i] = quota.Share{PriorityWeight: classes[i].PriorityWeight, GuaranteedFraction: classes[i].GuaranteedFraction}
	}
	return shares
}

// Admit decides about a body before any of its bytes has been received. class is an index into the
// classes given to New. size is the announced size in bytes, or -1 if the size is unknown. The
// action is Continue or Reject. If it is Reject, the returned body is nil, and the caller need not
// receive or close the body.
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

// allocate reserves size bytes for a body that has no reservation yet: in memory if possible,
// otherwise on disk. If neither is possible, the body is not retained.
func (a *Allocator) allocate(now float64, body *Body, size int64) {
	class := &a.classes[body.class]
	switch {
	case size <= class.MaxMemoryBytes && a.memory.Reserve(body.class, size):
		body.Location, body.reserved = InMemory, size
	case size <= class.MaxDiskBytes && a.reserveOnDisk(now, body.class, size):
		body.Location, body.reserved = OnDisk, size
	default:
		body.Location, body.reserved = NotRetained, 0
	}
}

// reserveOnDisk reserves disk capacity for one more body of size bytes, which counts against the
// limits of disk bytes, of bodies on disk and of the write rate. If one of these limits does not
// allow the body, reserveOnDisk reserves nothing and returns false.
func (a *Allocator) reserveOnDisk(now float64, class int, size int64) bool {
	if !a.diskBodies.Reserve(class, 1) {
		return false
	}
	if !a.growOnDisk(now, class, size) {
		a.diskBodies.Release(class, 1)
		return false
	}
	return true
}

// growOnDisk reserves disk capacity for a number of bytes that are added to a body. They count
// against the limits of disk bytes and of the write rate. If one of these limits does not allow
// them, growOnDisk reserves nothing and returns false.
func (a *Allocator) growOnDisk(now float64, class int, addedBytes int64) bool {
	if !a.disk.Reserve(class, addedBytes) {
		return false
	}
	if !a.diskWrites.allow(now, float64(addedBytes)) {
		a.disk.Release(class, addedBytes)
		return false
	}
	return true
}

// Grow records that addedBytes further bytes of a body were received, and returns the action that
// the owner must take. The owner calls Grow before it stores these bytes.
func (a *Allocator) Grow(now float64, body *Body, addedBytes int64) Action {
	if body.closed || addedBytes <= 0 {
		return Continue
	}
	size := body.Received + addedBytes
	if size > a.classes[body.class].MaxBytes {
		return a.endTooLong(body)
	}
	body.Received = size
	if body.Location == NotRetained || size <= body.reserved {
		return Continue
	}
	return a.grow(now, body, size)
}

// endTooLong ends a body that exceeds the MaxBytes of its class. It returns Abort if part of the body
// has been sent, and Reject otherwise.
func (a *Allocator) endTooLong(body *Body) Action {
	a.release(body)
	if body.FirstByteSent {
		a.Counts.Aborted++
		return Abort
	}
	a.Counts.Rejected++
	return Reject
}

// grow extends the reservation of a body to size bytes. It moves the body to disk if memory has no
// capacity, and stops retaining the body if the disk has no capacity either.
func (a *Allocator) grow(now float64, body *Body, size int64) Action {
	class := &a.classes[body.class]
	addedBytes := size - body.reserved
	switch {
	case body.Location == InMemory && size <= class.MaxMemoryBytes && a.memory.Reserve(body.class, addedBytes):
		body.reserved = size
		return Continue
	case body.Location == OnDisk && size <= class.MaxDiskBytes && a.growOnDisk(now, body.class, addedBytes):
		body.reserved = size
		return Continue
	case body.Location == InMemory && size <= class.MaxDiskBytes && a.reserveOnDisk(now, body.class, size):
		a.memory.Release(body.class, body.reserved)
		body.Location = OnDisk
		body.reserved = size
		a.Counts.MovedToDisk++
		return MoveToDisk
	}
	a.stopRetaining(body)
	return StopRetaining
}

// DiskFailed tells the Allocator that the files of a body cannot be used because the disk is full or
// failed, and returns the action that the owner must take. Bytes of the body that have been sent
// cannot be sent again.
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

// Close ends a body and releases its reservation. Further calls have no effect.
func (a *Allocator) Close(body *Body) {
	if body.closed {
		return
	}
	a.release(body)
	body.closed = true
}

// release releases the reservation of a body and marks the body as not retained. Every reservation of
// an admitted body is released here, with one exception: grow releases the memory of a body that it
// moves to disk.
func (a *Allocator) release(body *Body) {
	switch body.Location {
	case InMemory:
		a.memory.Release(body.class, body.reserved)
	case OnDisk:
		a.disk.Release(body.class, body.reserved)
		a.diskBodies.Release(body.class, 1)
	case NotRetained:
	}
	body.Location = NotRetained
	body.reserved = 0
}

// Usage returns how much of each limit of the budget is reserved.
func (a *Allocator) Usage() Usage {
	return Usage{
		MemoryBytes: a.memory.UsedByAll(),
		DiskBytes:   a.disk.UsedByAll(),
		DiskBodies:  a.diskBodies.UsedByAll(),
	}
}
