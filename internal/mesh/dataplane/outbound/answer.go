package outbound

import (
	"net/http"
	"strconv"

	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// writeAnswer writes a request's answer. Errors are ignored: they mean that the client has disconnected, and the request's outcome is
// decided already.
func (p *Proxy) writeAnswer(w http.ResponseWriter, res result) {
	header := w.Header()
	if p.shutdown.rejecting.Load() {
		header.Set(headerConnection, "close")
	} else {
		p.connections.advertiseIdleTimeout(header)
	}
	// Nil values keep the server from adding these two fields: an answer has the endpoint's values, or none.
	header[headerContentType] = nil
	header[headerDate] = nil
	if res.kind == outcome.Answered {
		bytes := int64(res.response.Body.Len())
		p.options.AnswerMemory.Charge(bytes)
		defer p.options.AnswerMemory.Release(bytes)
		writeEndpointAnswer(w, res.response)
		return
	}
	writeTableAnswer(w, res)
}

// writeEndpointAnswer writes the endpoint's answer.
func writeEndpointAnswer(w http.ResponseWriter, response *inbound.ForwardResponse) {
	header := w.Header()
	for i := 0; i+1 < len(response.Header); i += 2 {
		name, value := response.Header[i], response.Header[i+1]
		header[name] = append(header[name], value)
	}
	bodiless := response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	if !bodiless && header[headerContentLength] == nil { // an answer to HEAD already has the endpoint's Content-Length
		header[headerContentLength] = []string{strconv.Itoa(response.Body.Len())}
	}
	w.WriteHeader(response.Status)
	for _, part := range response.Body {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// writeTableAnswer writes the answer that the table of package outcome defines for a request that no endpoint has answered.
func writeTableAnswer(w http.ResponseWriter, res result) {
	header := w.Header()
	entry := res.kind.Entry()
	if retryAfter := max(res.retryAfter, entry.RetryAfter); retryAfter > 0 && entry.NotExecuted {
		header.Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set(headerContentLength, "0")
	w.WriteHeader(entry.Status)
}
