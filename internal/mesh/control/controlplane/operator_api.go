package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
)

// The operators' calls, and the header with the version that a change is based on. The user documentation defines them.
const (
	replacePattern    = "POST /configuration/replace"
	retrievePattern   = "GET /configuration/retrieve"
	baseVersionHeader = "Base-Version"
)

const (
	callTimeout       = 900 * time.Millisecond // timeout of a call; below the second for which operators wait
	retryAfterSeconds = "0.2"                  // value of the header Retry-After
)

// operatorAPI serves the operators' calls over HTTP. It is stateless. The statuses 200, 400, 404, 412 and 413 are final. Status 408 means
// that the body was incomplete. Status 503 means that the outcome is unknown, and comes with a Retry-After header.
type operatorAPI struct {
	register *register
	memory   OrderMemory
	log      *logrus.Logger
}

// handler returns the HTTP handler of the operators' calls.
func (o *operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(replacePattern, o.serveReplace)
	mux.HandleFunc(retrievePattern, o.serveRetrieve)
	return mux
}

// serveReplace answers 200 for a change that is or was active, and 412 or 400 for one that never was and never will be.
func (o *operatorAPI) serveReplace(w http.ResponseWriter, request *http.Request) {
	body, err := o.memory.readBody(w, request)
	switch {
	case errors.Is(err, errBodyTooLarge):
		w.Header().Set("Connection", "close") // a part of the body may be unread
		writeResult(w, http.StatusRequestEntityTooLarge, err)
		return
	case errors.Is(err, errNoMemory):
		w.Header().Set("Connection", "close")
		writeResult(w, http.StatusServiceUnavailable, err)
		return
	case err != nil:
		// The connection failed; the configuration is not at fault.
		writeResult(w, http.StatusRequestTimeout, trace.Wrap(err, "the body"))
		return
	}
	defer body.release()
	// The header is checked only after the body is read, because a client that is still sending its body may not receive the answer.
	base, err := configuration.ParseVersion(request.Header.Get(baseVersionHeader))
	if err != nil {
		writeResult(w, http.StatusBadRequest, trace.Wrap(err, baseVersionHeader))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	release, err := o.memory.reserveProcessing(ctx, len(body.text))
	if err != nil {
		writeResult(w, http.StatusServiceUnavailable, err)
		return
	}
	defer release()
	result := o.register.replace(ctx, base, body.text)
	o.log.WithField("outcome", result.Outcome).WithField("base", base).WithField("reason", result.Reason).
		Info("answered a request to replace the configuration")
	writeResult(w, result.Outcome.status(), result.Reason)
}

// status returns the HTTP status of an outcome.
func (o Outcome) status() int {
	switch o {
	case Committed:
		return http.StatusOK
	case Conflict:
		return http.StatusPreconditionFailed
	case Invalid:
		return http.StatusBadRequest
	case Unknown:
	}
	return http.StatusServiceUnavailable
}

// serveRetrieve answers with the newest configuration that was committed when the call arrived, or a newer one.
func (o *operatorAPI) serveRetrieve(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	value, err := o.register.readLatest(ctx)
	switch {
	case err != nil:
		writeResult(w, http.StatusServiceUnavailable, err)
	case value.Version == 0:
		writeResult(w, http.StatusNotFound, trace.NotFound("no configuration was accepted yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(value.Body) // an error means that the client has disconnected
	}
}

// writeResult answers with a status and a JSON object, which contains the reason unless the reason is nil.
func writeResult(w http.ResponseWriter, status int, reason error) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	body := struct {
		Error string `json:"error,omitempty"`
	}{}
	if reason != nil {
		body.Error = trace.UserMessage(reason)
	}
	_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
}
