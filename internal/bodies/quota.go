package bodies

// quota is a budget that all classes share. Its unit is bytes or bodies. Each class has a
// guaranteed fraction of the budget. The rest of the budget is borrowable: any class may borrow
// from it. The class with the highest priority weight may borrow until all classes together have
// borrowed the whole rest. A class with a lower weight may borrow only until all classes together
// have borrowed a certain part of the rest; the lower the weight, the smaller this part. The class
// with the highest weight therefore still finds capacity when all classes need it. Telephone
// networks use the same technique under the name of trunk reservation.
type quota struct {
	total               int64
	guaranteedFractions []float64 // fractions of total, by class
	borrowableFractions []float64 // fractions of borrowable, by class; 1 for the highest weight
	used                []int64   // by class
	borrowed            int64     // used by all classes beyond their guarantees
}

func newQuota(classes []Class) quota {
	return quota{
		guaranteedFractions: make([]float64, len(classes)),
		borrowableFractions: make([]float64, len(classes)),
		used:                make([]int64, len(classes)),
	}
}

// resize sets the total and the fractions of the classes. Existing reservations stay. While they
// exceed the total, no new reservation is granted.
func (q *quota) resize(total int64, classes []Class) {
	q.total = total
	q.borrowed = 0
	for i := range classes {
		q.guaranteedFractions[i] = classes[i].GuaranteedFraction
		q.borrowableFractions[i] = borrowableFraction(classes, i)
		q.borrowed += q.borrowedOf(i, q.used[i])
	}
}

// borrowableFraction returns the limit of a class as a fraction of the borrowable capacity. The class
// may borrow only if the capacity that all classes borrow together stays within this limit. The
// fraction is the sum of the priority weights that are no higher than the weight of the class, divided
// by the sum of all priority weights.
func borrowableFraction(classes []Class, class int) float64 {
	sum, upToOwn := 0.0, 0.0
	for i := range classes {
		weight := classes[i].PriorityWeight
		sum += weight
		if weight <= classes[class].PriorityWeight {
			upToOwn += weight
		}
	}
	return upToOwn / sum
}

// guaranteed returns the capacity that is guaranteed to a class.
func (q *quota) guaranteed(class int) int64 {
	return int64(float64(q.total) * q.guaranteedFractions[class])
}

// borrowedOf returns by how much a class would exceed its guarantee if it used the given capacity.
func (q *quota) borrowedOf(class int, used int64) int64 { return max(0, used-q.guaranteed(class)) }

// borrowable returns the capacity that is not guaranteed to any class.
func (q *quota) borrowable() int64 {
	remaining := q.total
	for class := range q.guaranteedFractions {
		remaining -= q.guaranteed(class)
	}
	return max(remaining, 0)
}

// usedByAll returns the capacity that all classes use together.
func (q *quota) usedByAll() int64 {
	sum := int64(0)
	for _, used := range q.used {
		sum += used
	}
	return sum
}

// reserve reserves n units for a class and reports whether there was capacity. If resize has reduced
// the total below the used capacity, reserve fails for every class, even for a class that uses less
// than its guarantee. reserve succeeds again when enough capacity has been released.
func (q *quota) reserve(class int, n int64) bool {
	if q.usedByAll()+n > q.total {
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

// release releases n units that a class has reserved.
func (q *quota) release(class int, n int64) {
	q.borrowed -= q.borrowedOf(class, q.used[class]) - q.borrowedOf(class, q.used[class]-n)
	q.used[class] -= n
}

// tokenBucket limits a rate. A burst can use at most the tokens that are added in one second.
type tokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64
	updatedAt float64 // time of the last update of tokens, in Unix ms
}

// setRate sets the rate, in tokens per second.
func (b *tokenBucket) setRate(rate float64) {
	b.rate = rate
	b.tokens = min(b.tokens, rate)
}

// allow takes n tokens and reports whether there were enough. If there are fewer than n tokens, it
// takes none. The argument now is the current time in Unix ms.
func (b *tokenBucket) allow(now, n float64) bool {
	added := b.rate * max(0, now-b.updatedAt) / 1000
	b.tokens = min(b.rate, b.tokens+added)
	b.updatedAt = max(b.updatedAt, now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}
