package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
)

const (
	maxBodyBytes      = 32 << 20
	callTimeout       = 900 * time.Millisecond // callers wait for a second
	retryAfterSeconds = "0.2"                  // seconds, for Retry-After
)

// The operators' calls, and the header that names the version which a change is based on.
const (
	replacePattern    = "POST /configuration/replace"
	retrievePattern   = "GET /configuration/retrieve"
	baseVersionHeader = "Base-Version"
)

// operatorCall is one of the operators' calls.
type operatorCall struct {
	pattern string
	handle  func(d *Server, w http.ResponseWriter, r *http.Request)
}

// Handler serves the operators' calls. 200, 400, 404, 412 and 413 are final; 503 says that nothing is known, and when to call
// again.
func (d *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, c := range []operatorCall{replaceCall, retrieveCall} {
		mux.HandleFunc(c.pattern, func(w http.ResponseWriter, r *http.Request) { c.handle(d, w, r) })
	}
	return mux
}

// replaceCall is answered 200 for a change that is or was in force, and 412 or 400 for one that never was and never will be.
var replaceCall = operatorCall{replacePattern, (*Server).serveReplace}

func (d *Server) serveReplace(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeError(w, http.StatusRequestEntityTooLarge, trace.LimitExceeded("the body: expected %d bytes at most", large.Limit))
		return
	case err != nil:
		writeError(w, http.StatusRequestTimeout, trace.Wrap(err, "the body")) // a link's fault, not the configuration's
		return
	}
	base, err := configuration.ParseVersion(r.Header.Get(baseVersionHeader))
	if err != nil { // told once the body has been read: a connection that is closed before may take the answer along
		writeError(w, http.StatusBadRequest, trace.Wrap(err, baseVersionHeader))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	v := d.Replace(ctx, base, raw)
	d.options.Log.WithField("outcome", v.Outcome).WithField("base", base).WithField("reason", v.Reason).Info("configuration sent")
	writeError(w, map[Outcome]int{
		Applied: http.StatusOK, Conflict: http.StatusPreconditionFailed, Invalid: http.StatusBadRequest,
		Unknown: http.StatusServiceUnavailable,
	}[v.Outcome], v.Reason)
}

// retrieveCall is answered with the newest configuration that was committed when the call came, or a newer one.
var retrieveCall = operatorCall{retrievePattern, (*Server).serveRetrieve}

func (d *Server) serveRetrieve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	value, err := d.ReadLatest(ctx)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
	case value.Version == 0:
		writeError(w, http.StatusNotFound, trace.NotFound("no configuration was accepted yet"))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(value.Body) // who asked may have gone
	}
}

// writeError answers with a status and, if there is one, the reason.
func writeError(w http.ResponseWriter, status int, reason error) {
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
	_ = json.NewEncoder(w).Encode(body) // who asked may have gone
}
