package dryrun

// The HTTP statuses of simulated answers. The package does no I/O and therefore does not import net/http.
const (
	statusOK                 = 200
	statusBadGateway         = 502
	statusServiceUnavailable = 503
)
