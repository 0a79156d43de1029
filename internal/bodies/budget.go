package bodies

import (
	"errors"
	"fmt"
	"math"
)

// Budget limits the capacity that all retained bodies use together.
type Budget struct {
	MemoryBytes        int64
	DiskBytes          int64
	DiskBodies         int64   // number of bodies on disk
	DiskBytesPerSecond float64 // limit of the write rate; with 0 nothing may be written
}

func (b Budget) validate() error {
	if b.MemoryBytes >= 0 && b.DiskBytes >= 0 && b.DiskBodies >= 0 && b.DiskBytesPerSecond >= 0 {
		return nil
	}
	return fmt.Errorf("budget: {Memory:%d Disk:%d Files:%d Write:%v}: expected no negative number",
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
	// PriorityWeight decides which class may borrow more when a budget is short.
	PriorityWeight float64
	// GuaranteedFraction is the fraction, 0 to 1, of each budget that other classes cannot use.
	GuaranteedFraction float64
}

// fractionRounding is how much the sum of all guaranteed fractions may exceed 1, because sums of
// decimal fractions are not exact in floating point.
const fractionRounding = 1e-9

// validateClasses returns an error if the classes cannot share a budget. The error names the class
// and, where one value is invalid, the field by its name in the operators' settings.
func validateClasses(classes []Class) error {
	guaranteed := 0.0
	seen := map[string]bool{}
	for i := range classes {
		class := &classes[i]
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("class %q: expected a unique and non-empty name", class.Name)
		}
		if err := class.validate(); err != nil {
			return fmt.Errorf("class %q: %w", class.Name, err)
		}
		seen[class.Name] = true
		guaranteed += class.GuaranteedFraction
	}
	if guaranteed > 1+fractionRounding {
		return errors.New("guarantee: expected a sum of at most 1 over all classes")
	}
	return nil
}

func (c *Class) validate() error {
	validSizes := c.MaxMemoryBytes >= 0 && c.MaxDiskBytes >= 0 && c.MaxBytes >= max(c.MaxMemoryBytes, c.MaxDiskBytes)
	validWeight := c.PriorityWeight > 0 && !math.IsInf(c.PriorityWeight, 0)
	validGuarantee := c.GuaranteedFraction >= 0 && c.GuaranteedFraction <= 1
	switch {
	case !validSizes:
		return errors.New("most: expected at least 0 and no less than memory and disk")
	case !validWeight:
		return errors.New("worth: expected a finite number above 0")
	case !validGuarantee:
		return errors.New("guarantee: expected a number from 0 to 1")
	}
	return nil
}
