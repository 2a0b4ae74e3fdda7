// Package lifecycle has helpers for starting and stopping a program: it catches signals for as long as the process runs, cancels HTTP
// requests when the program shuts down, and keeps listeners going after errors that pass.
//
// The default action of SIGTERM, SIGINT, SIGQUIT and SIGHUP ends a Go program at once. It applies until the program calls signal.Notify,
// and again after signal.Stop. Either would break a graceful shutdown: a second SIGTERM, or a SIGHUP that asks for a reload of the
// settings, would end the server before it has answered its requests. A program therefore calls Catch before anything else, and Catch never
// calls signal.Stop. Before that, while packages are initialized, package earlysignals ignores SIGHUP.
package lifecycle
