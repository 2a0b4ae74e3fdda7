// Package scenario reads the scripts of rehearsals, checks them, and draws from one, with a seed, the plan of a whole scenario:
// servers, arrivals, and who is hit by what and when. It does no I/O; the same script and seed give the same plan.
//
//	script ─► Read ─► Scenario ─► Plan(seed) ─► servers, steps, arrivals
//
// A script is lines, in files that end with .morning. A line is a setting (a section, and names with values) or an event ("at 12s:
// 11% of boxes go silent for 9s"); # begins a comment. Scripts call an emulated server a box.
package scenario
