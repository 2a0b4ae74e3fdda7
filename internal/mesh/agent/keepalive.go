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

	"gingerlead/internal/mesh/discovery"
	"gingerlead/internal/mesh/transport"
)

const (
	beatMost   = 16 << 10 // bytes of a beat
	passOnMost = 250 * time.Millisecond
)

// Stage is the endpoint beside this process, as beats tell of it.
type Stage interface {
	// Beat takes a beat, or a deregistration (State Gone); false if it is not of the endpoint beside this process.
	Keepalive(e discovery.Endpoint) bool
}

// ReadBeat reads a beat's body. The error names each field that can't be used.
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
	e.Service, e.App, e.Zone = text("serviceName"), text("address"), root.Get("zone").String()
	e.Slots, e.Sequence = int(min(number("slotCount"), 1<<20)), uint64(number("callSequence"))
	if _, _, err := net.SplitHostPort(e.App); err != nil {
		faults = append(faults, "address: wanted one like 10.0.0.4:8080")
	}
	switch state := text("state"); state {
	case "in_service":
	case "draining":
		e.State = discovery.Draining
	default:
		faults = append(faults, "state: wanted in_service or draining")
	}
	if cold := root.Get("coldRemaining"); cold.Exists() {
		d, err := time.ParseDuration(cold.String())
		if err != nil || d < 0 {
			faults = append(faults, "coldRemaining: wanted a time like 1500ms")
		}
		e.Cold = min(d, time.Hour)
	}
	if len(faults) > 0 {
		return e, trace.BadParameter("%s", strings.Join(faults, "; "))
	}
	return e, nil
}

// Beats serves the calls of endpoints. stage is the endpoint beside this process; nil where there is none.
func (c *Agent) KeepaliveHandler(stage Stage) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /endpoints/{id}/keepalive", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, beatMost))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		e, err := ParseKeepalive(q.PathValue("id"), body)
		if err != nil {
			c.o.Log.WithField("peer", q.RemoteAddr).Warn("agent: beat: " + err.Error())
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.answerKeepalive(w, q.Context(), stage, e)
	})
	mux.HandleFunc("POST /endpoints/{id}/deregister", func(w http.ResponseWriter, q *http.Request) {
		c.answerKeepalive(w, q.Context(), stage, discovery.Endpoint{ID: q.PathValue("id"), State: discovery.Gone})
	})
	if stage != nil {
		transport.Handle(c.o.Hub, methodKeepalive, func(_ context.Context, _ *transport.Hello, p *published) *published {
			return &published{Taken: stage.Keepalive(p.Endpoint)}
		})
	}
	return mux
}

func (c *Agent) answerKeepalive(w http.ResponseWriter, ctx context.Context, stage Stage, e discovery.Endpoint) {
	target := ""
	if stage == nil || !stage.Keepalive(e) {
		target = c.forwardKeepalive(ctx, e)
	}
	w.Header().Set("Content-Type", "application/json")
	if target != "" {
		_, _ = io.WriteString(w, `{"keepaliveTarget":"`+target+`"}`)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// bringOn brings a beat that this process has taken to the endpoint's own sidecar and to the service's homes. It gives the
// address at which later beats are better off, if the own sidecar has it.
func (c *Agent) forwardKeepalive(ctx context.Context, e discovery.Endpoint) (target string) {
	if e.App == "" { // deregistered: only its id is known
		c.mu.Lock()
		for _, x := range c.registry.All(c.o.Hub.Now()) {
			if x.ID == e.ID {
				state := e.State
				e, e.State = x, state
			}
		}
		c.mu.Unlock()
	}
	ip, _, err := net.SplitHostPort(e.App)
	if err != nil {
		return ""
	}
	e.Host, e.Lease = c.o.Settings.Peer(ip), 9*time.Second
	if m, ok := c.At(ip); ok {
		e.Host, e.HostLife = m.Address, m.Life
	}
	ctx, cancel := context.WithTimeout(ctx, passOnMost)
	defer cancel()
	a, err := transport.Request[published](ctx, c.o.Hub, e.Host, methodKeepalive, &published{Endpoint: e})
	if err == nil && a.Taken {
		_, port, _ := net.SplitHostPort(c.o.Settings.Control)
		return net.JoinHostPort(ip, port)
	}
	c.PassOn(e)
	return ""
}
