// Package endpointsource merges what the sources of endpoints say, the platform's discovery, Consul and the last known list, into
// the one list that the balancer goes by. It does no I/O and reads no clock: each event comes with the time, counted from an
// arbitrary start. docs/design/consul.md states the rules; each stands here once.
//
//	platform ── HandlePlatformList ──┐
//	                                 ├──► entries ── evaluate ──► publish ──► List for the balancer
//	Consul ──── HandleConsulAnswer ──┘       ▲
//	            HandleConsulUnchanged        │
//	attempts ── HandleConnectFailure ────────┤
//	time ────── Tick, due at NextTick ───────┘
//
// The states of an endpoint in Consul, beside what it says of its health:
//
//   - held down: its check has flapped; it counts as draining until the hold-down is over.
//   - missing: an answer lacks it, and that is not believed yet; it goes on until it is confirmed, by time, by a consistent read
//     of the catalogue or by an attempt that cannot connect.
//
// What it does not do: it neither asks the sources nor checks endpoints, and it keeps no history: an id that comes back after all
// sources have dropped it is new. A Merger is not safe for concurrent use.
package endpointsource
