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
	maxKeepaliveBytes       = 16 << 10 // of a body
	keepaliveForwardTimeout = 250 * time.Millisecond
	forwardedRecordLease    = 9 * time.Second // of a record made from a keepalive that another process received
)

// LocalEndpoint is the endpoint beside this process.
type LocalEndpoint interface {
	// Keepalive takes a keepalive, or a deregistration (state Deregistered). It reports false if that is not of the endpoint beside this
	// process.
	Keepalive(e discovery.Endpoint) bool
}

// keepaliveServer answers the calls of endpoints. An endpoint calls the sidecar beside it; if it can't reach that, it calls any other
// process, which forwards the keepalive.
type keepaliveServer struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	publisher *recordPublisher
	local     LocalEndpoint // may be nil
}

// handler serves the calls by their paths.
func (k *keepaliveServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/{id}/keepalive", k.serveKeepalive)
	mux.HandleFunc("POST /endpoints/{id}/deregister", k.serveDeregistration)
	return mux
}

// serveKeepalive answers a keepalive; 400 and 413 say that its body can't be used.
func (k *keepaliveServer) serveKeepalive(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKeepaliveBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	e, err := ParseKeepalive(r.PathValue("id"), body)
	if err != nil {
		k.log.WithField("peer", r.RemoteAddr).WithError(err).Warn("agent: a keepalive can't be used")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.answer(r.Context(), w, e)
}

// serveDeregistration answers an endpoint that ends in order. Its id is all that it sends.
func (k *keepaliveServer) serveDeregistration(w http.ResponseWriter, r *http.Request) {
	k.answer(r.Context(), w, discovery.Endpoint{ID: r.PathValue("id"), State: discovery.Deregistered})
}

// handleForwarded delivers a keepalive that another process received.
func (k *keepaliveServer) handleForwarded(ctx context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	return &publishRequest{Accepted: k.deliver(ctx, p.Endpoint)}
}

// answer acknowledges a keepalive. That an endpoint leaves is acknowledged only once its sidecar, or registry owners in every zone, have
// taken it; the answer is 503 otherwise, and the endpoint calls another process.
func (k *keepaliveServer) answer(ctx context.Context, w http.ResponseWriter, e discovery.Endpoint) {
	target := ""
	if !k.deliver(ctx, e) {
		var accepted bool
		target, accepted = k.forward(ctx, e)
		if !accepted && e.State >= discovery.Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	text := "{}"
	if target != "" {
		text = `{"` + fieldKeepaliveTarget + `":"` + target + `"}`
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text) // an endpoint that has gone away gets none
}

// deliver hands a keepalive to the endpoint beside this process; false if it is not that endpoint's. One that leaves is acknowledged
// only once another machine knows: else the update would be lost with this process.
func (k *keepaliveServer) deliver(ctx context.Context, e discovery.Endpoint) bool {
	if k.local == nil || !k.local.Keepalive(e) {
		return false
	}
	if e.State >= discovery.Draining {
		k.publisher.awaitConfirmed(ctx, e.ID)
	}
	return true
}

// forward forwards a keepalive that this process received to the endpoint's own sidecar, or, if that can't be reached, publishes it
// to the registry owners of the service on the sidecar's behalf. It reports whether the keepalive was accepted; if the own sidecar has
// accepted it, target is the control address of that, for later keepalives.
func (k *keepaliveServer) forward(ctx context.Context, e discovery.Endpoint) (target string, accepted bool) {
	if e.AppAddress == "" { // deregistered: only its id is known
		e = k.directory.complete(e)
	}
	ip, _, err := net.SplitHostPort(e.AppAddress)
	if err != nil {
		return "", false
	}
	e.LeaseRemaining = forwardedRecordLease
	e.SidecarAddress = k.settings.PeerAddress(ip)
	if m, ok := k.members.at(ip); ok {
		e.SidecarAddress = m.Address
		e.SidecarIncarnation = m.Incarnation
	}
	if k.forwardToSidecar(ctx, e) {
		return k.controlAddress(ip), true
	}
	// The time that the sidecar was given may have used up the endpoint's call; the owners are to know nevertheless.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepaliveForwardTimeout)
	defer cancel()
	return "", k.publisher.publishOnBehalf(ctx, e)
}

// forwardToSidecar reports whether the endpoint's own sidecar has accepted a keepalive in time.
func (k *keepaliveServer) forwardToSidecar(ctx context.Context, e discovery.Endpoint) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, keepaliveForwardTimeout)
	defer cancel()
	answer, err := transport.Request[publishRequest](ctx, k.hub, e.SidecarAddress, methodKeepalive, &publishRequest{Endpoint: e})
	return err == nil && answer.Accepted
}

// controlAddress is the control address of the process at an IP address: all machines have the same ports.
func (k *keepaliveServer) controlAddress(ip string) string {
	_, port, _ := net.SplitHostPort(k.settings.ControlAddress) // checked when the settings were parsed
	return net.JoinHostPort(ip, port)
}
