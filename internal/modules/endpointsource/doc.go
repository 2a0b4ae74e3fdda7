// Package endpointsource merges the lists of several sources of endpoints, which are the platform's discovery, Consul and the last
// known list, into the one list that the balancer uses. It does no I/O and reads no clock: each event comes with its time, counted
// from an arbitrary start. docs/design/consul.md states the rules.
//
//	platform ── HandlePlatformList ──┐
//	                                 ├──► entries ── evaluate ──► publish ──► List for the balancer
//	Consul ──── HandleConsulAnswer ──┘       ▲
//	            HandleConsulUnchanged        │
//	attempts ── HandleConnectFailure ────────┤
//	time ────── Tick, due at NextTick ───────┘
//
// The states of an endpoint in Consul, in addition to its health:
//
//   - held down: its check has flapped; it counts as draining until the hold-down is over.
//   - missing: an answer lacks it, which is not believed yet; it stays listed until that is confirmed, by time, by a consistent read
//     of the catalogue or by an attempt that cannot connect.
//
// What it does not do: it neither queries the sources nor checks endpoints, and it keeps no history: a uid that appears again after
// all sources have dropped it is new. A Merger is not safe for concurrent use.
package endpointsource
