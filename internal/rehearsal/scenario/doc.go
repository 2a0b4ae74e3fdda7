// Package scenario parses and validates the scripts of rehearsals, and draws a plan from a script and a seed: the servers, the
// arrivals of callers, and the time and target of each fault. It does no I/O. The same script and seed give the same plan.
//
//	script ─► Read ─► Scenario ─► Plan(seed) ─► servers, steps, arrivals
//
// A script is a text file whose name ends with .morning. Each line is a setting (a section, and keys with values) or an event ("at 12s:
// 11% of boxes go silent for 9s"); # starts a comment. Scripts call an emulated server a box.
package scenario
