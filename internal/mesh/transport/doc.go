// Package transport carries calls between the processes of the mesh.
//
// A Hub manages all links of a process. A Link is one TCP connection to one peer. It multiplexes calls: the side that dialled sends
// calls, the side that accepted sends replies, and each call gets one reply. A call is identified by its stream number, which is never
// reused on a link. Two processes that call each other have two links.
//
// # Frames
//
// A frame is a four-byte big-endian length, followed by an envelope in the protocol buffers wire format (package codec). The first frame
// that each side sends contains a Hello. A message of more than 16 KiB is sent in chunks, which alternate with other messages, so that a
// large reply does not delay a small one.
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
// A dialled link sends no call before it has received the peer's hello, because the kernel accepts connections even while the peer's
// process is suspended. A call that was not sent has certainly not been executed. A retired link completes its pending calls; the next
// call dials a new link.
//
// # Clocks
//
// All times are durations on the process's own monotonic clock, which starts with the process. Each frame carries the time on its sender's
// clock. The receiver converts a call's expiry to its own clock by the smallest difference between the two clocks that it has observed on
// the link. The error of the conversion is at most the shortest time that a frame was in transit.
//
// # Pacing
//
// The chunks of large messages on all links of the process share one token bucket (shaper). It limits them to nine tenths of the machine's
// uplink rate, so that small messages are not delayed.
//
// # What it does not do
//
// The package does not authenticate peers and does not retry calls. It does not define methods either: packages agent and inbound do. It
// bounds the memory of messages (Hub.SetMemory, maxMessageBytes) and of small replies that a peer does not read (maxQueuedReplyBytes), but
// not the number of links.
package transport
