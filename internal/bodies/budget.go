package bodies

import (
	"fmt"
	"math"
)

// Budget limits the capacity that all retained bodies use together.
type Budget struct {
	MemoryBytes        int64
	DiskBytes          int64
	DiskBodies         int64   // number of bodies on disk
	DiskBytesPerSecond float64 // limit of the write rate; 0 means that nothing may be written to disk
}

func (b Budget) validate() error {
	if b.MemoryBytes >= 0 && b.DiskBytes >= 0 && b.DiskBodies >= 0 && b.DiskBytesPerSecond >= 0 {
		return nil
	}
	return fmt.Errorf("budget: expected limits of at least 0, got MemoryBytes %d, DiskBytes %d, DiskBodies %d, DiskBytesPerSecond %v",
		b.MemoryBytes, b.DiskBytes, b.DiskBodies, b.DiskBytesPerSecond)
}

// Class is the policy for the bodies of one class. A body of up to MaxMemoryBytes is retained in
// memory, and a larger body of up to MaxDiskBytes on disk. A still larger body of up to MaxBytes is
// forwarded without being retained. A body of more than MaxBytes is rejected.
type Class struct {
	Name           string
	MaxMemoryBytes int64
	MaxDiskBytes   int64
	MaxBytes       int64
	// PriorityWeight is a finite number above 0. Classes may borrow the part of a budget that is
	// not guaranteed to any class. When this part is short, a class with a higher weight may
	// borrow more.
	PriorityWeight float64
	// GuaranteedFraction is the fraction of each budget, from 0 to 1, that other classes cannot use.
	GuaranteedFraction float64
}

// fractionRounding is the amount by which the sum of all guaranteed fractions may exceed 1. It is
// needed because sums of decimal fractions are not exact in floating point.
const fractionRounding = 1e-9

// validateClasses returns an error if the name of a class is empty or not unique, if another field
// of a class is invalid, or if the guaranteed fractions add up to more than 1. An error about one
// class names the class and, unless it is about the class name, contains the names of the fields in
// the operators' settings.
func validateClasses(classes []Class) error {
	guaranteed := 0.0
	seen := map[string]bool{}
	for i := range classes {
		class := &classes[i]
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("classes[%d]: expected a unique and non-empty name, got %q", i, class.Name)
		}
		if err := class.validate(); err != nil {
			return fmt.Errorf("class %q: %w", class.Name, err)
		}
		seen[class.Name] = true
		guaranteed += class.GuaranteedFraction
	}
	if guaranteed > 1+fractionRounding {
		return fmt.Errorf("guarantee: expected the guarantees of all classes to add up to at most 1, got %v", guaranteed)
	}
	return nil
}

func (c *Class) validate() error {
	validSizes := c.MaxMemoryBytes >= 0 && c.MaxDiskBytes >= 0 && c.MaxBytes >= max(c.MaxMemoryBytes, c.MaxDiskBytes)
	validWeight := c.PriorityWeight > 0 && !math.IsInf(c.PriorityWeight, 0)
	validGuarantee := c.GuaranteedFraction >= 0 && c.GuaranteedFraction <= 1
	switch {
	case !validSizes:
		return fmt.Errorf("memory, disk, most: expected memory and disk from 0 to most, got memory %d, disk %d and most %d", c.MaxMemoryBytes, c.MaxDiskBytes, c.MaxBytes)
	case !validWeight:
		return fmt.Errorf("worth: expected a finite number above 0, got %v", c.PriorityWeight)
	case !validGuarantee:
		return fmt.Errorf("guarantee: expected a number from 0 to 1, got %v", c.GuaranteedFraction)
	}
	return nil
}
