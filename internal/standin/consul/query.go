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
func (q *query) unchanged(v *view) bool {
	if q.hash != "" && q.hash == contentHash(v.index) {
		return true
	}
	return q.index > 0 && v.index <= q.index && v.fault.IndexBack == 0
}

// hangs reports whether a fault keeps a query from being answered.
func (q *query) hangs(f *Fault) bool {
	return f.Hang || f.CatalogHangs && q.resource == resourceCatalog
}

// ServeHTTP answers GET /v1/health/service/:service and /v1/catalog/service/:service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, ok := parseQuery(r.URL)
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.queries[q.resource]++
	s.mu.Unlock()
	deadline := time.NewTimer(q.wait + rand.N(q.wait/jitterDivide+1))
	defer deadline.Stop()
	for {
		v := s.view()
		if v.token != "" && r.Header.Get("X-Consul-Token") != v.token {
			http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
			return
		}
		limit := deadline.C
		if q.hangs(&v.fault) {
			limit = nil
		} else if !q.unchanged(&v) {
			s.answer(w, &q, &v)
			return
		}
		select {
		case <-v.changed:
		case <-limit:
			s.answer(w, &q, &v)
			return
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

// answer writes the answer of a view, with its faults.
func (s *Server) answer(w http.ResponseWriter, q *query, v *view) {
	fault := &v.fault
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	if fault.Status != 0 {
		http.Error(w, "as the script says", fault.Status)
		return
	}
	writeHeader(w.Header(), q, v)
	body := []byte(fault.Body)
	if fault.Body == "" || q.resource == resourceCatalog && fault.CatalogUnaffected {
		body = encode(q.resource, q.instances(v))
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
		if q.resource == resourceHealth {
			s.recordAnswer(v.index)
		}
	}
}

// instances returns the instances of the service that the fault leaves.
func (q *query) instances(v *view) []Instance {
	all := slices.DeleteFunc(slices.Clone(v.instances), func(i Instance) bool { return i.Service != "" && i.Service != q.service })
	if q.resource == resourceCatalog && v.fault.CatalogUnaffected {
		return all
	}
	if v.fault.Empty {
		return nil
	}
	if v.fault.FirstHalf {
		return all[:len(all)/2]
	}
	return all
}

// writeHeader sets the fields that Consul sends with a list.
func writeHeader(header http.Header, q *query, v *view) {
	fault := &v.fault
	header.Set("Content-Type", "application/json")
	switch {
	case fault.ContentHash:
		header.Set("X-Consul-ContentHash", contentHash(v.index))
	case !fault.NoIndex:
		header.Set("X-Consul-Index", strconv.FormatUint(v.index, 10))
	}
	header.Set("X-Consul-KnownLeader", strconv.FormatBool(!fault.NoLeader))
	contact := fault.LastContact
	if !q.stale {
		contact = 0
	}
	header.Set("X-Consul-LastContact", strconv.FormatInt(contact.Milliseconds(), 10))
}
