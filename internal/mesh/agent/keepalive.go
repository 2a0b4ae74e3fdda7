package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
)

const (
	maxKeepaliveBytes       = 16 << 10               // maximum size of a keepalive's body
	keepaliveForwardTimeout = 250 * time.Millisecond // timeout of the request to the endpoint's sidecar, and of those to the owners after it
	forwardedRecordLease    = 9 * time.Second        // lease of the record of a keepalive received by a process other than the sidecar
)

// LocalEndpoint handles the keepalives of the local endpoint, which is the application instance on the same machine as this process.
type LocalEndpoint interface {
	// HandleReport handles a keepalive, or a deregistration (state Deregistered). It reports whether the sender is the local endpoint.
	HandleReport(e discovery.Endpoint) bool
}

// keepaliveServer serves the HTTP calls of endpoints. An endpoint calls the sidecar on its own machine. If it can't reach that sidecar, it
// calls any other process, which forwards the keepalive.
type keepaliveServer struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	publisher *recordPublisher
	local     LocalEndpoint // nil if there is no local endpoint
}

// handler returns the HTTP handler that routes the calls by method and path.
func (k *keepaliveServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/{id}/keepalive", k.serveKeepalive)
	mux.HandleFunc("POST /endpoints/{id}/deregister", k.serveDeregistration)
	return mux
}

// serveKeepalive handles a keepalive. The status is 413 if the body is too large or can't be read, 400 if it can't be parsed, and that of
// answer otherwise.
func (k *keepaliveServer) serveKeepalive(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKeepaliveBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	e, err := ParseKeepalive(r.PathValue("id"), body)
	if err != nil {
		k.log.WithField("peer", r.RemoteAddr).WithError(err).Warn("agent: rejected an invalid keepalive")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.answer(r.Context(), w, e)
}

// serveDeregistration handles a deregistration. The endpoint sends only its ID, in the path.
func (k *keepaliveServer) serveDeregistration(w http.ResponseWriter, r *http.Request) {
	k.answer(r.Context(), w, discovery.Endpoint{ID: r.PathValue("id"), State: discovery.Deregistered})
}

// handleForwarded delivers a keepalive that another process has received and forwarded.
func (k *keepaliveServer) handleForwarded(ctx context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	return &publishRequest{Accepted: k.deliver(ctx, p.Endpoint)}
}

// answer delivers or forwards a keepalive, and acknowledges it. Draining and deregistration are acknowledged only after the endpoint's own
// sidecar, or a registry owner in every zone, has accepted them. Otherwise the status is 503, and the endpoint calls another process.
func (k *keepaliveServer) answer(ctx context.Context, w http.ResponseWriter, endpoint discovery.Endpoint) {
	target := ""
	if !k.deliver(ctx, endpoint) {
		var accepted bool
		target, accepted = k.forward(ctx, endpoint)
		if !accepted && endpoint.State >= discovery.Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	text := "{}"
	if target != "" {
		text = `{"` + fieldKeepaliveTarget + `":"` + target + `"}`
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text) // the endpoint may have closed the connection
}

// deliver passes a keepalive to LocalEndpoint, and reports whether the sender is the local endpoint. If the endpoint is draining or has
// deregistered, deliver waits until a registry owner on another machine has the record (see awaitConfirmed), as the update would
// otherwise be lost if this process ended.
func (k *keepaliveServer) deliver(ctx context.Context, e discovery.Endpoint) bool {
	if k.local == nil || !k.local.HandleReport(e) {
		return false
	}
	if e.State >= discovery.Draining {
		k.publisher.awaitConfirmed(ctx, e.ID)
	}
	return true
}

// forward forwards a keepalive to the endpoint's own sidecar. If the sidecar does not accept it in time, forward publishes the record to
// the registry owners of the service on the sidecar's behalf. It reports whether the keepalive was accepted. If the sidecar has accepted
// it, target is the sidecar's control address, to which the endpoint is to send later keepalives; otherwise target is empty.
func (k *keepaliveServer) forward(ctx context.Context, record discovery.Endpoint) (target string, accepted bool) {
	if record.AppAddress == "" { // a deregistration has only an ID
		record = k.directory.completeRecord(record)
	}
	ip, _, err := net.SplitHostPort(record.AppAddress)
	if err != nil {
		return "", false
	}
	record.LeaseRemaining = forwardedRecordLease
	record.SidecarAddress = k.settings.PeerAddress(ip)
	if m, ok := k.members.memberAt(ip); ok {
		record.SidecarAddress = m.Address
		record.SidecarIncarnation = m.Incarnation
	}
	if k.forwardToSidecar(ctx, record) {
		return k.controlAddress(ip), true
	}
	// The endpoint may have cancelled its call during the request to the sidecar. The record is sent to the owners nevertheless.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepaliveForwardTimeout)
	defer cancel()
	return "", k.publisher.publishOnBehalf(ctx, record)
}

// forwardToSidecar forwards a keepalive to the endpoint's own sidecar. It reports whether the sidecar has accepted the keepalive within
// keepaliveForwardTimeout.
func (k *keepaliveServer) forwardToSidecar(ctx context.Context, e discovery.Endpoint) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, keepaliveForwardTimeout)
	defer cancel()
	answer, err := transport.Request[publishRequest](ctx, k.hub, e.SidecarAddress, methodKeepalive, &publishRequest{Endpoint: e})
	return err == nil && answer.Accepted
}

// controlAddress returns the control address of the process at an IP address, as all machines use the same ports.
func (k *keepaliveServer) controlAddress(ip string) string {
	_, port, _ := net.SplitHostPort(k.settings.ControlAddress) // no error: the parser of the settings has validated the address
	return net.JoinHostPort(ip, port)
}
