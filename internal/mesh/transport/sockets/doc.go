// Package sockets opens the TCP connections of a process, and counts what the kernel holds for them.
//
// Bytes that have arrived and that the process has not read yet are the kernel's, but the platform counts them as memory of the process
// (a control group does, too). The Go runtime knows nothing about them.
package sockets
