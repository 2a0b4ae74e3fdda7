// Package endpointsource merges the endpoint lists of several sources (the platform's discovery, Consul and the last known list on
// disk) into the one list that the balancer uses. It does no I/O and reads no clock: the caller passes the time of each event, as a
// duration since an arbitrary start. docs/design/consul.md states the rules.
//
//	platform ── HandlePlatformList ──┐
//	                                 ├──► entries ── evaluate ──► publish ──► List for the balancer
//	Consul ──── HandleConsulAnswer ──┘       ▲
//	            HandleConsulUnchanged        │
//	attempts ── HandleConnectFailure ────────┤
//	time ────── Tick, due at NextTick ───────┘
//
// In addition to its health, an endpoint in Consul can be in one of these states:
//
//   - held down: its check is flapping, and the endpoint counts as draining until the hold-down ends.
//   - missing: Consul's answer lacks the endpoint, but its removal is not confirmed yet. It stays listed until the removal is confirmed
//     by time, by a consistent read of the catalogue or by an attempt that cannot connect.
//
// The package neither queries the sources nor checks endpoints. It keeps no history: a uid that appears again after all sources have
// dropped it counts as a new endpoint. A Merger is not safe for concurrent use.
package endpointsource
