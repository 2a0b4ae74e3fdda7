// Package apps reads apps.toml, which describes all applications of an installation, derives the file of each application, and checks the
// applications against one another: which calls they make, with which times and attempts. It also finds manual edits of derived files,
// merges them with changes of apps.toml, and adopts them into apps.toml. It does no I/O: it takes texts, and returns texts and findings.
//
//	apps.toml --Read--> Model --Check--> findings across applications
//	                      |
//	                      +--Generate--> derived file with its provenance: a digest of the text and of each key
//	                      |                   |
//	                      |               edited by hand
//	                      |                   |
//	                      +--Compare----> FileState --Merge--> derived file that keeps the edits
//	                                          |
//	                                          +------Adopt--> apps.toml with the edits
//
// Checks across applications use the graph of calls. Applications that call each other in cycles form its strongly connected components.
// Each check takes time proportional to the number of applications and calls.
package apps
