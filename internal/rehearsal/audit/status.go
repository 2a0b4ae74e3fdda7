package audit

// The HTTP statuses that the rules refer to. The package does no I/O and therefore does not import net/http.
const (
	statusOK                 = 200
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)
