package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	standin "quincegap/internal/standin/consul"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestStates(t *testing.T) {
	type check = struct{ CheckID, Status string }
	for _, c := range []struct {
		checks           []check
		passing, warning int
		state            balancer.EndpointState
		weight, share    float64
		maintenance      bool
		why              string
	}{
		{nil, 0, 0, balancer.EndpointReady, 1, 1, false, ""},
		{[]check{{"a", "passing"}}, 7, 1, balancer.EndpointReady, 7, 1, false, ""},
		{[]check{{"a", "passing"}, {"b", "warning"}}, 4, 1, balancer.EndpointReady, 1, 0.25, false, `check "b" warns`},
		{[]check{{"b", "warning"}}, 4, 0, balancer.EndpointDraining, 4, 1, false, `check "b" warns, and its weight is 0 then`},
		{[]check{{"b", "warning"}, {"c", "critical"}}, 1, 1, balancer.EndpointDraining, 1, 1, false, `check "c" is critical`},
		{[]check{{"c", "something new"}}, 1, 1, balancer.EndpointDraining, 1, 1, false, `check "c" is something new`},
		{[]check{{"_node_maintenance", "critical"}}, 1, 1, balancer.EndpointDraining, 1, 1, true, "in maintenance"},
		{[]check{{"_service_maintenance:x", "critical"}, {"c", "critical"}}, 1, 1, balancer.EndpointDraining, 1, 1, true, "in maintenance"},
		{[]check{{"a", "passing"}}, -5, -1, balancer.EndpointReady, 1, 1, false, ""},
		{[]check{{"a", "passing"}}, 1 << 30, 1, balancer.EndpointReady, maxWeight, 1, false, ""},
	} {
		var i instance
		i.Service.Weights.Passing, i.Service.Weights.Warning = c.passing, c.warning
		for _, x := range c.checks {
			i.Checks = append(i.Checks, struct{ CheckID, Status string }(x))
		}
		var e endpointsource.Endpoint
		new(Settings).applyChecks(&i, &e)
		if e.State != c.state || e.Weight != c.weight || e.WeightShare != c.share || e.Maintenance != c.maintenance || e.Reason != c.why {
			t.Errorf("%v: got %+v", c.checks, e)
		}
	}
}

func TestEndpoints(t *testing.T) {
	s := Table.Default()
	for text, want := range map[string]string{
		`{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"d"},"Service":{"ID":"x","Port":80}}`:                                                            "x@n 10.0.0.1:80 d  0 0 true",
		`{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"x","Address":"::1","Port":80,"Meta":{"zone":"z","model":"m","cell":"7","started_ms":"5"}}}`: "x@n [::1]:80 z m 7 5 false",
		`{"Node":{"Node":"n"},"Service":{"ID":"x","Address":"h","Port":80,"Meta":{"started_ms":"-5"}}}`:                                                         "x@n h:80   0 0 true",
		`{"Node":{"Node":"n","Address":"h"},"Service":{"ID":"x"}}`:                                                                                              "its port 0 is none",
		`{"Node":{"Node":"n"},"Service":{"ID":"x","Port":80}}`:                                                                                                  `its address "" is none`,
		`{"Node":{"Node":"n","Address":"h"},"Service":{"Port":80}}`:                                                                                             "its id is missing or too long",
		`{"Node":{"Node":"n","Address":"h"},"Service":{"ID":"x","Port":80,"Meta":{"cell":"seven"}}}`:                                                            `its cell "seven" is no number`,
	} {
		var i instance
		if err := json.Unmarshal([]byte(text), &i); err != nil {
			t.Fatal(err)
		}
		e, got := s.endpoint(&i, true)
		if got == "" {
			got = fmt.Sprint(e.UID, " ", e.Address, " ", e.Zone, " ", e.Model, " ", e.Cell, " ", e.StartedMS, " ", e.StartUnknown)
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", text, got, want)
		}
	}
	s.UIDMeta = "uid"
	if got := s.uid("n", "x", map[string]string{"uid": "s-1"}, true); got != "s-1" {
		t.Error(got)
	}
	if got := s.uid("n", "x", nil, false); got != "x" {
		t.Error(got)
	}
}

func TestNextIndex(t *testing.T) {
	for _, c := range [][3]uint64{{0, 5, 5}, {5, 5, 5}, {5, 9, 9}, {9, 5, 0}, {5, 0, 0}, {0, 0, 0}} {
		if got := nextIndex(c[0], c[1]); got != c[2] {
			t.Errorf("after %d came %d: got %d, want %d", c[0], c[1], got, c[2])
		}
	}
}

// testWatcher is a watcher on stand-ins, and what it tells put together as the module would.
type testWatcher struct {
	t         *testing.T
	agents    []*standin.Server
	events    chan func()
	known     map[string]endpointsource.Endpoint
	answers   []endpointsource.ConsulAnswer
	unchanged int
	stop      func()
}

// watch starts a watcher that goes back to its first agent soon.
func watch(t *testing.T, change func(*Settings), agents ...*standin.Server) *testWatcher {
	t.Helper()
	s := *Table.Default()
	s.Service, s.MinInterval, s.Wait = "x", 10*time.Millisecond, time.Second
	var addresses []string
	for _, a := range agents {
		addresses = append(addresses, a.Address())
	}
	s.Agents = strings.Join(addresses, ", ")
	if change != nil {
		change(&s)
	}
	w, err := New(s, endpointsource.ModeConsul, func(p string) string { return p })
	if err != nil {
		t.Fatal(err)
	}
	w.failbackDelay = 50 * time.Millisecond
	r := &testWatcher{t: t, agents: agents, events: make(chan func(), 1000), known: map[string]endpointsource.Endpoint{}}
	w.OnAnswer = func(a endpointsource.ConsulAnswer) {
		r.events <- func() {
			r.answers = append(r.answers, a)
			for _, e := range a.Changed {
				r.known[e.UID] = e
			}
			for _, uid := range a.Missing {
				delete(r.known, uid)
			}
		}
	}
	w.OnUnchanged = func() { r.events <- func() { r.unchanged++ } }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	r.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(func() {
		r.stop()
		for _, a := range agents {
			a.Close()
		}
	})
	return r
}

// until takes events until something holds.
func (r *testWatcher) until(what string, done func() bool) {
	r.t.Helper()
	late := time.NewTimer(testTimeout)
	defer late.Stop()
	look := time.NewTicker(2 * time.Millisecond) // what is waited for may be no event of the watcher's
	defer look.Stop()
	for !done() {
		select {
		case e := <-r.events:
			e()
		case <-look.C:
		case <-late.C:
			r.t.Fatalf("never: %s; known are %v", what, slices.Sorted(maps.Keys(r.known)))
		}
	}
}

// knows waits until the ready ones are these.
func (r *testWatcher) knows(ids ...string) {
	r.t.Helper()
	r.until(fmt.Sprint(ids), func() bool {
		var ready []string
		for uid, e := range r.known {
			if e.State == balancer.EndpointReady {
				ready = append(ready, strings.TrimSuffix(uid, "@n"))
			}
		}
		slices.Sort(ready)
		return slices.Equal(ready, ids)
	})
}

func instances(ids ...string) (all []standin.Instance) {
	for i, id := range ids {
		all = append(all, standin.Instance{Node: "n", ID: id, Address: "127.0.0.1", Port: 1000 + i, Warning: 1})
	}
	return all
}

func serve(t *testing.T, ids ...string) *standin.Server {
	t.Helper()
	s, err := standin.Start("", instances(ids...)...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestFollows(t *testing.T) {
	a := serve(t, "a", "b", "c")
	r := watch(t, nil, a)
	r.knows("a", "b", "c")
	a.SetStatus("b", "critical")
	r.knows("a", "c")
	a.SetStatus("b", "warning")
	r.knows("a", "b", "c")
	a.Update(func(all []standin.Instance) []standin.Instance { return all[1:] })
	r.knows("b", "c")
	if last := r.answers[len(r.answers)-1]; len(last.Changed) != 0 || len(last.Missing) != 1 || last.KnownBefore != 3 || len(last.ConfirmedMissing) > 0 {
		t.Errorf("%+v", last)
	}
	r.until("an answer with nothing new", func() bool { return r.unchanged > 0 })
	health, catalog := a.Asked()
	if health > 20 || catalog != 0 {
		t.Errorf("%d questions, %d to the catalogue", health, catalog)
	}
}

// Whatever goes wrong with an answer, nothing is told, and what came meanwhile is told once all is well.
func TestFaults(t *testing.T) {
	for name, f := range map[string]standin.Fault{
		"refuse": {Refuse: true}, "reset": {Reset: true}, "cut": {Cut: true}, "429": {Status: 429}, "500": {Status: 500}, "403": {Status: 403},
		"junk": {Body: "<html>"}, "object": {Body: "{}"}, "words": {Body: `["a","b"]`}, "types": {Body: `[{"Service":{"ID":5}}]`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := serve(t, "a", "b", "c", "d")
			r := watch(t, nil, a)
			r.knows("a", "b", "c", "d")
			told := len(r.answers)
			before, _ := a.Asked()
			a.Set(f)
			a.SetStatus("a", "critical")
			r.until("some questions", func() bool {
				now, _ := a.Asked()
				return now >= before+4
			})
			if len(r.answers) != told {
				t.Errorf("it told of %+v", r.answers[told:])
			}
			a.Set(standin.Fault{})
			r.knows("b", "c", "d")
		})
	}
}

// A list that is empty or half is told at once with what is missing, and the catalogue is followed until it says
// whether that is so.
func TestSuspiciousLists(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, c := range []struct {
		name     string
		fault    standin.Fault
		doubtful bool
		gone     int // of the catalogue too
	}{
		{"empty", standin.Fault{Empty: true, CatalogKnows: true}, false, 0},
		{"half", standin.Fault{Half: true, CatalogKnows: true}, false, 0},
		{"gone", standin.Fault{Empty: true}, false, 7},
		{"half gone", standin.Fault{Half: true}, false, 4},
		{"no leader", standin.Fault{Empty: true, NoLeader: true}, true, 0},
		{"stale", standin.Fault{Empty: true, Contact: time.Minute}, true, 7},
		{"null", standin.Fault{Body: "null", CatalogKnows: true}, false, 0},
		{"hangs", standin.Fault{Empty: true, CatalogHangs: true}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := serve(t, all...)
			r := watch(t, nil, a)
			r.knows(all...)
			a.Set(c.fault)
			r.until("fewer", func() bool { return len(r.known) < 7 })
			confirmed := func() (n int) {
				for _, x := range r.answers {
					n += len(x.ConfirmedMissing)
				}
				return n
			}
			for _, x := range r.answers {
				if len(x.Missing) > 0 && (x.Untrusted != c.doubtful || x.KnownBefore != 7) {
					t.Errorf("%+v", x)
				}
			}
			r.until("the catalogue's word", func() bool {
				_, asked := a.Asked()
				return asked > 0 && confirmed() == c.gone
			})
			// Another answer of health's comes after whatever the catalogue had to say.
			a.SetStatus("a", "passing")
			time.Sleep(50 * time.Millisecond)
			a.Set(standin.Fault{})
			r.knows(all...)
			if got := confirmed(); got != c.gone {
				t.Errorf("the catalogue confirmed %d, want %d", got, c.gone)
			}
			// Nothing is missing any more: the catalogue is left alone.
			_, before := a.Asked()
			for range 5 {
				heard := r.unchanged + len(r.answers)
				a.SetStatus("a", "passing")
				r.until("an answer", func() bool { return r.unchanged+len(r.answers) > heard })
			}
			if _, after := a.Asked(); after > before+1 {
				t.Errorf("the catalogue was asked %d times more", after-before)
			}
		})
	}
}

// The catalogue is followed by blocking queries: what it comes to lack later is told then.
func TestCatalogueIsFollowed(t *testing.T) {
	a := serve(t, "a", "b", "c", "d", "e", "f")
	r := watch(t, nil, a)
	r.knows("a", "b", "c", "d", "e", "f")
	a.Set(standin.Fault{Half: true, CatalogKnows: true})
	r.knows("a", "b", "c")
	r.until("a held question", func() bool { _, n := a.Asked(); return n >= 2 })
	if last := r.answers[len(r.answers)-1]; len(last.ConfirmedMissing) > 0 {
		t.Errorf("%+v", last)
	}
	_, before := a.Asked()
	a.Update(func(all []standin.Instance) []standin.Instance { // health's half shrinks no further by that
		return append(all[:3:3], all[5])
	})
	r.until("two are gone", func() bool {
		var gone []string
		for _, x := range r.answers {
			gone = append(gone, x.ConfirmedMissing...)
		}
		slices.Sort(gone)
		return slices.Equal(gone, []string{"d@n", "e@n"})
	})
	if _, after := a.Asked(); after > before+4 {
		t.Errorf("%d questions: it polls", after-before)
	}
}

// Bad news in a doubtful answer do not wait for a catalogue that hangs.
func TestBadNewsBesideDoubt(t *testing.T) {
	a := serve(t, "a", "b", "c", "d", "e", "f", "g", "h")
	r := watch(t, nil, a)
	r.knows("a", "b", "c", "d", "e", "f", "g", "h")
	a.Set(standin.Fault{Half: true, CatalogHangs: true})
	began := time.Now()
	a.SetStatus("b", "critical")
	r.knows("a", "c", "d")
	if took := time.Since(began); took > requestTimeout/2 {
		t.Errorf("it took %v", took)
	}
}

// Where a server has been out of contact for too long, the leader is asked.
func TestStaleServer(t *testing.T) {
	a := serve(t, "a")
	r := watch(t, nil, a)
	r.knows("a")
	a.Set(standin.Fault{Contact: time.Minute})
	a.SetStatus("a", "critical")
	r.knows()
	a.SetStatus("a", "passing")
	r.knows("a")
	r.until("the leader's word", func() bool {
		if r.answers[len(r.answers)-1].Untrusted {
			a.Update(func(all []standin.Instance) []standin.Instance { all[0].Passing++; return all })
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
}

func TestIndexRules(t *testing.T) {
	a := serve(t, "a", "b")
	r := watch(t, nil, a)
	r.knows("a", "b")
	a.Set(standin.Fault{IndexBack: 8})
	a.SetStatus("b", "critical")
	r.knows("a")
	a.Set(standin.Fault{NoIndex: true}) // polled then
	a.SetStatus("b", "passing")
	r.knows("a", "b")
	a.SetStatus("a", "critical")
	r.knows("b")
	a.Set(standin.Fault{Lag: 50 * time.Millisecond})
	a.SetStatus("a", "passing")
	r.knows("a", "b")
}

// Where an agent gives a hash and no index, it is blocked on all the same.
func TestHashBlocking(t *testing.T) {
	a := serve(t, "a", "b")
	a.Set(standin.Fault{Hash: true})
	r := watch(t, nil, a)
	r.knows("a", "b")
	for _, status := range []string{"critical", "passing", "critical"} {
		a.SetStatus("b", status)
		if status == "critical" {
			r.knows("a")
		} else {
			r.knows("a", "b")
		}
	}
	if health, _ := a.Asked(); health > 12 {
		t.Errorf("%d questions: it polls", health)
	}
}

// What is set is asked for, in Consul's words.
func TestWhatIsAsked(t *testing.T) {
	asked := make(chan *http.Request, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		w.Header().Set("X-Consul-KnownLeader", "true")
		select {
		case asked <- r.Clone(context.Background()):
		default:
		}
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
		}
		w.Write([]byte("[]"))
	}))
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("s3cret"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		consistency Consistency
		want        string
	}{
		{Stale, `dc=east&filter="v2" in Service.Tags&ns=transport&partition=south&stale=`},
		{Default, `dc=east&filter="v2" in Service.Tags&ns=transport&partition=south`},
		{Consistent, `consistent=&dc=east&filter="v2" in Service.Tags&ns=transport&partition=south`},
	} {
		for len(asked) > 0 {
			<-asked
		}
		r := watch(t, func(s *Settings) {
			s.Agents, s.Tag, s.Datacenter, s.Namespace, s.Partition, s.Consistency, s.TokenFile = server.Listener.Addr().String(), "v2", "east", "transport", "south", c.consistency, token
		})
		first, second := <-asked, <-asked
		query, _ := url.QueryUnescape(first.URL.RawQuery)
		if first.URL.Path != "/v1/health/service/x" || query != c.want || first.Header.Get("X-Consul-Token") != "s3cret" {
			t.Errorf("asked %s?%s, want %s; token %q", first.URL.Path, query, c.want, first.Header.Get("X-Consul-Token"))
		}
		q := second.URL.Query()
		if wait, err := time.ParseDuration(q.Get("wait")); q.Get("index") != "7" || err != nil || wait <= 800*time.Millisecond || wait > time.Second {
			t.Errorf("then asked %s", second.URL.RawQuery)
		}
		r.stop()
	}
}

// The next agent is asked when one goes, and a hanging one is noticed by its time-out.
func TestFailover(t *testing.T) {
	a, b := serve(t, "a"), serve(t, "a", "b")
	r := watch(t, nil, a, b)
	r.knows("a")
	a.Set(standin.Fault{Hang: true})
	r.knows("a", "b")
	a.Set(standin.Fault{})
	r.knows("a") // it goes back to the first agent though the other one answers
	before, _ := b.Asked()
	a.SetStatus("a", "critical")
	r.knows()
	if after, _ := b.Asked(); after > before+1 {
		t.Error("the other agent is still asked")
	}
	b.Close()
	a.SetStatus("a", "passing")
	r.knows("a")
}

func TestTokenIsReadAnew(t *testing.T) {
	a := serve(t, "a")
	a.SetToken("one")
	file := filepath.Join(t.TempDir(), "token")
	put := func(token string) {
		os.WriteFile(file+".new", []byte(token+"\n"), 0o600)
		os.Rename(file+".new", file)
	}
	put("one")
	t.Setenv("CONSUL_HTTP_TOKEN", "of the environment")
	var logged lockedText
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	r := watch(t, func(s *Settings) { s.TokenFile = file }, a)
	r.knows("a")
	a.SetToken("two") // revoked
	a.SetStatus("a", "critical")
	put("two")
	r.knows()
	r.stop()
	if strings.Contains(logged.String(), "one") || strings.Contains(logged.String(), "two") || !strings.Contains(logged.String(), "answers") {
		t.Errorf("logged: %s", logged.String())
	}
}

func TestTLS(t *testing.T) {
	a := serve(t, "a")
	front := httptest.NewTLSServer(a)
	defer front.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: front.Certificate().Raw})
	if err := os.WriteFile(ca, text, 0o600); err != nil {
		t.Fatal(err)
	}
	over := func(name string) func(s *Settings) {
		return func(s *Settings) {
			s.TLS, s.CAFile, s.ServerName, s.Agents = true, ca, name, front.Listener.Addr().String()
		}
	}
	r := watch(t, over("example.com"), a)
	r.knows("a")
	r.stop()
	var logged lockedText
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	wrong := watch(t, over("another.example"), serve(t, "a"))
	wrong.until("a refusal", func() bool {
		return strings.Contains(logged.String(), "certificate is valid for example.com")
	})
	wrong.stop()
	if len(wrong.answers) > 0 {
		t.Error("it believed a server by another name")
	}
	s := *Table.Default()
	s.Agents, s.TLS, s.CAFile = "127.0.0.1:1", true, filepath.Join(t.TempDir(), "none")
	if _, err := New(s, endpointsource.ModeConsul, func(p string) string { return p }); err == nil {
		t.Error("a missing CA passes")
	}
}

// However fast changes come, answers are taken at the pace.
func TestPace(t *testing.T) {
	a := serve(t, "a", "b")
	r := watch(t, func(s *Settings) { s.MinInterval = 100 * time.Millisecond }, a)
	r.knows("a", "b")
	before, _ := a.Asked()
	began := time.Now()
	for i := range 400 {
		a.SetStatus("a", []string{"critical", "passing"}[i%2])
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	after, _ := a.Asked()
	if most := int(took/(100*time.Millisecond)) + 2; after-before > most {
		t.Errorf("%d questions in %v, want %d at most", after-before, took, most)
	}
}

// An agent that nobody answers at, and one that is no HTTP server.
func TestNoAgent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("\x00\x01\x02\r\n\r\n"))
			c.Close()
		}
	}()
	defer l.Close()
	a := serve(t, "a")
	r := watch(t, func(s *Settings) { s.Agents = "127.0.0.1:1," + l.Addr().String() + "," + a.Address() }, a)
	r.knows("a")
}

// Whatever an answer holds, what is taken of it is bounded and sound.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`[{"Node":{"Node":"n","Address":"10.0.0.1","Datacenter":"d"},"Service":{"ID":"x","Port":80,"Meta":{"cell":"1"},"Weights":{"Passing":3,"Warning":1},"CreateIndex":7},"Checks":[{"CheckID":"c","Status":"warning"}]}]`))
	f.Add([]byte(`[{"Service":{"ID":"x","Address":"h","Port":65536}},{"Service":null},null]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := Table.Default()
		by, faults, n := map[string]endpointsource.Endpoint{}, []string(nil), 0
		err := decodeEach(bytes.NewReader(text), 20, func(i *instance) {
			n++
			faults = s.addEndpoint(by, i, true, faults)
		})
		if len(by) > n || len(faults) > 10 || n > 20 {
			t.Errorf("%d endpoints and %d faults of %d instances", len(by), len(faults), n)
		}
		// What the library would take whole is taken one by one just the same.
		var all []instance
		if want := json.NewDecoder(bytes.NewReader(text)).Decode(&all); want == nil && len(all) <= 20 && (err != nil || n != len(all)) {
			t.Errorf("%d of %d instances, %v", n, len(all), err)
		}
		for uid, e := range by {
			host, port, err := net.SplitHostPort(e.Address)
			if uid != e.UID || uid == "" || len(uid) > maxTextBytes || err != nil || host == "" || port == "0" || e.Weight <= 0 || e.WeightShare <= 0 || e.WeightShare > maxWeight {
				t.Errorf("%+v", e)
			}
		}
	})
}

// lockedText is a log that is read while it grows.
type lockedText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
