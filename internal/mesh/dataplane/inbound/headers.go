package inbound

// Header fields of the protocol between clients, sidecars and endpoints, in canonical form. Their names are fixed by the protocol.
const (
	HeaderAttemptID         = "Attempt-Id"         // ID of a client's attempt, repeated in the endpoint's answer; one request to sidecars
	HeaderTargetEndpoint    = "Target-Endpoint"    // ID of the endpoint that the balancer chose
	HeaderCallingService    = "Calling-Service"    // name of the service on the machine of the client's sidecar
	HeaderSubscriberID      = "Subscriber-Id"      // name of the tenant
	HeaderTimeRemaining     = "Time-Remaining"     // milliseconds until the client gives up
	HeaderNotExecuted       = "Not-Executed"       // set by an endpoint that has not executed the request
	HeaderEndpointSeal      = "Endpoint-Seal"      // set by an endpoint on each answer with a status of 2xx
	HeaderAnsweringEndpoint = "Answering-Endpoint" // set by an endpoint that is not the target endpoint
	HeaderKey               = "Key"                // a tenant's access key
	HeaderBaseVersion       = "Base-Version"       // version of the configuration that a change builds on; only in the control API
)

// Header fields of HTTP that the data plane reads or sets, in canonical form.
const (
	headerContentEncoding = "Content-Encoding"
	headerContentLength   = "Content-Length"
	headerKeepAlive       = "Keep-Alive"
	headerRetryAfter      = "Retry-After"
)

// HopByHopHeaders are the header fields that concern one connection only, or that each hop sets itself; they are not passed on. The names
// are in canonical form.
var HopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	headerContentLength:   true,
	headerKeepAlive:       true,
}
