package inbound

// Header fields of the protocol between clients, sidecars and endpoints, in canonical form. Their names are fixed by the protocol.
const (
	HeaderAttemptID         = "Attempt-Id"         // identifies one request of a client; an endpoint's answer bears it
	HeaderTargetEndpoint    = "Target-Endpoint"    // the endpoint that was chosen
	HeaderCallingService    = "Calling-Service"    // the service of the machine where the request began
	HeaderSubscriberID      = "Subscriber-Id"      // the tenant
	HeaderTimeRemaining     = "Time-Remaining"     // milliseconds until the client gives up
	HeaderNotExecuted       = "Not-Executed"       // set by an endpoint that has not run the request
	HeaderEndpointSeal      = "Endpoint-Seal"      // set by an endpoint on each answer with a status of 2xx
	HeaderAnsweringEndpoint = "Answering-Endpoint" // set by an endpoint that is not the one that was chosen
	HeaderKey               = "Key"                // a tenant's access key
	HeaderBaseVersion       = "Base-Version"       // the configuration that a change starts from; the control API's alone
)
