package standalone

// The names that callers use, which are data. The headers are in the form that net/http gives them.
const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTenant         = "X-Org"
	headerTimeLeft       = "X-Remaining" // a number and m for milliseconds or u for microseconds
	headerWorkHint       = "X-Estimate"  // in microseconds
	headerResent         = "X-Resent"    // "1" for a repeat by the caller
	headerIdempotencyKey = "Idempotency-Key"
	headerEarlyData      = "Early-Data" // "1" as in RFC 8470, section 5.1
	headerRetryAfter     = "Retry-After"

	// affinityCookie holds the key of requests that are kept together.
	affinityCookie = "obj"
	// readyPath is where readiness is asked for, by a request without an id.
	readyPath = "/ready"
)

// headerSet is the value of headers that are flags.
const headerSet = "1"

// uniqueHeaders must not be repeated: of two, an endpoint may read the other one.
var uniqueHeaders = []string{headerRequestID, headerClass, headerTenant, headerTimeLeft, headerIdempotencyKey}
