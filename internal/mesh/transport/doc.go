// Package transport carries calls between the processes of the mesh.
//
// A Hub manages all links of a process. A Link is one TCP connection to one peer, and multiplexes calls: the side that dialled sends
// calls, the side that accepted sends replies, and each call gets one reply. A call is identified by its stream number, which is never
// used twice on a link. Two processes that call each other have two links.
//
// # Frames
//
// A frame is a big-endian length of four bytes and an envelope in the wire format of protocol buffers (package codec). Each side's
// first frame is a Hello. A message of more than 16 KiB goes out in chunks that alternate with all other messages, so that a large
// reply does not hold up a small one.
//
// # States of a link
//
//	          dial or accept            hello of the peer
//	(none) ------------------> greeting ------------------> up ----------------------> closed
//	                              |                         |  idle for 30 s (dialled)   ^
//	                              |                         |  error, no pong, Close     |
//	                              |                         |                            |
//	                              |                         | the peer is draining       |
//	                              |                         v                            |
//	                              |                      retired ------------------------+
//	                              |                       no calls pending               |
//	                              +------------------------------------------------------+
//	                                no hello within a second
//
// A dialled link sends no call before the peer's hello: the kernel accepts connections for a process that is suspended, and a call that
// was not sent has certainly not been executed. A retired link completes its pending calls; the next call dials a new link.
//
// # Clocks
//
// All times are durations on the process's own monotonic clock, which starts with the process. Each frame carries the time on its sender's
// clock. A call's expiry is translated by the smallest difference between the two clocks that the link has seen; the error is at most the
// shortest time that a frame was in transit.
//
// # Pacing
//
// Chunks of large messages share one token bucket for all links of the process (shaper). It limits them to nine tenths of the machine's
// uplink, so that small messages are not delayed.
//
// # What it does not do
//
// It does not authenticate peers, does not retry calls, and does not define methods: packages agent and inbound do. It bounds the memory
// of calls (Hub's maxCallBytes, maxMessageBytes), not the number of links.
package transport
