package consul

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"quincegap/internal/files/certfile"
	"quincegap/internal/files/secretfile"
)

const (
	requestTimeout  = 10 * time.Second // of a query that Consul answers at once
	blockingSlack   = 2 * time.Second  // time for the answer to a blocking query, beyond wait and Consul's own jitter
	dialTimeout     = 2 * time.Second
	idleTimeout     = time.Minute
	maxHeaderBytes  = 64 << 10
	maxBodyBytes    = 64 << 20 // of one answer
	maxAgentConns   = 2        // to one agent: a blocking query for health and one for the catalogue
	consulJitter    = 16       // Consul blocks for up to a sixteenth longer than asked
	maxErrorBytes   = 100      // of an agent's error in a log line
	maxReportedLast = time.Hour
)

// The headers of Consul's API, "Blocking Queries" and "Consistency Modes".
const (
	headerToken       = "X-Consul-Token"
	headerIndex       = "X-Consul-Index"
	headerHash        = "X-Consul-ContentHash"
	headerKnownLeader = "X-Consul-KnownLeader"
	headerLastContact = "X-Consul-LastContact"
)

var (
	// ErrNoAgents is returned by Find if the settings name no agent.
	ErrNoAgents = errors.New("consul.agents names none")
	// errTooLarge ends the reading of an answer.
	errTooLarge = fmt.Errorf("the answer has more than %d MiB", maxBodyBytes>>20)
	errNoList   = errors.New("the answer is no list")
)

// AgentError is the failure of a query to one agent.
type AgentError struct {
	Agent string // host:port
	Err   error
}

// Error returns a text for operators; it contains neither the URL of the query nor a token.
func (a *AgentError) Error() string { return "consul agent " + a.Agent + ": " + errorText(a.Err) }

// Unwrap returns the client library's error.
func (a *AgentError) Unwrap() error { return a.Err }

// agent is one Consul agent and the connections to it.
type agent struct {
	address   string
	client    *api.Client
	transport *http.Transport
}

// client queries the agents that the settings name.
type client struct {
	settings Settings
	resolve  func(string) string // turns a path of the settings into one to open
	agents   []agent
}

func newClient(settings Settings, resolve func(string) string) (*client, error) {
	c := &client{settings: settings, resolve: resolve}
	var tlsConfig *tls.Config
	scheme := "http"
	if settings.TLS {
		scheme = "https"
		var err error
		if tlsConfig, err = c.tlsConfig(); err != nil {
			return nil, err
		}
	}
	for _, address := range settings.agents() {
		transport := &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:        tlsConfig,
			TLSHandshakeTimeout:    dialTimeout,
			MaxIdleConnsPerHost:    1,
			MaxConnsPerHost:        maxAgentConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}
		library, err := api.NewClient(&api.Config{
			Address:    address,
			Scheme:     scheme,
			HttpClient: &http.Client{Transport: &boundedTransport{transport}},
			Namespace:  settings.Namespace,
			Partition:  settings.Partition,
		})
		if err != nil {
			return nil, fmt.Errorf("consul agent %s: %w", address, err)
		}
		c.agents = append(c.agents, agent{address: address, client: library, transport: transport})
	}
	return c, nil
}

// tlsConfig reads the files of TLS: the certificate authority once, the client's certificate at each handshake, since it may be
// replaced while the program runs.
func (c *client) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{ServerName: c.settings.ServerName, MinVersion: tls.VersionTLS12}
	if c.settings.CAFile != "" {
		var err error
		if config.RootCAs, err = certfile.LoadPool(c.resolve(c.settings.CAFile)); err != nil {
			return nil, fmt.Errorf("consul.tls_ca_file: %w", err)
		}
	}
	if c.settings.CertFile != "" {
		load := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certfile.Load(c.resolve(c.settings.CertFile), c.resolve(c.settings.KeyFile))
		}
		if _, err := load(nil); err != nil {
			return nil, fmt.Errorf("consul.tls_cert_file: %w", err)
		}
		config.GetClientCertificate = load
	}
	return config, nil
}

// closeIdle closes the connections that no query uses.
func (c *client) closeIdle() {
	for i := range c.agents {
		c.agents[i].transport.CloseIdleConnections()
	}
}

// question is one query. Without an index and a hash it is answered at once, otherwise after a change or after wait.
type question struct {
	path        string
	tagsField   string // the field of the instances' tags in a filter expression
	index       uint64
	hash        string
	wait        time.Duration
	consistency Consistency
}

func (q *question) blocks() bool { return q.index > 0 || q.hash != "" }

// timeout returns the time after which an agent that has not answered has failed.
func (q *question) timeout() time.Duration {
	if q.blocks() {
		return q.wait + q.wait/consulJitter + blockingSlack
	}
	return requestTimeout
}

// answerMeta has the values of an answer's headers.
type answerMeta struct {
	index       uint64        // 0 for none
	hash        string        // empty for none
	knownLeader bool          // true unless the answer denies it
	lastContact time.Duration // since the server last heard of its leader
	receivedAt  time.Time     // when the headers were received; the time since then was spent on decoding
}

// query sends a query to one agent. decode reads the body of a good answer.
func (c *client) query(ctx context.Context, a *agent, q question, decode func(io.Reader) error) (answerMeta, error) {
	e := &exchange{decode: decode}
	if c.settings.TokenFile != "" {
		var err error
		if e.token, err = secretfile.ReadToken(c.resolve(c.settings.TokenFile)); err != nil {
			return answerMeta{}, err
		}
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, exchangeKey{}, e), q.timeout())
	defer cancel()
	options := &api.QueryOptions{
		Datacenter:        c.settings.Datacenter,
		Namespace:         c.settings.Namespace,
		Partition:         c.settings.Partition,
		AllowStale:        q.consistency == Stale,
		RequireConsistent: q.consistency == Consistent,
		WaitIndex:         q.index,
		WaitHash:          q.hash,
	}
	if q.blocks() {
		options.WaitTime = q.wait
	}
	if c.settings.Tag != "" {
		options.Filter = strconv.Quote(c.settings.Tag) + " in " + q.tagsField
	}
	var none any // the body is decoded by the exchange
	if _, err := a.client.Raw().Query(q.path, &none, options.WithContext(ctx)); err != nil {
		return answerMeta{}, err
	}
	return e.meta(), nil
}

// exchange passes a query's token to boundedTransport, and the answer's headers back, in the query's context: the client library exposes
// no headers, and does not keep the token that it is given apart from the environment's.
type exchange struct {
	token      string
	header     http.Header
	receivedAt time.Time
	// decode reads the body. The client library would decode it without a pause; on one core requests would wait for that at each
	// of their steps, ten milliseconds each time.
	decode func(io.Reader) error
}

// exchangeKey is the context key of an exchange.
type exchangeKey struct{}

// meta parses the headers. A header that is malformed counts as missing.
func (e *exchange) meta() answerMeta {
	m := answerMeta{
		hash:        e.header.Get(headerHash),
		knownLeader: e.header.Get(headerKnownLeader) != "false",
		receivedAt:  e.receivedAt,
	}
	m.index, _ = strconv.ParseUint(e.header.Get(headerIndex), 10, 64) // 0 on an error
	if ms, err := strconv.ParseInt(e.header.Get(headerLastContact), 10, 64); err == nil && ms > 0 {
		m.lastContact = time.Duration(min(ms, maxReportedLast.Milliseconds())) * time.Millisecond
	}
	return m
}

// boundedTransport is a RoundTripper that bounds answers, and sends no other token than the exchange's.
type boundedTransport struct{ transport *http.Transport }

// RoundTrip decodes the body of a good answer, and leaves a JSON null in its place for the client library.
func (b *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	e, _ := r.Context().Value(exchangeKey{}).(*exchange)
	r = r.Clone(r.Context())
	r.Header.Del(headerToken)
	r.Header.Del("Authorization")
	if e != nil && e.token != "" {
		r.Header.Set(headerToken, e.token)
	}
	res, err := b.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = &limitedBody{ReadCloser: res.Body, remaining: maxBodyBytes}
	if e == nil {
		return res, nil
	}
	e.header = res.Header
	e.receivedAt = time.Now()
	if res.StatusCode != http.StatusOK {
		return res, nil
	}
	err = e.decode(res.Body)
	_ = res.Body.Close() // the body has been decoded, or decoding has failed
	if err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(strings.NewReader("null"))
	return res, nil
}

// limitedBody is a body that returns errTooLarge when it exceeds its bound.
type limitedBody struct {
	io.ReadCloser
	remaining int64 // bytes
}

// Read reads at most the bytes that remain.
func (l *limitedBody) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.ReadCloser.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// decodeEach decodes the elements of a JSON list one by one, and lets other goroutines run in between. A null is an empty list. It returns
// errNoList for any other value, and an error after maxElements.
func decodeEach[T any](r io.Reader, maxElements int, take func(*T)) error {
	d := json.NewDecoder(r)
	switch open, err := d.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return errNoList
	}
	for n := 0; d.More(); n++ {
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		if n >= maxElements {
			return fmt.Errorf("the answer has more than %d instances", maxElements)
		}
		take(&element)
		runtime.Gosched()
	}
	_, err := d.Token()
	return err
}

// errorText returns the text of an error, without the URL of the query and with at most maxErrorBytes of an agent's answer.
func errorText(err error) string {
	var status api.StatusError
	switch {
	case errors.As(err, &status):
		text := strings.ToValidUTF8(strings.Join(strings.Fields(status.Body), " "), "")
		if len(text) > maxErrorBytes {
			text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
		}
		return fmt.Sprintf("answered %d (%s)", status.Code, text)
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	}
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err.Error()
	}
	return err.Error()
}
