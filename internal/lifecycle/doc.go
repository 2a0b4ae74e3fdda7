// Package lifecycle has helpers for the start and the end of a program: it catches the signals for as long as the process runs, and
// cancels HTTP requests when the program shuts down.
//
// A Go program gets the default action of a signal, which for SIGTERM, SIGINT, SIGQUIT and SIGHUP is the end of the process at once,
// before it asks for the signal and after it has given it up with signal.Stop. A server that shuts down in order needs neither: a second
// SIGTERM, or a SIGHUP meant for its settings, would end it amid the requests that it still has to answer. So a program calls Catch
// before it does anything else, and no signal is ever given up.
package lifecycle
