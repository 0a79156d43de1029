package memorybudget

import "time"

// Reservation is memory that one owner has reserved. It is not safe for concurrent use. The methods
// of a nil Reservation, and of one without a budget, do nothing.
type Reservation struct {
	budget *Budget
	bytes  [accountCount]int64
}

// NewReservation returns an empty Reservation of the budget.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow reserves more bytes; see Budget.Reserve.
func (r *Reservation) Grow(account Account, bytes int64, patience time.Duration) error {
	if r == nil || r.budget == nil {
		return nil
	}
	if err := r.budget.Reserve(account, bytes, patience); err != nil {
		return err
	}
	r.bytes[account] += bytes
	return nil
}

// Shrink reduces what is reserved in an account to at most the given number of bytes.
func (r *Reservation) Shrink(account Account, bytes int64) {
	if r == nil || r.budget == nil || r.bytes[account] <= bytes {
		return
	}
	r.budget.Release(account, r.bytes[account]-bytes)
	r.bytes[account] = bytes
}

// Release releases everything. The Reservation can be used again.
func (r *Reservation) Release() {
	for account := range accountCount {
		r.Shrink(account, 0)
	}
}

// Bytes returns how much is reserved in an account.
func (r *Reservation) Bytes(account Account) int64 {
	if r == nil {
		return 0
	}
	return r.bytes[account]
}
