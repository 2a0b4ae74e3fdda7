// Package route finds the route of a request among those of a settings file. A route has settings for its requests, and decides whether
// they are admitted, retried and hedged. The package does no I/O, and takes times as arguments.
//
// # Matching
//
// A route matches on host, path, method, class, tenant and headers. It is more specific than another route if that matches all of its
// requests, and others. Of the routes that match a request the most specific one is taken, so the order in the file does not matter.
// Two routes that match a request in common, neither of them more specific, are a fault of the file.
//
//	file ── Rules (parse, check) ── Compile ──▶ Table ── Find(request) ──▶ Route: Settings and State
//
// A request whose path two programs may read differently (AmbiguousPath) is not routed: the sidecar could match one route, and the
// endpoint could serve the path of another.
//
// # Limits
//
// A Route admits requests up to MaxOpen, has a budget for retries that answers fill, and decides after which delay a request is hedged.
// Its State is kept over a reload of the file, under the same name. A Table does not change; the State of its routes is not safe for
// concurrent use.
//
// # What it does not do
//
// The load balancer decides whether a class allows a retry, and how many attempts are allowed at all. A route can only restrict that.
package route
