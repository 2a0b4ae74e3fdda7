// Package outcome holds the closed list of how a request, or one attempt of it, can end. Every part of the mesh names an end by a
// Kind of this list; the sidecar beside the client maps it to an HTTP answer by Kind.Entry alone, and decides by Kind.Next alone
// whether a retry is safe.
//
// The list falls into three groups:
//
//	Answered        the endpoint's own answer
//	not executed    the endpoint has surely not executed the request and never will: any request may be retried
//	may have run    the endpoint may have executed it: only an idempotent request may be retried
//
// Only kinds that are surely not executed map to statuses that promise so to the client (408, 429, 503).
//
// The package does not decide whether a retry is made: that is for the balancer and the retry budget, within what Next allows.
package outcome
