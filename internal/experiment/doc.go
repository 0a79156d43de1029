// Package experiment measures the fleet's state machines on virtual clocks, and draws charts
// and tables of the results:
//
//   - Membership: how fast routers detect failures, how often they mark live routers as failed, and
//     how much traffic and memory failure detection needs;
//   - LeaseHandovers: handovers of a lease under faults, with all safeguards or with one switched off;
//   - LeaseSearch: an exhaustive search of the states that two routers and a registry can reach;
//   - Registry: the cost of leases for the voters of the lease registry;
//   - LoadReporting: strategies by which routers learn the load of servers.
//
// The seed of a run determines all of its results except memory. The package is for
// cmd/fleetlab; the daemon does not import it.
package experiment
