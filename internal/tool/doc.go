// Package tool is the command line of quincegapctl. Each command is declared by a method of command whose name ends in Command, in a
// file of its own with what it does; flags, help, outputs, exit codes and their texts are an interface that scripts match on, held by
// golden files.
//
//	init, write, check, diff, adopt, sample, reference    configuration files
//	demo                                                  a sidecar to try, on loopback
//	members, peers, route, store                          a look at what a sidecar does, knows and remembers
//	rehearse, experiment, fleet                           plays of scripts, with processes or in virtual time
package tool
