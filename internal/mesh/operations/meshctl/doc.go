// Package meshctl is the operators' client of the mesh: what the core processes hold, and changes of the configuration, which are checked
// and shown before they are sent.
//
// Each command is a type that kong parses, with a Run method. Commands ask the core processes in the order of --core, until one answers
// with anything but a server error; so an operator needs to know only one that runs. Output is for people, or with --json for programs.
//
// The package keeps no state, and does nothing that the HTTP calls of a core process could not be asked for by hand.
package meshctl
