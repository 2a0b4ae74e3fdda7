// Package earlysignals ignores the signals that must not end a daemon, and that arrive before the daemon calls lifecycle.Catch. A program
// imports it for its side effect.
//
// The default action of SIGHUP ends a process. It applies while the Go runtime starts and packages are initialized, which takes a few
// milliseconds, or far longer on a busy machine. This package replaces it as soon as the loader has linked the program. A SIGHUP that is
// ignored loses nothing: it asks for a reload of settings that the program reads after Catch. SIGPIPE, SIGUSR1 and SIGUSR2 are ignored as
// well. SIGTERM, SIGINT and SIGQUIT still end a process that does not serve yet.
//
// The Go runtime keeps a SIGHUP ignored until signal.Notify is called for it (os/signal, "Default behavior of signals in Go programs").
//
// The package is empty in a build without cgo.
package earlysignals
