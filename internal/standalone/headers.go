package standalone

// The names in requests of callers, which are data. The headers are in the canonical form of net/http.
const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTenant         = "X-Org"
	headerTimeLeft       = "X-Remaining" // a number and m for milliseconds or u for microseconds
	headerWorkHint       = "X-Estimate"  // in microseconds
	headerResent         = "X-Resent"    // "1" for a request that the caller repeats
	headerIdempotencyKey = "Idempotency-Key"
	headerEarlyData      = "Early-Data" // "1" as in RFC 8470, section 5.1
	headerRetryAfter     = "Retry-After"

	// affinityCookie has the key of requests that should go to the same endpoint.
	affinityCookie = "obj"
	// readyPath is the path of readiness requests, which have no id.
	readyPath = "/ready"
)

// headerSet is the value of headers that are flags.
const headerSet = "1"

// uniqueHeaders must not be repeated: an endpoint might read another value than the sidecar.
var uniqueHeaders = []string{headerRequestID, headerClass, headerTenant, headerTimeLeft, headerIdempotencyKey}
