package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport"
)

const (
	maxKeepaliveBytes       = 16 << 10 // bytes of a body
	keepaliveForwardTimeout = 250 * time.Millisecond
	forwardedRecordLease    = 9 * time.Second // of a record made from a keepalive that another process received
)

// Fields of a keepalive's body, and of its answer.
const (
	fieldService         = "serviceName"
	fieldAddress         = "address"
	fieldZone            = "zone"
	fieldSlots           = "slotCount"
	fieldSequence        = "callSequence"
	fieldState           = "state"
	fieldSlowStart       = "coldRemaining"
	fieldKeepaliveTarget = "keepaliveTarget"
)

// LocalEndpoint is the endpoint beside this process.
type LocalEndpoint interface {
	// Keepalive takes a keepalive, or a deregistration (State Gone); false if it is not of the endpoint beside this process.
	Keepalive(e discovery.Endpoint) bool
}

// ParseKeepalive reads the body of a keepalive. The error names each field that can't be used.
func ParseKeepalive(id string, body []byte) (discovery.Endpoint, error) {
	e := discovery.Endpoint{ID: id}
	if !gjson.ValidBytes(body) {
		return e, trace.BadParameter("not JSON")
	}
	root := gjson.ParseBytes(body)
	var faults []string
	text := func(path string) string {
		x := root.Get(path)
		if x.Type != gjson.String || x.String() == "" || len(x.String()) > 256 {
			faults = append(faults, path+": wanted a text")
		}
		return x.String()
	}
	number := func(path string) int64 {
		x := root.Get(path)
		if x.Type != gjson.Number || x.Int() < 0 {
			faults = append(faults, path+": wanted a number that is not negative")
		}
		return x.Int()
	}
	e.Service, e.AppAddress, e.Zone = text(fieldService), text(fieldAddress), root.Get(fieldZone).String()
	e.Slots, e.Sequence = int(min(number(fieldSlots), 1<<20)), uint64(number(fieldSequence))
	if _, _, err := net.SplitHostPort(e.AppAddress); err != nil {
		faults = append(faults, fieldAddress+": wanted one like 10.0.0.4:8080")
	}
	switch state := text(fieldState); state {
	case StateInService:
	case StateDraining:
		e.State = discovery.Draining
	default:
		faults = append(faults, fieldState+": wanted "+StateInService+" or "+StateDraining)
	}
	if cold := root.Get(fieldSlowStart); cold.Exists() {
		d, err := time.ParseDuration(cold.String())
		if err != nil || d < 0 {
			faults = append(faults, fieldSlowStart+": wanted a time like 1500ms")
		}
		e.WarmupRemaining = min(d, time.Hour)
	}
	if len(faults) > 0 {
		return e, trace.BadParameter("%s", strings.Join(faults, "; "))
	}
	return e, nil
}

// KeepaliveHandler serves the calls of endpoints. local is the endpoint beside this process; nil where there is none.
func (a *Agent) KeepaliveHandler(local LocalEndpoint) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/{id}/keepalive", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxKeepaliveBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		e, err := ParseKeepalive(q.PathValue("id"), body)
		if err != nil {
			a.config.Log.WithField("peer", q.RemoteAddr).WithError(err).Warn("agent: a keepalive can't be used")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.answerKeepalive(w, q.Context(), local, e)
	})
	mux.HandleFunc("POST /endpoints/{id}/deregister", func(w http.ResponseWriter, q *http.Request) {
		a.answerKeepalive(w, q.Context(), local, discovery.Endpoint{ID: q.PathValue("id"), State: discovery.Deregistered})
	})
	if local != nil {
		transport.Handle(a.config.Hub, methodKeepalive, func(ctx context.Context, _ *transport.Hello, p *publishRequest) *publishRequest {
			return &publishRequest{Accepted: a.deliverKeepalive(ctx, local, p.Endpoint)}
		})
	}
	return mux
}

// deliverKeepalive hands a keepalive to the endpoint beside this process; false if it is not that endpoint's. One that leaves may be told so
// only once another machine knows: else the news would be lost with this process.
func (a *Agent) deliverKeepalive(ctx context.Context, local LocalEndpoint, e discovery.Endpoint) bool {
	if !local.Keepalive(e) {
		return false
	}
	if e.State >= discovery.Draining {
		a.AwaitConfirmed(ctx, e.ID)
	}
	return true
}

// answerKeepalive acknowledges a keepalive. That an endpoint leaves is acknowledged only if whoever has to know it will: the endpoint
// calls another process otherwise.
func (a *Agent) answerKeepalive(w http.ResponseWriter, ctx context.Context, local LocalEndpoint, e discovery.Endpoint) {
	target := ""
	if local == nil || !a.deliverKeepalive(ctx, local, e) {
		var taken bool
		if target, taken = a.forwardKeepalive(ctx, e); !taken && e.State >= discovery.Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if target != "" {
		_, _ = io.WriteString(w, `{"`+fieldKeepaliveTarget+`":"`+target+`"}`)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// forwardKeepalive passes a keepalive that this process received on to the endpoint's own sidecar, or, if that can't be reached,
// to the homes of the service. It gives the own sidecar's address for later keepalives, if that has taken this one, and tells
// whether the keepalive was taken.
func (a *Agent) forwardKeepalive(ctx context.Context, e discovery.Endpoint) (target string, taken bool) {
	if e.AppAddress == "" { // deregistered: only its id is known
		e = a.knownEndpoint(e)
	}
	ip, _, err := net.SplitHostPort(e.AppAddress)
	if err != nil {
		return "", false
	}
	e.SidecarAddress, e.LeaseRemaining = a.config.Settings.PeerAddress(ip), forwardedRecordLease
	if m, ok := a.MemberAt(ip); ok {
		e.SidecarAddress, e.SidecarIncarnation = m.Address, m.Incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, keepaliveForwardTimeout)
	defer cancel()
	answer, err := transport.Request[publishRequest](ctx, a.config.Hub, e.SidecarAddress, methodKeepalive, &publishRequest{Endpoint: e})
	if err == nil && answer.Accepted {
		_, port, _ := net.SplitHostPort(a.config.Settings.ControlAddress)
		return net.JoinHostPort(ip, port), true
	}
	ctx, cancelHomes := context.WithTimeout(context.WithoutCancel(ctx), keepaliveForwardTimeout)
	defer cancelHomes()
	return "", a.PublishOnBehalf(ctx, e)
}

// knownEndpoint completes a deregistration with what is known of its endpoint.
func (a *Agent) knownEndpoint(e discovery.Endpoint) discovery.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, known := range a.registry.All(a.config.Hub.Now()) {
		if known.ID == e.ID {
			known.State = e.State
			return known
		}
	}
	return e
}
