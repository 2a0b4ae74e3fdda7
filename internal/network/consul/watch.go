package consul

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"quincegap/internal/files/certfile"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/modules/endpointsource"
)

const (
	requestTimeout       = 10 * time.Second // for an answer to a question that Consul does not hold
	blockingSlack        = 2 * time.Second  // for a held one's answer to come, beyond wait and Consul's own jitter
	dialTimeout          = 2 * time.Second
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 10 * time.Second
	defaultFailbackDelay = time.Minute // to the first agent, after another one had to be asked
	pollInterval         = time.Second // where an agent gives no index to block on
	// restPerWork bounds the share of the time that goes into reading answers, as 1/(1+restPerWork): on one core
	// that time is taken from bookings.
	restPerWork = 4
)

// Watcher follows one service.
type Watcher struct {
	settings  Settings
	resolve   func(string) string
	qualified bool
	agents    []string
	clients   []*api.Client

	transports []*http.Transport
	// OnAnswer takes what an answer changes, Heard that one came that changes nothing. They must not block for long:
	// the next question waits for them.
	OnAnswer    func(endpointsource.ConsulAnswer)
	OnUnchanged func()

	known         map[string]endpointsource.Endpoint
	confirmation  confirmation
	logMu         sync.Mutex
	logged        map[string]time.Time // guarded by logMu
	askLeader     bool                 // the next question goes to the leader
	failbackAt    time.Time
	failbackDelay time.Duration // see defaultFailbackDelay
}

// New makes a watcher; resolve turns a path of the settings into one to open. Files are read when they are
// needed, but for those of TLS.
func New(s Settings, mode endpointsource.Mode, resolve func(string) string) (*Watcher, error) {
	w := &Watcher{
		settings: s, resolve: resolve, qualified: mode == endpointsource.ModeConsul, agents: s.agents(),
		known: map[string]endpointsource.Endpoint{}, logged: map[string]time.Time{}, failbackDelay: defaultFailbackDelay,
	}
	w.confirmation.watcher = w
	var conf *tls.Config
	scheme := "http"
	if s.TLS {
		scheme = "https"
		var err error
		if conf, err = w.tlsConfig(); err != nil {
			return nil, err
		}
	}
	for _, address := range w.agents {
		transport := &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig: conf, TLSHandshakeTimeout: dialTimeout, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
			IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 64 << 10, DisableCompression: true,
		}
		c, err := api.NewClient(&api.Config{
			Address: address, Scheme: scheme, HttpClient: &http.Client{Transport: &boundedTransport{transport}},
			Namespace: s.Namespace, Partition: s.Partition,
		})
		if err != nil {
			return nil, fmt.Errorf("consul agent %s: %w", address, err)
		}
		w.clients, w.transports = append(w.clients, c), append(w.transports, transport)
	}
	return w, nil
}

func (w *Watcher) tlsConfig() (*tls.Config, error) {
	c := &tls.Config{ServerName: w.settings.ServerName, MinVersion: tls.VersionTLS12}
	if w.settings.CAFile != "" {
		var err error
		if c.RootCAs, err = certfile.LoadPool(w.resolve(w.settings.CAFile)); err != nil {
			return nil, fmt.Errorf("consul.tls_ca_file: %w", err)
		}
	}
	if w.settings.CertFile != "" {
		// Read at each handshake: it may be replaced while running.
		get := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certfile.Load(w.resolve(w.settings.CertFile), w.resolve(w.settings.KeyFile))
		}
		if _, err := get(nil); err != nil {
			return nil, fmt.Errorf("consul.tls_cert_file: %w", err)
		}
		c.GetClientCertificate = get
	}
	return c, nil
}

// exchange goes with a question, in its context: the client library keeps neither the headers of an answer nor
// the token that it is given apart from the environment's.
type exchange struct {
	token      string
	header     http.Header
	receivedAt time.Time
	// decode reads the body of a good answer. The client library would read it in one go; on one core
	// bookings wait for as long as that takes, ten milliseconds at each of their steps.
	decode func(io.Reader) error
}

type exchangeKey struct{}

// boundedTransport is a RoundTripper that bounds answers.
type boundedTransport struct{ transport *http.Transport }

func (b *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, _ := r.Context().Value(exchangeKey{}).(*exchange)
	r = r.Clone(r.Context())
	r.Header.Del("X-Consul-Token")
	r.Header.Del("Authorization")
	if a != nil && a.token != "" {
		r.Header.Set("X-Consul-Token", a.token)
	}
	res, err := b.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if a != nil {
		a.header, a.receivedAt = res.Header, time.Now()
	}
	res.Body = &limitedBody{ReadCloser: res.Body, remaining: maxBodyBytes}
	if a == nil || res.StatusCode != http.StatusOK {
		return res, nil
	}
	err = a.decode(res.Body)
	res.Body.Close()
	if err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(strings.NewReader("null")) // there is nothing left to decode
	return res, nil
}

var errTooLarge = fmt.Errorf("the answer has more than %d MiB", maxBodyBytes>>20)

// decodeEach reads the elements of a JSON list one by one, and lets others run in between. A null is an empty list.
func decodeEach[T any](r io.Reader, most int, take func(*T)) error {
	d := json.NewDecoder(r)
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return errors.New("the answer is no list")
	}
	for n := 0; d.More(); n++ {
		var x T
		if err := d.Decode(&x); err != nil {
			return err
		}
		if n >= most {
			return fmt.Errorf("the answer has more than %d instances", most)
		}
		take(&x)
		runtime.Gosched()
	}
	_, err := d.Token()
	return err
}

// limitedBody fails where a body goes on beyond its bound.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

func (l *limitedBody) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.ReadCloser.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// answerMeta is what an answer's headers say.
type answerMeta struct {
	index       uint64
	hash        string
	knownLeader bool
	lastContact time.Duration
	receivedAt  time.Time // when its headers came: what follows is work
}

// query asks one agent; tags is what a filter calls the instances' tags there. wait of 0 asks for an answer at once.
func (w *Watcher) query(ctx context.Context, agent int, path, tags string, index uint64, hash string, wait time.Duration, mode Consistency, decode func(io.Reader) error) (m answerMeta, err error) {
	a := &exchange{decode: decode}
	if w.settings.TokenFile != "" {
		if a.token, err = secretfile.ReadToken(w.resolve(w.settings.TokenFile)); err != nil {
			return m, err
		}
	}
	limit := requestTimeout
	if index > 0 || hash != "" {
		limit = wait + wait/16 + blockingSlack // Consul adds up to a sixteenth itself
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, exchangeKey{}, a), limit)
	defer cancel()
	q := &api.QueryOptions{
		Datacenter: w.settings.Datacenter, Namespace: w.settings.Namespace, Partition: w.settings.Partition,
		AllowStale: mode == Stale, RequireConsistent: mode == Consistent, WaitIndex: index, WaitHash: hash,
	}
	if index > 0 || hash != "" {
		q.WaitTime = wait
	}
	if w.settings.Tag != "" {
		q.Filter = strconv.Quote(w.settings.Tag) + " in " + tags
	}
	var none any
	if _, err = w.clients[agent].Raw().Query(path, &none, q.WithContext(ctx)); err != nil {
		return m, err
	}
	m.receivedAt = a.receivedAt
	m.index, _ = strconv.ParseUint(a.header.Get("X-Consul-Index"), 10, 64)
	m.hash = a.header.Get("X-Consul-ContentHash")
	m.knownLeader = a.header.Get("X-Consul-KnownLeader") != "false"
	if ms, err := strconv.ParseInt(a.header.Get("X-Consul-LastContact"), 10, 64); err == nil && ms > 0 {
		m.lastContact = time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	return m, nil
}

// Run follows the service until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	agent, failures := 0, 0
	var index uint64
	var hash string
	defer func() {
		for _, t := range w.transports {
			t.CloseIdleConnections()
		}
	}()
	w.confirmation.start(ctx)
	defer w.confirmation.wait()
	first := true
	for ctx.Err() == nil {
		if agent != 0 && time.Now().After(w.failbackAt) {
			agent, index, hash = 0, 0, ""
		}
		mode := w.settings.Consistency
		if w.askLeader && mode == Stale {
			mode = Default
		}
		after, faults := map[string]endpointsource.Endpoint{}, []string(nil)
		wait := w.settings.Wait - rand.N(w.settings.Wait/8+1)
		path := "/v1/health/service/" + url.PathEscape(w.settings.Service)
		m, err := w.query(ctx, agent, path, "Service.Tags", index, hash, wait, mode, func(body io.Reader) error {
			return decodeEach(body, maxInstances, func(i *instance) { faults = w.settings.addEndpoint(after, i, w.qualified, faults) })
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			w.logOnce("agent "+w.agents[agent], "consul: agent %s: %s", w.agents[agent], errorText(err))
			agent, index, hash = (agent+1)%len(w.agents), 0, ""
			w.failbackAt = time.Now().Add(w.failbackDelay)
			// The next agent is asked at once; when all have failed there is a pause.
			if failures%len(w.agents) == 0 {
				pause(ctx, backoff(failures/len(w.agents)))
			}
			continue
		}
		if failures > 0 || first {
			log.Printf("consul: agent %s answers: %d instances of %s", w.agents[agent], len(after), w.settings.Service)
			w.resetLogged()
		}
		failures, first = 0, false
		w.handleAnswer(agent, after, faults, m)
		work := time.Since(m.receivedAt)
		switch next := nextIndex(index, m.index); {
		case m.index == 0 && m.hash != "":
			index, hash = 0, m.hash
		case m.index == 0:
			index, hash = 0, ""
			pause(ctx, pollInterval/2+rand.N(pollInterval))
		default:
			index, hash = next, ""
		}
		pause(ctx, max(w.settings.MinInterval, restPerWork*work))
	}
}

// handleAnswer reads an answer and tells what it changes. What it tells waits for nothing: an answer that lacks too
// many may hold the word that another one is critical.
func (w *Watcher) handleAnswer(agent int, after map[string]endpointsource.Endpoint, faults []string, m answerMeta) {
	for _, f := range faults {
		w.logOnce(f, "consul: %s", f)
	}
	a := diff(w.known, after)
	a.UnixMS = time.Now().UnixMilli()
	a.Untrusted = !m.knownLeader || m.lastContact > w.settings.MaxStaleness
	w.askLeader = a.Untrusted && m.knownLeader
	w.known = after
	if len(a.Changed) == 0 && len(a.Missing) == 0 {
		w.OnUnchanged()
		return
	}
	w.confirmation.observe(a, func() { w.OnAnswer(a) })
	const few = 2 // what membership believes at once, whatever its settings
	if len(a.Missing) > few || len(a.Missing) > 0 && (a.Untrusted || len(after) == 0) {
		w.confirmation.confirm(agent, a.Missing)
	}
}

// logOnce logs a line unless the same was logged within the last minute.
func (w *Watcher) logOnce(key, format string, args ...any) {
	const mostKeys = 1000
	text := fmt.Sprintf(format, args...)
	w.logMu.Lock()
	defer w.logMu.Unlock()
	if at, ok := w.logged[key+text]; ok && time.Since(at) < time.Minute {
		return
	}
	if len(w.logged) >= mostKeys {
		clear(w.logged)
	}
	w.logged[key+text] = time.Now()
	log.Print(text)
}

// resetLogged has what is said from here on logged, though it was logged before.
func (w *Watcher) resetLogged() {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	clear(w.logged)
}

// errorText words an error without what an agent may have put into it at length, and without the question's URL.
func errorText(err error) string {
	var status api.StatusError
	switch {
	case errors.As(err, &status):
		text := strings.ToValidUTF8(strings.Join(strings.Fields(status.Body), " "), "")
		if len(text) > 100 {
			text = strings.ToValidUTF8(text[:100], "") + "..."
		}
		return fmt.Sprintf("answered %d (%s)", status.Code, text)
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	}
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err.Error()
	}
	return err.Error()
}

// backoff is the pause after all agents have failed n times, with jitter.
func backoff(n int) time.Duration {
	d := minBackoff << min(n-1, 10)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
