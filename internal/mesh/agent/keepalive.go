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
	maxKeepaliveBytes       = 16 << 10               // bytes of a keepalive's body
	keepaliveForwardTimeout = 250 * time.Millisecond // for the endpoint's own sidecar to answer, and then for the registry owners
	forwardedRecordLease    = 9 * time.Second        // lease of the record of a keepalive that another process than the sidecar received
)

// LocalEndpoint is the endpoint beside this process.
type LocalEndpoint interface {
	// HandleReport handles a keepalive, or a deregistration (state Deregistered). It reports whether that came from the endpoint beside
	// this process.
	HandleReport(e discovery.Endpoint) bool
}

// keepaliveServer answers the calls of endpoints. An endpoint calls the sidecar beside it; if it can't reach the sidecar, it calls any
// other process, which forwards the keepalive.
type keepaliveServer struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	publisher *recordPublisher
	local     LocalEndpoint // may be nil
}

// handler returns the handler of the calls, by their paths.
func (k *keepaliveServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/{id}/keepalive", k.serveKeepalive)
	mux.HandleFunc("POST /endpoints/{id}/deregister", k.serveDeregistration)
	return mux
}

// serveKeepalive answers a keepalive: 413 if its body is too large or can't be read, 400 if the body can't be parsed.
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

// serveDeregistration answers an endpoint that deregisters. The ID in the path is all that it sends.
func (k *keepaliveServer) serveDeregistration(w http.ResponseWriter, r *http.Request) {
	k.answer(r.Context(), w, discovery.Endpoint{ID: r.PathValue("id"), State: discovery.Deregistered})
}

// handleForwarded delivers a keepalive that another process received.
func (k *keepaliveServer) handleForwarded(ctx context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
	return &publishRequest{Accepted: k.deliver(ctx, p.Endpoint)}
}

// answer acknowledges a keepalive. Draining and deregistration are acknowledged only once the endpoint's own sidecar, or a registry owner
// in every zone, has accepted them; the answer is 503 otherwise, and the endpoint calls another process.
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
	_, _ = io.WriteString(w, text) // the endpoint may have closed the connection
}

// deliver passes a keepalive to LocalEndpoint, and reports whether it came from the endpoint beside this process. If the endpoint is
// draining or has deregistered, deliver waits until a registry owner on another machine has the record: with this process alone the
// update would be lost if the process ended.
func (k *keepaliveServer) deliver(ctx context.Context, e discovery.Endpoint) bool {
	if k.local == nil || !k.local.HandleReport(e) {
		return false
	}
	if e.State >= discovery.Draining {
		k.publisher.awaitConfirmed(ctx, e.ID)
	}
	return true
}

// forward forwards a keepalive to the endpoint's own sidecar or, if the sidecar can't be reached, publishes its record to the registry
// owners of the service on the sidecar's behalf. It reports whether the keepalive was accepted. If the sidecar has accepted it, target is
// the sidecar's control address, to which the endpoint is to send later keepalives.
func (k *keepaliveServer) forward(ctx context.Context, record discovery.Endpoint) (target string, accepted bool) {
	if record.AppAddress == "" { // a deregistration, which has only an ID
		record = k.directory.complete(record)
	}
	ip, _, err := net.SplitHostPort(record.AppAddress)
	if err != nil {
		return "", false
	}
	record.LeaseRemaining = forwardedRecordLease
	record.SidecarAddress = k.settings.PeerAddress(ip)
	if m, ok := k.members.at(ip); ok {
		record.SidecarAddress = m.Address
		record.SidecarIncarnation = m.Incarnation
	}
	if k.forwardToSidecar(ctx, record) {
		return k.controlAddress(ip), true
	}
	// The endpoint may have given up its call while the sidecar was waited for. The owners are to get the record nevertheless.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepaliveForwardTimeout)
	defer cancel()
	return "", k.publisher.publishOnBehalf(ctx, record)
}

// forwardToSidecar reports whether the endpoint's own sidecar has accepted a keepalive in time.
func (k *keepaliveServer) forwardToSidecar(ctx context.Context, e discovery.Endpoint) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, keepaliveForwardTimeout)
	defer cancel()
	answer, err := transport.Request[publishRequest](ctx, k.hub, e.SidecarAddress, methodKeepalive, &publishRequest{Endpoint: e})
	return err == nil && answer.Accepted
}

// controlAddress returns the control address of the process at an IP address: all machines have the same ports.
func (k *keepaliveServer) controlAddress(ip string) string {
	_, port, _ := net.SplitHostPort(k.settings.ControlAddress) // checked when the settings were parsed
	return net.JoinHostPort(ip, port)
}
