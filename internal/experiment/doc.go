// Package experiment measures the fleet's state machines on virtual clocks, and draws charts
// and tables of the results:
//
//   - Membership: how fast and how wrongly routers detect failures, and what that costs;
//   - LeaseHandovers: handovers of a lease under faults, with each safeguard switched off in turn;
//   - LeaseSearch: all states that two routers and a registry can reach, one by one;
//   - Registry: what leases cost the voters of the lease registry;
//   - LoadReporting: ways in which routers learn the load of servers.
//
// What a run measures follows from its seed alone, except for memory. It is for cmd/fleetlab;
// the daemon links none of it.
package experiment
