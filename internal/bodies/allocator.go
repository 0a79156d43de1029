package bodies

import "fmt"

// Place is where a body is kept.
type Location uint8

// The places of a body.
const (
	InMemory Location = iota
	OnDisk
	NotRetained // passed through: it can be sent once
)

// String is the place's name.
func (p Location) String() string { return [...]string{"memory", "files", "nowhere"}[p] }

// Step is what the owner of a body must do after a decision.
type Action uint8

// The steps. Refuse and Abort end the request without a further attempt. After Drop,
// what has come goes into the attempt that is out or, where nothing has left, into the
// only one that there will be; where an attempt has ended already, there is none.
const (
	Continue      Action = iota // go on, the body stays where it is
	MoveToDisk                  // move what there is to files, then go on there
	StopRetaining               // hand over what there is, and keep nothing
	Reject                      // too long, and nothing of it has left: 413
	Abort                       // too long, and some of it has left: the attempt is given up
)

var actionNames = [...]string{"go on", "move to files", "stop keeping", "refuse", "give up"}

// String is the step's name.
func (s Action) String() string { return actionNames[s] }

// Body is one body, from its request's admission to its end. Its fields are the
// Keeper's; the owner reads them.
type Body struct {
	class         int
	Location      Location
	Received      int64 // bytes that have come
	FirstByteSent bool  // its first byte has left in an attempt; the owner says so before it does
	reserved      int64 // bytes booked where it is kept
	closed        bool
}

// Repeatable tells whether another attempt may send the body: it is kept from its first
// byte on, or nothing of it has left yet. The rest may still be coming. What the class
// allows to be repeated at all, and until when, is for others to say.
func (b *Body) Repeatable() bool { return !b.closed && (b.Location != NotRetained || !b.FirstByteSent) }

// Counts tells what a Keeper did.
type Counts struct{ InMemory, OnDisk, NotRetained, MovedToDisk, StoppedRetaining, Rejected, Aborted int64 }

// Keeper decides where bodies are kept. It is not safe for concurrent use.
type Allocator struct {
	classes    []Class
	memory     quota
	disk       quota
	diskBodies quota
	diskWrites tokenBucket
	Counts     Counts
}

// New returns a Keeper. It fails where classes cannot share a budget.
func New(b Budget, classes []Class) (*Allocator, error) {
	if err := validateClasses(classes); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	k := &Allocator{classes: append([]Class(nil), classes...), memory: newQuota(classes), disk: newQuota(classes), diskBodies: newQuota(classes)}
	return k, k.UpdateBudget(b)
}

// Adopt goes over to another budget. Bodies that are kept stay so while they do not
// grow; what no longer fits is found as they do.
func (k *Allocator) UpdateBudget(b Budget) error {
	if b.MemoryBytes < 0 || b.DiskBytes < 0 || b.DiskBodies < 0 || !(b.DiskBytesPerSecond >= 0) {
		return fmt.Errorf("bodies: budget: {Memory:%d Disk:%d Files:%d Write:%v}: want no less than 0", b.MemoryBytes, b.DiskBytes, b.DiskBodies, b.DiskBytesPerSecond)
	}
	k.memory, k.disk, k.diskBodies = k.memory.resized(b.MemoryBytes, k.classes), k.disk.resized(b.DiskBytes, k.classes), k.diskBodies.resized(b.DiskBodies, k.classes)
	k.diskWrites.rate = b.DiskBytesPerSecond
	k.diskWrites.tokens = min(k.diskWrites.tokens, b.DiskBytesPerSecond)
	return nil
}

// Admit decides on a body before any of it has come. size is what its head announces;
// -1: not known. With Refuse nothing is to be ended, and no byte of it need be read.
func (k *Allocator) Admit(now float64, class int, size int64) (*Body, Action) {
	c := &k.classes[class]
	if size > c.MaxBytes {
		k.Counts.Rejected++
		return nil, Reject
	}
	b := &Body{class: class}
	if size > 0 {
		k.allocate(now, b, size)
	} else {
		b.Location = InMemory // nothing is held yet; it grows
	}
	*[]*int64{&k.Counts.InMemory, &k.Counts.OnDisk, &k.Counts.NotRetained}[b.Location]++
	return b, Continue
}

// place books want bytes for a body that holds none, in the first place that has room.
func (k *Allocator) allocate(now float64, b *Body, want int64) {
	c := &k.classes[b.class]
	switch {
	case want <= c.MaxMemoryBytes && k.memory.reserve(b.class, want):
		b.Location = InMemory
	case want <= c.MaxDiskBytes && k.reserveOnDisk(now, b.class, want):
		b.Location = OnDisk
	default:
		b.Location, want = NotRetained, 0
	}
	b.reserved = want
}

// toFiles books bytes in files for one more body, and their writing.
func (k *Allocator) reserveOnDisk(now float64, class int, n int64) bool {
	if !k.diskBodies.reserve(class, 1) {
		return false
	}
	if !k.disk.reserve(class, n) {
		k.diskBodies.release(class, 1)
		return false
	}
	if !k.diskWrites.take(now, float64(n)) {
		k.diskBodies.release(class, 1)
		k.disk.release(class, n)
		return false
	}
	return true
}

// Grow takes n more bytes of a body, before they are stored, and tells what to do.
func (k *Allocator) Grow(now float64, b *Body, n int64) Action {
	if b.closed || n <= 0 {
		return Continue
	}
	c := &k.classes[b.class]
	size := b.Received + n
	if size > c.MaxBytes {
		if k.release(b); b.FirstByteSent {
			k.Counts.Aborted++
			return Abort
		}
		k.Counts.Rejected++
		return Reject
	}
	b.Received = size
	if b.Location == NotRetained || size <= b.reserved { // announced, and booked
		return Continue
	}
	switch more := size - b.reserved; {
	case b.Location == InMemory && size <= c.MaxMemoryBytes && k.memory.reserve(b.class, more):
		b.reserved = size
		return Continue
	case b.Location == OnDisk && size <= c.MaxDiskBytes && k.growOnDisk(now, b.class, more):
		b.reserved = size
		return Continue
	case b.Location == InMemory && size <= c.MaxDiskBytes && k.reserveOnDisk(now, b.class, size):
		k.memory.release(b.class, b.reserved)
		b.Location, b.reserved = OnDisk, size
		k.Counts.MovedToDisk++
		return MoveToDisk
	}
	k.release(b)
	b.Location = NotRetained
	k.Counts.StoppedRetaining++
	return StopRetaining
}

// grow books more bytes for a body that is in files.
func (k *Allocator) growOnDisk(now float64, class int, n int64) bool {
	if !k.disk.reserve(class, n) {
		return false
	}
	if !k.diskWrites.take(now, float64(n)) {
		k.disk.release(class, n)
		return false
	}
	return true
}

// Failed takes it that a body's files cannot be used: the disk is full, or broke. What
// has left of it cannot be sent again.
func (k *Allocator) DiskFailed(b *Body) Action {
	if b.closed || b.Location != OnDisk {
		return Continue
	}
	k.release(b)
	b.Location = NotRetained
	k.Counts.StoppedRetaining++
	return StopRetaining
}

// Close ends a body: all that it held is given back, once.
func (k *Allocator) Close(b *Body) {
	if !b.closed {
		k.release(b)
		b.closed = true
	}
}

// release gives back what a body holds. It is the one place for that.
func (k *Allocator) release(b *Body) {
	switch b.Location {
	case InMemory:
		k.memory.release(b.class, b.reserved)
	case OnDisk:
		k.disk.release(b.class, b.reserved)
		k.diskBodies.release(b.class, 1)
	}
	b.Location, b.reserved = NotRetained, 0
}

// Used returns what is held of each budget.
func (k *Allocator) Used() (memory, disk, files int64) {
	for i := range k.classes {
		memory, disk, files = memory+k.memory.used[i], disk+k.disk.used[i], files+k.diskBodies.used[i]
	}
	return memory, disk, files
}
