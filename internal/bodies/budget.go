package bodies

import (
	"errors"
	"fmt"
	"math"
)

// Budget bounds what is retained of all bodies together.
type Budget struct {
	MemoryBytes        int64
	DiskBytes          int64
	DiskBodies         int64   // number of bodies on disk
	DiskBytesPerSecond float64 // rate of writing; 0: nothing may be written
}

func (b Budget) validate() error {
	if b.MemoryBytes >= 0 && b.DiskBytes >= 0 && b.DiskBodies >= 0 && b.DiskBytesPerSecond >= 0 {
		return nil
	}
	return fmt.Errorf("budget: {Memory:%d Disk:%d Files:%d Write:%v}: want no less than 0",
		b.MemoryBytes, b.DiskBytes, b.DiskBodies, b.DiskBytesPerSecond)
}

// Class is the policy for the bodies of one class. A body is retained in memory up to
// MaxMemoryBytes, on disk up to MaxDiskBytes, passed through up to MaxBytes, and rejected beyond
// that.
type Class struct {
	Name           string
	MaxMemoryBytes int64
	MaxDiskBytes   int64
	MaxBytes       int64
	// PriorityWeight is compared with that of other classes where a budget is short.
	PriorityWeight float64
	// GuaranteedFraction of each budget cannot be used by other classes.
	GuaranteedFraction float64
}

// fractionRounding is by how much the guaranteed fractions of all classes may exceed 1, since
// decimal fractions have no exact sum.
const fractionRounding = 1e-9

// validateClasses reports whether classes can share a budget. An error names the class and the
// field as operators write it.
func validateClasses(classes []Class) error {
	guaranteed := 0.0
	seen := map[string]bool{}
	for i := range classes {
		class := &classes[i]
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("class %q: named twice, or not at all", class.Name)
		}
		if err := class.validate(); err != nil {
			return fmt.Errorf("class %q: %w", class.Name, err)
		}
		seen[class.Name] = true
		guaranteed += class.GuaranteedFraction
	}
	if guaranteed > 1+fractionRounding {
		return errors.New("guarantee: all classes together have more than 1")
	}
	return nil
}

func (c *Class) validate() error {
	validSizes := c.MaxMemoryBytes >= 0 && c.MaxDiskBytes >= 0 && c.MaxBytes >= max(c.MaxMemoryBytes, c.MaxDiskBytes)
	validWeight := c.PriorityWeight > 0 && !math.IsInf(c.PriorityWeight, 0)
	validGuarantee := c.GuaranteedFraction >= 0 && c.GuaranteedFraction <= 1
	switch {
	case !validSizes:
		return errors.New("most: want no less than memory and disk")
	case !validWeight:
		return errors.New("worth: want more than 0")
	case !validGuarantee:
		return errors.New("guarantee: want 0 to 1")
	}
	return nil
}
