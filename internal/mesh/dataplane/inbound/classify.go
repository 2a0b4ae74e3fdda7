package inbound

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxRetryAfter bounds an endpoint's Retry-After, in seconds; a longer one is ignored.
const maxRetryAfter = 3600

// reportsNotExecuted reports whether an answer declares that the endpoint has not executed the request.
func reportsNotExecuted(answer *endpointAnswer) bool {
	return answer.header.Get(HeaderNotExecuted) != "" || answer.status == http.StatusMisdirectedRequest
}

// classify sets those fields of a response that the endpoint's answer determines.
func classify(response *ForwardResponse, request *ForwardRequest, answer *endpointAnswer) {
	response.Status = answer.status
	response.Kind = classifyKind(answer)
	switch response.Kind {
	case outcome.Rejected:
		response.RetryAfter = parseRetryAfter(answer.header.Get(headerRetryAfter))
	case outcome.Answered:
		response.Body = answer.body
		response.Header = endToEndHeader(answer.header, request.Method)
	}
}

// classifyKind returns the outcome that the endpoint's answer gives to its request.
func classifyKind(answer *endpointAnswer) outcome.Kind {
	header := answer.header
	switch {
	case header.Get(HeaderNotExecuted) != "":
		return outcome.Rejected
	case answer.status == http.StatusMisdirectedRequest:
		return outcome.Misdirected
	case answer.status/100 == 2 && (header.Get(HeaderEndpointSeal) == "" || header.Get(headerContentEncoding) != ""):
		return outcome.InvalidResponse
	case promisesNotExecuted(answer.status): // without the header Not-Executed the request may have been executed
		return outcome.InvalidResponse
	}
	return outcome.Answered
}

// promisesNotExecuted reports whether a status promises to a client that its request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// endToEndHeader returns those header fields of an answer that are passed on to the client, as alternating names and values.
func endToEndHeader(header http.Header, method string) (fields []string) {
	for name, values := range header {
		lengthOfHead := name == headerContentLength && method == http.MethodHead // an answer to HEAD has no body with this length
		if HopByHopHeaders[name] && !lengthOfHead {
			continue
		}
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

// parseRetryAfter parses a Retry-After header field, in seconds with an optional fraction. It returns 0 if the field is empty, invalid or
// out of bounds.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
