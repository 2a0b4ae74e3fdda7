// Package route says which route of a settings file a request takes, what that route sets for it, and whether it may come in or go
// out again. It does no I/O; times are arguments.
//
// # Matching
//
// A route matches on host, path, method, class, tenant and headers. One is more specific than another if it matches fewer requests:
// each of its requests is matched by the other too, and not the other way round. Of the routes that match a request the most specific
// is taken, so the order in the file means nothing. Two that match a request in common, neither of them more specific, are findings
// when the file is read.
//
//	file ── Rules (parse, check) ── Compile ──▶ Table ── Find(request) ──▶ Route: Settings and State
//
// A path that two readers may take for different ones (AmbiguousPath) goes nowhere: it could be matched by one route here and served
// as that of another behind.
//
// # Limits
//
// A Route admits requests up to MaxOpen, gives retries out of a budget that answers fill, and says when a hedged request is worth
// it. Its State outlives a reload of the file under the same name. A Table does not change; the State of its routes is not safe for
// concurrent use.
//
// # What it does not do
//
// Whether a class allows a retry, and how many attempts the site allows, is the load balancer's to say: a route only forbids more.
package route
