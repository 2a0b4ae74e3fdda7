// Package route finds the route of a request among the routes of a settings file. A route has settings for its requests, and decides
// whether they are admitted, retried and hedged. The package does no I/O, and takes durations as arguments.
//
// # Matching
//
// A route matches on host, path, method, class, tenant and headers. A route is more specific than another one if the other matches all
// requests that it matches, and further ones. Of the routes that match a request, the most specific one is selected, so the order in the
// file does not matter. A file is invalid if two of its routes match a common request and neither is more specific.
//
//	file ── Rules (parse, check) ── Compile ──▶ Table ── Find(request) ──▶ Route: Settings and State
//
// A request whose path two programs may interpret differently (AmbiguousPath) is not routed: the sidecar could select one route while the
// endpoint serves the path of another.
//
// # Limits
//
// A Route admits up to MaxOpen concurrent requests, has a retry budget to which answers add, and decides after which delay a request is
// hedged. When the file is reloaded, a route takes over the State of the previous route with its name (Table.KeepStates). Apart from
// that a Table is immutable. The State of its routes is not safe for concurrent use.
//
// # What it does not do
//
// The load balancer decides whether a class allows a retry, and how many attempts a request may have. A route can only restrict that further.
package route
