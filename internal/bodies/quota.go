package bodies

// quota is one budget, of bytes or of bodies, that classes share. Each class has its guaranteed
// fraction. What is guaranteed to none is lent: to the class of the highest priority weight up
// to the last unit, to others only while less of it is lent, so that the highest weight finds
// capacity when all want it (trunk reservation, as in telephone networks).
type quota struct {
	total               int64
	guaranteedFractions []float64 // of total, by class
	borrowableFractions []float64 // of what is lent, by class; 1 for the highest weight
	used                []int64   // by class
	borrowed            int64     // by all classes beyond their guarantees
}

func newQuota(classes []Class) quota {
	return quota{
		guaranteedFractions: make([]float64, len(classes)),
		borrowableFractions: make([]float64, len(classes)),
		used:                make([]int64, len(classes)),
	}
}

// resize sets the total and the policy of the classes. What is used stays, and nothing new is
// reserved until it fits.
func (q *quota) resize(total int64, classes []Class) {
	q.total = total
	q.borrowed = 0
	for i := range classes {
		q.guaranteedFractions[i] = classes[i].GuaranteedFraction
		q.borrowableFractions[i] = borrowableFraction(classes, i)
		q.borrowed += q.borrowedOf(i, q.used[i])
	}
}

// borrowableFraction returns how much of what is lent a class may fill: the priority weights that
// are no higher than its own, as a fraction of all.
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

// guaranteed returns what is guaranteed to a class.
func (q *quota) guaranteed(class int) int64 {
	return int64(float64(q.total) * q.guaranteedFractions[class])
}

// borrowedOf returns how much of what a class uses is beyond its guarantee.
func (q *quota) borrowedOf(class int, used int64) int64 { return max(0, used-q.guaranteed(class)) }

// borrowable returns what is guaranteed to no class.
func (q *quota) borrowable() int64 {
	remaining := q.total
	for class := range q.guaranteedFractions {
		remaining -= q.guaranteed(class)
	}
	return max(remaining, 0)
}

// usedByAll returns what all classes use.
func (q *quota) usedByAll() int64 {
	sum := int64(0)
	for _, used := range q.used {
		sum += used
	}
	return sum
}

// reserve reserves n for a class and reports whether there was capacity. After the total shrank
// there is none for any class, guaranteed or not, until what is used fits.
func (q *quota) reserve(class int, n int64) bool {
	if q.usedByAll()+n > q.total {
		return false
	}
	more := q.borrowedOf(class, q.used[class]+n) - q.borrowedOf(class, q.used[class])
	limit := float64(q.borrowable()) * q.borrowableFractions[class]
	if more > 0 && float64(q.borrowed+more) > limit {
		return false
	}
	q.used[class] += n
	q.borrowed += more
	return true
}

// release releases n that a class has reserved.
func (q *quota) release(class int, n int64) {
	q.borrowed -= q.borrowedOf(class, q.used[class]) - q.borrowedOf(class, q.used[class]-n)
	q.used[class] -= n
}

// tokenBucket bounds a rate: what was not used within the last second may be used at once.
type tokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64
	updatedAt float64 // Unix ms
}

// setRate sets the rate, in tokens per second.
func (b *tokenBucket) setRate(rate float64) {
	b.rate = rate
	b.tokens = min(b.tokens, rate)
}

// allow takes n tokens at now, in Unix ms, and reports whether there were as many.
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
