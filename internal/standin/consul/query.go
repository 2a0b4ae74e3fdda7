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

// Resources that can be read, as named in the path.
const (
	resourceHealth  = "health"
	resourceCatalog = "catalog"
)

// Default and maximum time that a query blocks. Like Consul, the server adds a random delay of up to a sixteenth of it.
const (
	defaultWait   = 5 * time.Minute
	maxWait       = 10 * time.Minute
	jitterDivisor = 16
)

// query is the parsed request for the instances of one service.
type query struct {
	resource string
	service  string
	index    uint64        // the query blocks while this is the newest index; 0 for a query that does not block
	hash     string        // the query blocks while this is the newest content hash; empty for none
	wait     time.Duration // maximum time to block
	stale    bool          // the client accepts a stale response
}

// parseQuery parses a URL such as /v1/health/service/NAME. It returns false if the path is not a supported one.
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

// unchanged reports whether the client already has the content of the view, in which case the query blocks.
func (q *query) unchanged(view *serverView) bool {
	if q.hash != "" && q.hash == contentHash(view.index) {
		return true
	}
	return q.index > 0 && view.index <= q.index && view.fault.IndexBack == 0
}

// hangs reports whether a fault withholds the response to the query.
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
	deadline := time.NewTimer(query.wait + rand.N(query.wait/jitterDivisor+1))
	defer deadline.Stop()
	for {
		view := s.currentView()
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

// answer writes the response for a view, with the view's faults applied.
func (s *Server) answer(w http.ResponseWriter, query *query, view *serverView) {
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
		_, _ = w.Write(body[:len(body)/2])        // errors are ignored: the connection is reset next,
		_ = http.NewResponseController(w).Flush() // after half of the body has been sent
		panic(http.ErrAbortHandler)
	case fault.Truncate:
		_, _ = w.Write(body[:len(body)/2]) // fails if the client has disconnected
	default:
		_, _ = w.Write(body) // fails if the client has disconnected
		if query.resource == resourceHealth {
			s.recordAnswer(view.index)
		}
	}
}

// instances returns the instances of the queried service that remain in the response under the view's fault.
func (q *query) instances(view *serverView) []Instance {
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

// writeHeader sets the header fields that Consul sends with a list.
func writeHeader(header http.Header, query *query, view *serverView) {
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
