// Package apps reads apps.toml, which describes all applications of an installation, derives the file of each, and checks them against
// one another: who calls whom, with which times and attempts. It also finds what was edited by hand in a derived file, merges such edits
// and adopts them into apps.toml. It does no I/O: texts go in, texts and findings come out.
//
//	apps.toml --Read--> Model --Check--> findings across applications
//	                      |
//	                      +--Generate--> derived file, with a provenance: a digest of the text and one of each key
//	                      |                   |
//	                      |               edited by hand
//	                      |                   |
//	                      +--Compare----> FileState --Merge--> derived file with the edits kept
//	                                          |
//	                                          +------Adopt--> apps.toml with the edits
//
// Checks across applications work on the graph of calls, whose strongly connected components are the rings of applications that call
// each other; each takes time in proportion to applications and calls.
package apps
