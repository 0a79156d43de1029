package consensus

import (
	"github.com/anishathalye/porcupine"

	"garnetline/internal/fleet/lease"
	"garnetline/internal/fleet/membership"
)

// operationInput is a router's request, as the history of operations records it.
type operationInput struct {
	lease   string
	router  membership.ID
	release bool
}

// operationOutput is the state of a lease according to a response.
type operationOutput struct {
	token  uint64
	holder membership.ID
	lost   bool // there was no response: the operation may or may not have been executed
}

// neverReturned is the return time of an operation without a response.
const neverReturned = 1 << 60

// openOperation returns the operation of a request that has no response yet.
func openOperation(client int, router membership.ID, request lease.Request, now float64) porcupine.Operation {
	return porcupine.Operation{
		ClientId: client,
		Input:    operationInput{request.Lease, router, request.Release},
		Call:     microseconds(now),
		Output:   operationOutput{lost: true},
		Return:   neverReturned,
	}
}

func completeOperation(operation *porcupine.Operation, response lease.Response, now float64) {
	operation.Output = operationOutput{response.FencingToken, response.Holder, false}
	operation.Return = microseconds(now)
}

func microseconds(ms float64) int64 { return int64(ms * 1000) }

// leaseModel models the observable state of a lease. Fencing tokens only grow. Each response
// shows the state of the lease at some time between the request and the response.
var leaseModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byLease := map[string][]porcupine.Operation{}
		for _, operation := range history {
			if !operation.Output.(operationOutput).lost {
				name := operation.Input.(operationInput).lease
				byLease[name] = append(byLease[name], operation)
			}
		}
		var partitions [][]porcupine.Operation
		for _, name := range []string{"a", "b", "c"} {
			partitions = append(partitions, byLease[name])
		}
		return partitions
	},
	Init: func() any { return operationOutput{} },
	Step: func(state, _, out any) (bool, any) {
		before, after := state.(operationOutput), out.(operationOutput)
		// Operations without a response are left out of the history. One of them may have caused a
		// state with a higher token, so every state with a higher token is accepted.
		return after.token > before.token || after == before, after
	},
}
