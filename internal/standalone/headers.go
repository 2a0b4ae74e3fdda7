package standalone

// The names that requests of callers use, which are part of the protocol. The headers are in the canonical form of net/http.
const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTenant         = "X-Org"
	headerTimeLeft       = "X-Remaining" // remaining time: a number followed by m for milliseconds or u for microseconds
	headerWorkHint       = "X-Estimate"  // estimated work in microseconds
	headerResent         = "X-Resent"    // "1" for a request that the caller repeats
	headerIdempotencyKey = "Idempotency-Key"
	headerEarlyData      = "Early-Data" // "1" as in RFC 8470, section 5.1
	headerRetryAfter     = "Retry-After"

	// affinityCookie is the cookie whose value is the affinity key: requests with the same key should go to the same endpoint.
	affinityCookie = "obj"
	// readyPath is the path of readiness requests, which have no request id.
	readyPath = "/ready"
)

// headerSet is the value of a flag header that is set.
const headerSet = "1"

// uniqueHeaders are the headers that a request must not repeat: an endpoint might use another of the values than the sidecar.
var uniqueHeaders = []string{headerRequestID, headerClass, headerTenant, headerTimeLeft, headerIdempotencyKey}
