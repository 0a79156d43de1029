package bodies

import "fmt"

// Place is where a body is kept.
type Place uint8

// The places of a body.
const (
	Memory Place = iota
	Files
	Nowhere // passed through: it can be sent once
)

// String is the place's name.
func (p Place) String() string { return [...]string{"memory", "files", "nowhere"}[p] }

// Step is what the owner of a body must do after a decision.
type Step uint8

// The steps. Refuse and Abort end the request without a further attempt. After Drop,
// what has come goes into the attempt that is out or, where nothing has left, into the
// only one that there will be; where an attempt has ended already, there is none.
const (
	Go     Step = iota // go on, the body stays where it is
	Spill              // move what there is to files, then go on there
	Drop               // hand over what there is, and keep nothing
	Refuse             // too long, and nothing of it has left: 413
	Abort              // too long, and some of it has left: the attempt is given up
)

var stepNames = [...]string{"go on", "move to files", "stop keeping", "refuse", "give up"}

// String is the step's name.
func (s Step) String() string { return stepNames[s] }

// Body is one body, from its request's admission to its end. Its fields are the
// Keeper's; the owner reads them.
type Body struct {
	class int
	Place Place
	Size  int64 // bytes that have come
	Left  bool  // its first byte has left in an attempt; the owner says so before it does
	held  int64 // bytes booked where it is kept
	ended bool
}

// Repeatable tells whether another attempt may send the body: it is kept from its first
// byte on, or nothing of it has left yet. The rest may still be coming. What the class
// allows to be repeated at all, and until when, is for others to say.
func (b *Body) Repeatable() bool { return !b.ended && (b.Place != Nowhere || !b.Left) }

// Counts tells what a Keeper did.
type Counts struct{ Memory, Files, Nowhere, Spilled, Dropped, Refused, Aborted int64 }

// Keeper decides where bodies are kept. It is not safe for concurrent use.
type Keeper struct {
	classes []Class
	memory  share
	disk    share
	files   share
	write   bucket
	Counts  Counts
}

// New returns a Keeper. It fails where classes cannot share a budget.
func New(b Budget, classes []Class) (*Keeper, error) {
	if err := check(classes); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	k := &Keeper{classes: append([]Class(nil), classes...), memory: newShare(classes), disk: newShare(classes), files: newShare(classes)}
	return k, k.Adopt(b)
}

// Adopt goes over to another budget. Bodies that are kept stay so while they do not
// grow; what no longer fits is found as they do.
func (k *Keeper) Adopt(b Budget) error {
	if b.Memory < 0 || b.Disk < 0 || b.Files < 0 || !(b.Write >= 0) {
		return fmt.Errorf("bodies: budget: %+v: want no less than 0", b)
	}
	k.memory, k.disk, k.files = k.memory.adopt(b.Memory, k.classes), k.disk.adopt(b.Disk, k.classes), k.files.adopt(b.Files, k.classes)
	k.write.rate = b.Write
	k.write.left = min(k.write.left, b.Write)
	return nil
}

// Admit decides on a body before any of it has come. size is what its head announces;
// -1: not known. With Refuse nothing is to be ended, and no byte of it need be read.
func (k *Keeper) Admit(now float64, class int, size int64) (*Body, Step) {
	c := &k.classes[class]
	if size > c.Most {
		k.Counts.Refused++
		return nil, Refuse
	}
	b := &Body{class: class}
	if size > 0 {
		k.place(now, b, size)
	} else {
		b.Place = Memory // nothing is held yet; it grows
	}
	*[]*int64{&k.Counts.Memory, &k.Counts.Files, &k.Counts.Nowhere}[b.Place]++
	return b, Go
}

// place books want bytes for a body that holds none, in the first place that has room.
func (k *Keeper) place(now float64, b *Body, want int64) {
	c := &k.classes[b.class]
	switch {
	case want <= c.Memory && k.memory.take(b.class, want):
		b.Place = Memory
	case want <= c.Disk && k.toFiles(now, b.class, want):
		b.Place = Files
	default:
		b.Place, want = Nowhere, 0
	}
	b.held = want
}

// toFiles books bytes in files for one more body, and their writing.
func (k *Keeper) toFiles(now float64, class int, n int64) bool {
	if !k.files.take(class, 1) {
		return false
	}
	if !k.disk.take(class, n) {
		k.files.give(class, 1)
		return false
	}
	if !k.write.take(now, float64(n)) {
		k.files.give(class, 1)
		k.disk.give(class, n)
		return false
	}
	return true
}

// Grow takes n more bytes of a body, before they are stored, and tells what to do.
func (k *Keeper) Grow(now float64, b *Body, n int64) Step {
	if b.ended || n <= 0 {
		return Go
	}
	c := &k.classes[b.class]
	size := b.Size + n
	if size > c.Most {
		if k.release(b); b.Left {
			k.Counts.Aborted++
			return Abort
		}
		k.Counts.Refused++
		return Refuse
	}
	b.Size = size
	if b.Place == Nowhere || size <= b.held { // announced, and booked
		return Go
	}
	switch more := size - b.held; {
	case b.Place == Memory && size <= c.Memory && k.memory.take(b.class, more):
		b.held = size
		return Go
	case b.Place == Files && size <= c.Disk && k.grow(now, b.class, more):
		b.held = size
		return Go
	case b.Place == Memory && size <= c.Disk && k.toFiles(now, b.class, size):
		k.memory.give(b.class, b.held)
		b.Place, b.held = Files, size
		k.Counts.Spilled++
		return Spill
	}
	k.release(b)
	b.Place = Nowhere
	k.Counts.Dropped++
	return Drop
}

// grow books more bytes for a body that is in files.
func (k *Keeper) grow(now float64, class int, n int64) bool {
	if !k.disk.take(class, n) {
		return false
	}
	if !k.write.take(now, float64(n)) {
		k.disk.give(class, n)
		return false
	}
	return true
}

// Failed takes it that a body's files cannot be used: the disk is full, or broke. What
// has left of it cannot be sent again.
func (k *Keeper) Failed(b *Body) Step {
	if b.ended || b.Place != Files {
		return Go
	}
	k.release(b)
	b.Place = Nowhere
	k.Counts.Dropped++
	return Drop
}

// Close ends a body: all that it held is given back, once.
func (k *Keeper) Close(b *Body) {
	if !b.ended {
		k.release(b)
		b.ended = true
	}
}

// release gives back what a body holds. It is the one place for that.
func (k *Keeper) release(b *Body) {
	switch b.Place {
	case Memory:
		k.memory.give(b.class, b.held)
	case Files:
		k.disk.give(b.class, b.held)
		k.files.give(b.class, 1)
	}
	b.Place, b.held = Nowhere, 0
}

// Used returns what is held of each budget.
func (k *Keeper) Used() (memory, disk, files int64) {
	for i := range k.classes {
		memory, disk, files = memory+k.memory.used[i], disk+k.disk.used[i], files+k.files.used[i]
	}
	return memory, disk, files
}
