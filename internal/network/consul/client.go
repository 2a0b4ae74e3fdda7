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
	requestTimeout  = 10 * time.Second // timeout of a query that does not block
	blockingSlack   = 2 * time.Second  // time for the answer to a blocking query, in addition to wait and Consul's jitter
	dialTimeout     = 2 * time.Second
	idleTimeout     = time.Minute
	maxHeaderBytes  = 64 << 10
	maxBodyBytes    = 64 << 20 // size of the body of one answer
	maxAgentConns   = 2        // connections to one agent: a blocking query for health and one for the catalogue
	consulJitter    = 16       // Consul blocks for up to 1/consulJitter longer than the requested wait
	maxErrorBytes   = 100      // length of an agent's error text in a log line
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
	ErrNoAgents = errors.New("consul.agents names no agent")
	// errTooLarge is returned when the body of an answer exceeds maxBodyBytes.
	errTooLarge = fmt.Errorf("the answer has more than %d MiB", maxBodyBytes>>20)
	errNoList   = errors.New("the answer is no list")
)

// AgentError is the failure of a query to one agent.
type AgentError struct {
	Agent string // address of the agent, host:port
	Err   error
}

// Error returns the agent's address and the cause. The text contains neither the URL of the query nor a token.
func (a *AgentError) Error() string { return "consul agent " + a.Agent + ": " + errorText(a.Err) }

// Unwrap returns the cause.
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
	resolve  func(string) string // function that converts a path in the settings into one to open
	agents   []agent
}

// newClient returns a client of the agents that the settings name. It fails if a TLS file can't be loaded or an address is invalid.
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
		apiClient, err := api.NewClient(&api.Config{
			Address:    address,
			Scheme:     scheme,
			HttpClient: &http.Client{Transport: &boundedTransport{transport}},
			Namespace:  settings.Namespace,
			Partition:  settings.Partition,
		})
		if err != nil {
			return nil, fmt.Errorf("consul agent %s: %w", address, err)
		}
		c.agents = append(c.agents, agent{address: address, client: apiClient, transport: transport})
	}
	return c, nil
}

// tlsConfig returns the TLS configuration. The file of the certificate authority is read once, that of the client's certificate again at
// each handshake, since it may be replaced while the program runs. It fails if a file can't be loaded.
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

// closeIdle closes the connections that are not in use.
func (c *client) closeIdle() {
	for i := range c.agents {
		c.agents[i].transport.CloseIdleConnections()
	}
}

// queryParams describes one query. Without an index and a hash the agent answers at once, otherwise after a change or after wait.
type queryParams struct {
	path        string
	tagsField   string        // name of the field with the instances' tags in a filter expression
	index       uint64        // index to block on; 0 for none
	hash        string        // content hash to block on; empty for none
	wait        time.Duration // longest time for which the agent blocks
	consistency Consistency
}

// blocks reports whether the query is a blocking one.
func (q *queryParams) blocks() bool { return q.index > 0 || q.hash != "" }

// timeout returns the time after which an agent that has not answered is considered failed.
func (q *queryParams) timeout() time.Duration {
	if q.blocks() {
		return q.wait + q.wait/consulJitter + blockingSlack
	}
	return requestTimeout
}

// answerMeta has the values of an answer's headers.
type answerMeta struct {
	index       uint64        // index to block on in the next query; 0 for none
	hash        string        // content hash to block on in the next query; empty for none
	knownLeader bool          // whether the server knows a leader; true if the header is missing
	lastContact time.Duration // time since the server last heard from its leader
	receivedAt  time.Time     // when the headers were received; the time since then was spent on decoding
}

// query sends a query to one agent and returns the values of the answer's headers. decode is called with the body of an answer with
// status 200. query fails if the token can't be read, the agent does not answer in time or with another status, or decode fails.
func (c *client) query(ctx context.Context, a *agent, q queryParams, decode func(io.Reader) error) (answerMeta, error) {
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
	var none any // stays nil: the exchange decodes the body
	if _, err := a.client.Raw().Query(q.path, &none, options.WithContext(ctx)); err != nil {
		return answerMeta{}, err
	}
	return e.meta(), nil
}

// exchange is stored in a query's context. It passes the query's token to boundedTransport and the answer's headers back: the client
// library exposes no headers, and does not distinguish the token that it is given from the one in the environment.
type exchange struct {
	token      string
	header     http.Header
	receivedAt time.Time
	// decode reads the body. The client library would decode it in one go; on one core, requests would then wait for it at each of
	// their steps, ten milliseconds each time.
	decode func(io.Reader) error
}

// exchangeKey is the context key of an exchange.
type exchangeKey struct{}

// meta parses the answer's headers. A malformed header is treated as missing.
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

// boundedTransport is a RoundTripper that bounds the size of answers, and sends no token but the exchange's.
type boundedTransport struct{ transport *http.Transport }

// RoundTrip sends a request. It decodes the body of an answer with status 200 and replaces it by a JSON null for the client library. It
// fails if the connection or decoding fails.
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

// limitedBody is a body whose Read returns errTooLarge once the limit has been read.
type limitedBody struct {
	io.ReadCloser
	remaining int64 // number of bytes that may still be read
}

// Read reads from the body. It returns errTooLarge if no bytes remain.
func (l *limitedBody) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.ReadCloser.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// decodeEach decodes the elements of a JSON list one by one, calls handle with each, and lets other goroutines run in between. A null
// counts as an empty list. It returns errNoList for any other value, and fails if the list is malformed or longer than maxElements.
func decodeEach[T any](r io.Reader, maxElements int, handle func(*T)) error {
	d := json.NewDecoder(r)
	switch token, err := d.Token(); {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
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
		handle(&element)
		runtime.Gosched()
	}
	_, err := d.Token()
	return err
}

// errorText returns the text of an error without the URL of the query, and with at most maxErrorBytes of an agent's error text.
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
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err.Error()
	}
	return err.Error()
}
