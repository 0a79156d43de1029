// Package memorybudget limits the memory that clients make the process hold. Whoever keeps something
// for a client reserves its size in an account of the Budget before allocating it, and releases it
// when it is no longer referenced.
//
// Each account has a guaranteed part of the budget. Accounts borrow from the rest by trunk reservation
// (package quota). So what one kind of client holds, such as responses that nobody reads, never uses up
// the memory that other requests need.
//
// A nil *Budget has no limit. All methods may be called from any goroutine.
package memorybudget

import (
	"fmt"
	"sync"
	"time"

	"garnetline/internal/metrics"
	"garnetline/internal/quota"
)

// Account is a kind of memory that the process holds for clients.
type Account int

// The accounts.
const (
	Connections Account = iota // goroutines and buffers of open connections
	Requests                   // heads and the state of open requests
	Bodies                     // bodies of requests
	Responses                  // bodies of responses that were not written yet
	ReadAhead                  // bytes that follow an open request
	accountCount
)

// String returns the name of the account in metrics and in the log.
func (a Account) String() string { return accountNames[a] }

var accountNames = [accountCount]string{
	Connections: "connections",
	Requests:    "requests",
	Bodies:      "bodies",
	Responses:   "responses",
	ReadAhead:   "read_ahead",
}

// shares are what the accounts are entitled to. A server can do without read-ahead, so that account
// has no guarantee and the lowest weight.
var shares = [accountCount]quota.Share{
	Connections: {GuaranteedFraction: 0.25, PriorityWeight: 4},
	Requests:    {GuaranteedFraction: 0.10, PriorityWeight: 4},
	Bodies:      {GuaranteedFraction: 0.10, PriorityWeight: 4},
	Responses:   {GuaranteedFraction: 0.10, PriorityWeight: 4},
	ReadAhead:   {GuaranteedFraction: 0, PriorityWeight: 1},
}

// ExhaustedError reports that an account has no memory left.
type ExhaustedError struct {
	Account Account
	Bytes   int64 // size of the reservation that was refused
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("memory budget: no %d bytes left for %v", e.Bytes, e.Account)
}

// unlimited is the size of a budget without a limit, in bytes.
const unlimited = 1 << 50

// Budget is the memory that the process may hold for clients.
type Budget struct {
	metrics *metrics.Registry

	mu       sync.Mutex
	quota    quota.Quota
	released chan struct{} // closed, and replaced, when memory is released while somebody waits
	waiting  int
	refused  [accountCount]int64
	pressure chan struct{} // receives a value when a reservation does not find enough memory
}

// New returns a Budget of the given number of bytes; 0 means no limit.
func New(bytes int64, registry *metrics.Registry) *Budget {
	budget := &Budget{
		metrics:  registry,
		quota:    quota.New(int(accountCount)),
		released: make(chan struct{}),
		pressure: make(chan struct{}, 1),
	}
	budget.Resize(bytes)
	return budget
}

// Resize replaces the number of bytes; 0 means no limit. What is reserved stays reserved.
func (b *Budget) Resize(bytes int64) {
	if b == nil {
		return
	}
	if bytes <= 0 {
		bytes = unlimited
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota.Resize(bytes, shares[:])
	b.wakeWaiting()
}

// Pressure returns a channel that receives a value when a reservation does not find enough memory. The
// receiver frees memory that it can spare.
func (b *Budget) Pressure() <-chan struct{} {
	if b == nil {
		return nil
	}
	return b.pressure
}

// Reserve reserves bytes in an account. If there is too little memory, Reserve signals pressure and
// waits until others have released enough, for patience at the most. With a patience of 0, it does
// neither. The error is an *ExhaustedError.
func (b *Budget) Reserve(account Account, bytes int64, patience time.Duration) error {
	if b == nil || b.tryReserve(account, bytes) {
		return nil
	}
	if patience <= 0 {
		return b.refuse(account, bytes)
	}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	for {
		released, reserved := b.reserveOrWait(account, bytes)
		if reserved {
			return nil
		}
		select {
		case <-released:
			b.endWait()
		case <-timeout.C:
			b.endWait()
			return b.refuse(account, bytes)
		}
	}
}

// Release returns bytes to an account.
func (b *Budget) Release(account Account, bytes int64) {
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota.Release(int(account), bytes)
	b.wakeWaiting()
}

func (b *Budget) tryReserve(account Account, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota.Reserve(int(account), bytes)
}

// reserveOrWait reserves bytes, or returns a channel that is closed when others release memory. In the
// second case the caller calls endWait after the wait.
func (b *Budget) reserveOrWait(account Account, bytes int64) (released <-chan struct{}, reserved bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quota.Reserve(int(account), bytes) {
		return nil, true
	}
	b.waiting++
	select {
	case b.pressure <- struct{}{}:
	default:
	}
	return b.released, false
}

func (b *Budget) endWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

// wakeWaiting wakes those that wait in Reserve. The caller holds b.mu.
func (b *Budget) wakeWaiting() {
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// refuse counts a refusal and returns its error.
func (b *Budget) refuse(account Account, bytes int64) error {
	b.mu.Lock()
	b.refused[account]++
	b.mu.Unlock()
	b.metrics.Add("memory_refused_"+account.String(), 1)
	return &ExhaustedError{Account: account, Bytes: bytes}
}
