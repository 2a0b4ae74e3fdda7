package audit

// HTTP statuses that the rules speak of. The package does no I/O, and so does not import net/http.
const (
	statusOK                 = 200
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)
