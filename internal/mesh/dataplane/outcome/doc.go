// Package outcome enumerates how a request, or one attempt of it, can end. All parts of the mesh use its Kinds. The client's sidecar
// derives the HTTP answer from Kind.Entry alone, and whether a retry is safe from Kind.Next alone.
//
// There are three groups of kinds:
//
//	Answered               the endpoint's own answer
//	not executed           no endpoint has executed the request, and none will: any request may be retried
//	may have been executed an endpoint may have executed the request: only an idempotent one may be retried
//
// The statuses that tell the client that its request was not executed (408, 429, 503) are used only for kinds where that is certain.
//
// The package does not decide whether a request is retried: the balancer and the retry budget do, within the limits set by Next.
package outcome
