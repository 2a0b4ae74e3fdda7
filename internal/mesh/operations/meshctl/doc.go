// Package meshctl is the command-line client of the mesh for operators. It prints the state that core processes report, and checks,
// compares and submits configurations.
//
// Each command is a type with a Run method, whose fields kong parses. A command calls the core processes in the order of --core until one
// answers with anything other than a server error. It prints its output for people, or with --json for programs.
//
// The package stores no state, and uses only the public HTTP calls of core processes.
package meshctl
