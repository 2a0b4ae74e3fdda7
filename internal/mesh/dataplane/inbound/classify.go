package inbound

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// maxRetryAfter is the most seconds of an endpoint's Retry-After that are taken seriously.
const maxRetryAfter = 3600

// reportsNotExecuted reports whether the endpoint says with an answer that it has not executed the request.
func reportsNotExecuted(answer *endpointAnswer) bool {
	return answer.header.Get(HeaderNotExecuted) != "" || answer.status == http.StatusMisdirectedRequest
}

// classify fills in what an answer means for its request.
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

// classifyKind returns how a request ended that got an answer.
func classifyKind(answer *endpointAnswer) outcome.Kind {
	header := answer.header
	switch {
	case header.Get(HeaderNotExecuted) != "":
		return outcome.Rejected
	case answer.status == http.StatusMisdirectedRequest:
		return outcome.Misdirected
	case answer.status/100 == 2 && (header.Get(HeaderEndpointSeal) == "" || header.Get(headerContentEncoding) != ""):
		return outcome.InvalidResponse
	case promisesNotExecuted(answer.status): // without Not-Executed it may have been executed
		return outcome.InvalidResponse
	}
	return outcome.Answered
}

// promisesNotExecuted reports whether a client would take a status for the promise that its request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// endToEndHeader returns the header fields of an answer that go on to the client, names and values in turn.
func endToEndHeader(header http.Header, method string) (fields []string) {
	for name, values := range header {
		lengthOfHead := name == headerContentLength && method == http.MethodHead // of a body that does not come
		if HopByHopHeaders[name] && !lengthOfHead {
			continue
		}
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

// parseRetryAfter returns the time of a Retry-After header field in seconds; 0 for none, or one that is no such number.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
