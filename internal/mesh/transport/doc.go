// Package transport carries calls between the processes of the mesh.
//
// A Hub is a process's end of all its links. A Link is one TCP connection to one peer and multiplexes calls: the side that dialled
// calls, the side that accepted replies, and each call gets one reply. Calls are identified by a stream number, which a link never
// uses twice. Two processes that call each other have two links.
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
// A dialled link sends no call before the peer's hello: the kernel of a machine whose process does not run may have accepted the
// connection, and a call that was not sent has certainly not been executed. A retired link completes the calls that it has, and the
// next call dials a new one.
//
// # Clocks
//
// All times are durations on the process's own monotonic clock, which starts with the process. Each frame carries its sender's clock.
// The smallest difference that a link has seen between the two clocks translates the expiry of a call; the error is at most the
// shortest time that a frame was under way.
//
// # Pacing
//
// Chunks of large messages share a token bucket over all links of the process (shaper), so that they take at most nine tenths of the
// machine's uplink and small messages find it free.
//
// # What it does not do
//
// It does not authenticate peers, does not retry, and does not know what a method means: package agent and package inbound number the
// methods. It bounds memory (Hub's maxCallBytes, maxMessageBytes), not the number of links.
package transport
