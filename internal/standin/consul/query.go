package consul

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The resources that can be read, as the path names them.
const (
	resourceHealth  = "health"
	resourceCatalog = "catalog"
)

// How long a query blocks by default, and at most. Consul adds up to a sixteenth.
const (
	defaultWait  = 5 * time.Minute
	maxWait      = 10 * time.Minute
	jitterDivide = 16
)

// query is one read of a service.
type query struct {
	resource string
	service  string
	index    uint64 // block while it is the newest; 0 to not block
	hash     string // the same, by content hash
	wait     time.Duration
	stale    bool
}

// parseQuery reads a path like /v1/health/service/NAME; false if it is none that is served.
func parseQuery(u *url.URL) (query, bool) {
	parts := strings.Split(strings.Trim(u.Path, "/"), "/")
	if len(parts) != 4 || parts[0] != "v1" || parts[2] != "service" {
		return query{}, false
	}
	q := query{resource: parts[1], service: parts[3]}
	if q.resource != resourceHealth && q.resource != resourceCatalog {
		return query{}, false
	}
	values := u.Query()
	if index, err := strconv.ParseUint(values.Get("index"), 10, 64); err == nil {
		q.index = index
	}
	wait, err := time.ParseDuration(values.Get("wait"))
	if err != nil || wait <= 0 {
		wait = defaultWait
	}
	q.wait = min(wait, maxWait)
	q.hash = values.Get("hash")
	q.stale = values.Has("stale")
	return q, true
}

// unchanged reports whether the client has the view already, so that the query blocks.
func (q *query) unchanged(view *view) bool {
	if q.hash != "" && q.hash == contentHash(view.index) {
		return true
	}
	return q.index > 0 && view.index <= q.index && view.fault.IndexBack == 0
}

// hangs reports whether a fault keeps a query from being answered.
func (q *query) hangs(f *Fault) bool {
	return f.Hang || f.CatalogHangs && q.resource == resourceCatalog
}

// ServeHTTP answers GET /v1/health/service/:service and /v1/catalog/service/:service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query, ok := parseQuery(r.URL)
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.queries[query.resource]++
	s.mu.Unlock()
	deadline := time.NewTimer(query.wait + rand.N(query.wait/jitterDivide+1))
	defer deadline.Stop()
	for {
		view := s.view()
		if view.token != "" && r.Header.Get("X-Consul-Token") != view.token {
			http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
			return
		}
		limit := deadline.C
		if query.hangs(&view.fault) {
			limit = nil
		} else if !query.unchanged(&view) {
			s.answer(w, &query, &view)
			return
		}
		select {
		case <-view.changed:
		case <-limit:
			s.answer(w, &query, &view)
			return
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

// answer writes the answer of a view, with its faults.
func (s *Server) answer(w http.ResponseWriter, query *query, view *view) {
	fault := &view.fault
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	if fault.Status != 0 {
		http.Error(w, "as the script says", fault.Status)
		return
	}
	writeHeader(w.Header(), query, view)
	body := []byte(fault.Body)
	if fault.Body == "" || query.resource == resourceCatalog && fault.CatalogUnaffected {
		body = encode(query.resource, query.instances(view))
	}
	switch {
	case fault.Reset:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])        // the connection is about to be reset in any case,
		_ = http.NewResponseController(w).Flush() // once half of the answer is out
		panic(http.ErrAbortHandler)
	case fault.Truncate:
		_, _ = w.Write(body[:len(body)/2]) // a caller that has gone misses it either way
	default:
		_, _ = w.Write(body) // the same
		if query.resource == resourceHealth {
			s.recordAnswer(view.index)
		}
	}
}

// instances returns the instances of the service that the fault leaves.
func (q *query) instances(view *view) []Instance {
	all := slices.DeleteFunc(slices.Clone(view.instances), func(i Instance) bool { return i.Service != "" && i.Service != q.service })
	if q.resource == resourceCatalog && view.fault.CatalogUnaffected {
		return all
	}
	if view.fault.Empty {
		return nil
	}
	if view.fault.FirstHalf {
		return all[:len(all)/2]
	}
	return all
}

// writeHeader sets the fields that Consul sends with a list.
func writeHeader(header http.Header, query *query, view *view) {
	fault := &view.fault
	header.Set("Content-Type", "application/json")
	switch {
	case fault.ContentHash:
		header.Set("X-Consul-ContentHash", contentHash(view.index))
	case !fault.NoIndex:
		header.Set("X-Consul-Index", strconv.FormatUint(view.index, 10))
	}
	header.Set("X-Consul-KnownLeader", strconv.FormatBool(!fault.NoLeader))
	contact := fault.LastContact
	if !query.stale {
		contact = 0
	}
	header.Set("X-Consul-LastContact", strconv.FormatInt(contact.Milliseconds(), 10))
}
