// Package relay is a network between processes on loopback that injects the faults of networks into what they send one another:
// it partitions, in one direction or both, loses, duplicates and delays (and so reorders), by pair of members. Each member listens
// at an IP address of 127.0.0.0/8 of its own, by which it is known as a sender too, and announces the address of its relay to the
// others.
//
//	member a ──► relay of b ──► member b      (UDP datagrams, TCP streams)
//
// A stream waits while its members are partitioned, as TCP would; datagrams are lost.
package relay
