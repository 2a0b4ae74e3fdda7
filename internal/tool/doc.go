// Package tool implements the command line of quincegapctl. Each command has a file of its own, with a method of command that declares it
// and whose name ends in Command. Flags, help, output texts and exit codes are an interface that scripts match on; golden files hold them.
//
//	init, write, check, diff, adopt, sample, reference    configuration files
//	demo                                                  a sidecar to try, on loopback
//	members, peers, route, store                          the state of a sidecar, and how it treats a request
//	rehearse, experiment, fleet                           scenarios, with processes or in virtual time
//
// It decides nothing about configurations, stores and scenarios itself: the packages that own them do.
package tool
