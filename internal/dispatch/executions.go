package dispatch

import "garnetline/routing"

// ExecutionHistory remembers the ids of requests that a server may have executed and that may not be
// executed again, beyond the end of the request. Its methods are called on the dispatcher's goroutine.
type ExecutionHistory interface {
	// ExecutedHere returns when this router process first sent a request with the id, if it did.
	ExecutedHere(id string) (at float64, ok bool)
	// ExecutedElsewhere reports whether another process of the router has sent a request with the id.
	ExecutedElsewhere(id string) bool
	// Record remembers that a request with the id is sent.
	Record(id string, at float64)
	// Forget removes an id whose request no server has executed.
	Forget(id string)
}

// SetExecutionHistory sets the history of executed requests. SetExecutionHistory must be called before
// Run. Without a history, the dispatcher knows only the open requests.
func (d *Dispatcher) SetExecutionHistory(history ExecutionHistory) { d.executions = history }

// mustNotRepeat reports whether the history matters to a request.
func (d *Dispatcher) mustNotRepeat(request *Request) bool {
	class := &d.settings.Classes[request.Class]
	return d.executions != nil && request.TransactionID != "" && class.Idempotency != routing.Idempotent
}

// recallExecution looks for an earlier request with the same id. It returns false if the request must
// not be executed again. Otherwise, it sets the time from which the window of the request's key counts.
func (d *Dispatcher) recallExecution(request *Request) bool {
	if !d.mustNotRepeat(request) {
		return true
	}
	if at, ok := d.executions.ExecutedHere(request.TransactionID); ok {
		request.executedAt = at
		request.inHistory = true
		class := &d.settings.Classes[request.Class]
		return class.Idempotency == routing.IdempotentWithKey && d.clock.Now() < at+keyWindowMs(class)
	}
	return !d.executions.ExecutedElsewhere(request.TransactionID)
}

// claimExecution records that a request is sent. It returns false if another process has sent a request
// with the same id meanwhile.
func (d *Dispatcher) claimExecution(request *Request) bool {
	if !d.mustNotRepeat(request) || request.inHistory {
		return true
	}
	d.executions.Record(request.TransactionID, d.clock.Now())
	if d.executions.ExecutedElsewhere(request.TransactionID) {
		d.executions.Forget(request.TransactionID)
		return false
	}
	request.inHistory = true
	request.claimed = true
	return true
}

// settleExecution forgets an ended request that no server has executed.
func (d *Dispatcher) settleExecution(request *Request) {
	_, executed := request.firstExecution()
	if request.claimed && request.lastAttemptEnded() && !executed {
		d.executions.Forget(request.TransactionID)
		request.claimed = false
		request.inHistory = false
	}
}
