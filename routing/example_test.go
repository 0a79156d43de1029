package routing_test

import (
	"fmt"
	"time"

	"garnetline/routing"
)

// Example passes a list of servers and a request to a router, and prints the attempt that the router
// returns.
func Example() {
	router, err := routing.New(routing.Settings{
		Zones: 2, Zone: 1, Kinds: 3, ParentKind: 1, OriginKind: 2,
		MaxAttempts: 4, CanJoinFill: true, TransferKBPerSecond: 4000,
		Classes: []routing.Class{{Name: "page", LatencyObjective: 250 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Handle(0, routing.EndpointUpdate{Snapshot: true, Servers: []routing.Server{
		{ID: 11, Zone: 1, Kind: 0, Phase: routing.Ready},
		{ID: 31, Zone: 0, Kind: 1, Phase: routing.Ready},
	}}, nil)
	page := routing.Request{ID: 1, Object: 0xfe, Timeout: 3 * time.Second, SizeKB: 200}
	for _, action := range router.Handle(time.Millisecond, page, nil) {
		if attempt, ok := action.(routing.SendAttempt); ok {
			fmt.Printf("request %d to cache %d, a miss filled by parent %d, join %v\n",
				attempt.ID, attempt.Server, attempt.FillSource, attempt.JoinFill)
		}
	}
	// Output: request 1 to cache 11, a miss filled by parent 31, join false
}
