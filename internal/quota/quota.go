// Package quota divides a budget among classes of users. A Quota has no lock and no clock; its owner
// calls one method at a time.
package quota

// Share is what a class is entitled to.
type Share struct {
	// PriorityWeight is a finite number above 0. When the part of the budget that is not guaranteed to
	// any class is short, a class with a higher weight may borrow more of it.
	PriorityWeight float64
	// GuaranteedFraction is the fraction of the budget, from 0 to 1, that other classes cannot use.
	GuaranteedFraction float64
}

// Quota is a budget that all classes share. Its unit is up to its owner. Each class has a
// guaranteed fraction of the budget. The rest of the budget is borrowable: any class may borrow
// from it. The class with the highest priority weight may borrow until all classes together have
// borrowed the whole rest. A class with a lower weight may borrow only until all classes together
// have borrowed a certain part of the rest; the lower the weight, the smaller this part. The class
// with the highest weight therefore still finds capacity when all classes need it. Telephone
// networks use the same technique under the name of trunk reservation.
type Quota struct {
	total               int64
	guaranteedFractions []float64 // fractions of total, by class
	borrowableFractions []float64 // fractions of borrowable, by class; 1 for the highest weight
	used                []int64   // by class
	borrowed            int64     // used by all classes beyond their guarantees
}

// New returns a Quota for a number of classes. Its total is 0 until Resize is called.
func New(classes int) Quota {
	return Quota{
		guaranteedFractions: make([]float64, classes),
		borrowableFractions: make([]float64, classes),
		used:                make([]int64, classes),
	}
}

// Resize sets the total and the shares of the classes. Existing reservations stay. While they
// exceed the total, no new reservation is granted.
func (q *Quota) Resize(total int64, shares []Share) {
	q.total = total
	q.borrowed = 0
	for i := range shares {
		q.guaranteedFractions[i] = shares[i].GuaranteedFraction
		q.borrowableFractions[i] = borrowableFraction(shares, i)
		q.borrowed += q.borrowedOf(i, q.used[i])
	}
}

// borrowableFraction returns the limit of a class as a fraction of the borrowable capacity. The class
// may borrow only if the capacity that all classes borrow together stays within this limit. The
// fraction is the sum of the priority weights that are no higher than the weight of the class, divided
// by the sum of all priority weights.
func borrowableFraction(shares []Share, class int) float64 {
	sum, upToOwn := 0.0, 0.0
	for i := range shares {
		weight := shares[i].PriorityWeight
		sum += weight
		if weight <= shares[class].PriorityWeight {
			upToOwn += weight
		}
	}
	return upToOwn / sum
}

// Guaranteed returns the capacity that is guaranteed to a class.
func (q *Quota) Guaranteed(class int) int64 {
	return int64(float64(q.total) * q.guaranteedFractions[class])
}

// borrowedOf returns by how much a class would exceed its guarantee if it used the given capacity.
func (q *Quota) borrowedOf(class int, used int64) int64 { return max(0, used-q.Guaranteed(class)) }

// borrowable returns the capacity that is not guaranteed to any class.
func (q *Quota) borrowable() int64 {
	remaining := q.total
	for class := range q.guaranteedFractions {
		remaining -= q.Guaranteed(class)
	}
	return max(remaining, 0)
}

// Total returns the budget.
func (q *Quota) Total() int64 { return q.total }

// Used returns the capacity that a class uses.
func (q *Quota) Used(class int) int64 { return q.used[class] }

// Borrowed returns the capacity that all classes together use beyond their guarantees.
func (q *Quota) Borrowed() int64 { return q.borrowed }

// UsedByAll returns the capacity that all classes use together.
func (q *Quota) UsedByAll() int64 {
	sum := int64(0)
	for _, used := range q.used {
		sum += used
	}
	return sum
}

// Reserve reserves n units for a class and reports whether there was capacity. If Resize has reduced
// the total below the used capacity, Reserve fails for every class, even for a class that uses less
// than its guarantee. Reserve succeeds again when enough capacity has been released.
func (q *Quota) Reserve(class int, n int64) bool {
	if q.UsedByAll()+n > q.total {
		return false
	}
	newlyBorrowed := q.borrowedOf(class, q.used[class]+n) - q.borrowedOf(class, q.used[class])
	limit := float64(q.borrowable()) * q.borrowableFractions[class]
	if newlyBorrowed > 0 && float64(q.borrowed+newlyBorrowed) > limit {
		return false
	}
	q.used[class] += n
	q.borrowed += newlyBorrowed
	return true
}

// Release releases n units that a class has reserved.
func (q *Quota) Release(class int, n int64) {
	q.borrowed -= q.borrowedOf(class, q.used[class]) - q.borrowedOf(class, q.used[class]-n)
	q.used[class] -= n
}
