// Package tool implements the command line of quincegapctl. Each command is returned by a method of cli whose name ends in Command. Flags,
// help, output texts and exit codes are an interface that scripts depend on; golden files record them.
//
//	init, write, check, diff, adopt, sample, reference    configuration files
//	demo                                                  a sidecar to try, on loopback
//	members, peers, route, store                          the state of a sidecar, and how it handles a request
//	rehearse, experiment, fleet                           scenarios, played with real processes or in virtual time
//
// The package parses command lines and prints results. The logic of configurations, stores and scenarios is in their own packages.
package tool
