// Package relay provides a network between processes on loopback that injects network faults into their traffic. It partitions
// members in one or both directions, and drops, duplicates and delays (and thereby reorders) data. Partitions apply to pairs of
// members, all other faults to the whole network. Each member listens on its own IP address in 127.0.0.0/8, which also identifies
// it as a sender, and announces the address of its relay to the others.
//
//	member a ──► relay of b ──► member b      (UDP datagrams, TCP streams)
//
// During a partition streams block, as TCP would; datagrams are dropped.
package relay
