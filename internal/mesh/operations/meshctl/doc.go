// Package meshctl is the operators' client of the mesh. It prints the state of core processes, and submits changes of the configuration,
// which it checks and prints before.
//
// Each command is a type that kong parses, with a Run method. A command calls the core processes in the order of --core until one answers
// with anything but a server error. Output is for people, or with --json for programs.
//
// The package has no state of its own, and uses only the public HTTP calls of core processes.
package meshctl
