// Package sockets opens the TCP connections of a process, and bounds and counts what the kernel holds for them.
//
// Bytes that have arrived and that the process has not read yet are the kernel's, but the platform counts them as memory of the process
// (a control group does, too). The Go runtime knows nothing about them. By default the kernel lets a connection hold several MB, as
// tcp_rmem says. Here each connection has a receive buffer of a fixed size, which is counted in a pool of the memory budget. While the pool
// is used up, further connections get smaller buffers; none is refused. Connections that wait to be accepted are bounded by their number.
package sockets
