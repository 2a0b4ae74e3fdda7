// Package simadapter speaks the simulator's text protocol: it reads batches of
// events, hands each to the Balancer instance it concerns, and writes the
// actions those take. It makes no decisions.
package simadapter

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// listCount is how many numbered lists the protocol has.
const listCount = 16

// server hosts the instances of one process.
type server struct {
	in           *bufio.Reader
	out          *bufio.Writer
	notes        io.Writer
	line         int
	now          time.Duration
	instances    map[int64]*instance
	lists        [listCount][]balancer.ListEntry
	listDefined  [listCount]bool
	noted        map[string]bool
	lineBuffer   []byte // the line being read
	actionBuffer []byte // the action being written
}

// instance is one sidecar's Balancer and its Host.
type instance struct {
	server   *server
	number   int64
	balancer *balancer.Balancer
	classes  int
}

// Run serves the protocol until the input ends. It returns nil at a clean end
// and an error that names line and field when the input is malformed.
func Run(in io.Reader, out, notes io.Writer) error {
	s := newServer(in, out, notes)
	for {
		ok, err := s.serveBatch()
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

func newServer(in io.Reader, out, notes io.Writer) *server {
	return &server{
		in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16), notes: notes,
		instances: map[int64]*instance{}, noted: map[string]bool{},
	}
}

// serveBatch reads one batch and writes its reply; false at the end of input.
func (s *server) serveBatch() (bool, error) {
	f, err := s.readLine()
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if f.name != "begin_batch" {
		return false, s.malformed(f.name, "begin_batch", "expected at the start of a batch")
	}
	s.now = f.time("ts")
	if f.err != nil {
		return false, f.err
	}
	for {
		f, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return false, s.malformed("batch", "over_to_you", "missing at the end of input")
		}
		if err != nil {
			return false, err
		}
		if f.name == "over_to_you" {
			_, err := s.out.WriteString("eor\n")
			return true, err
		}
		if err := s.handleEvent(f); err != nil {
			return false, err
		}
	}
}

// readLine reads a line and splits off its name.
func (s *server) readLine() (*lineFields, error) {
	s.lineBuffer = s.lineBuffer[:0]
	for {
		part, err := s.in.ReadSlice('\n')
		s.lineBuffer = append(s.lineBuffer, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil && (err != io.EOF || len(s.lineBuffer) == 0) {
			return nil, err
		}
		break
	}
	s.line++
	f := &lineFields{server: s, rest: bytes.TrimRight(s.lineBuffer, "\r\n")}
	f.hasMore = len(f.rest) > 0
	f.name = string(f.next())
	return f, nil
}

func (s *server) malformed(name, field, what string) error {
	return fmt.Errorf("line %d: %s: field %s: %s", s.line, name, field, what)
}

// noteOnce prints a note the first time its text comes up.
func (s *server) noteOnce(text string) {
	if !s.noted[text] {
		s.noted[text] = true
		fmt.Fprintln(s.notes, "balancer-sim: "+text)
	}
}

// handleEvent handles one line of a batch.
func (s *server) handleEvent(f *lineFields) error {
	switch f.name {
	case "ledger":
		return s.readList(f)
	case "new_instance":
		return s.startInstance(f)
	case "halt", "targets", "knock", "begun", "closed_attempt", "lapsed", "wake", "echo", "inbox":
	default:
		s.noteOnce("unknown event " + f.name + " passed over")
		return nil
	}
	n := f.number("sidecar")
	if f.err != nil {
		return f.err
	}
	in := s.instances[n]
	if in == nil {
		return s.malformed(f.name, "sidecar", fmt.Sprintf("instance %d was never started", n))
	}
	if f.name == "halt" {
		delete(s.instances, n)
		return nil
	}
	deliver := s.decode(f, in)
	if f.err != nil {
		return f.err
	}
	in.guard(deliver)
	return nil
}

// decode reads an event's fields and returns its delivery to a Balancer.
func (s *server) decode(f *lineFields, in *instance) func(*balancer.Balancer) {
	now := s.now
	switch f.name {
	case "targets":
		l := s.endpointList(f)
		return func(b *balancer.Balancer) { b.HandleEndpoints(now, l) }
	case "knock":
		r := balancer.Request{
			ID: f.id("corr"), Class: int(f.number("type")),
			Tenant: int(f.optional("userGroup")), Key: f.optionalText(), TimeLeft: f.time("left"),
			WorkHint: settings.Micros(f.optional("workHint")),
		}
		bits := f.optional("attrs")
		if r.Class < 0 || r.Class >= in.classes {
			f.fail("type", "no such class")
		}
		if bits&1 == 0 {
			r.WorkHint = 0
		}
		r.Retry, r.Write = bits&2 != 0, bits&4 != 0
		return func(b *balancer.Balancer) { b.HandleRequest(now, r) }
	case "begun":
		id, n := f.id("corr"), int(f.number("n"))
		ep := f.endpoint()
		f.time("elapsed")
		return func(b *balancer.Balancer) { b.HandleResponseStart(now, id, n, ep) }
	case "closed_attempt":
		o := balancer.Outcome{
			ID: f.id("corr"), Endpoint: f.endpoint(), Final: f.flag("final"),
			Elapsed: f.time("elapsed"), Status: f.status(), Attempt: int(f.number("n")), Load: f.load(),
		}
		return func(b *balancer.Balancer) { b.HandleOutcome(now, o) }
	case "lapsed":
		id := f.id("corr")
		return func(b *balancer.Balancer) { b.HandleClientGone(now, id) }
	case "wake":
		token := uint64(f.number("label"))
		return func(b *balancer.Balancer) { b.HandleTimer(now, token) }
	case "echo":
		p := balancer.HealthCheckResult{
			Endpoint: f.endpoint(), Status: f.status(), Elapsed: f.time("elapsed"),
			Load: f.load(),
		}
		return func(b *balancer.Balancer) { b.HandleHealthCheck(now, p) }
	default: // inbox
		from, data := int(f.number("by")), f.bytes()
		return func(b *balancer.Balancer) { b.HandlePeerMessage(now, from, data) }
	}
}

// startInstance handles new_instance.
func (s *server) startInstance(f *lineFields) error {
	n, seed := f.number("sidecar"), f.number("seed")
	if f.err == nil && !f.hasMore {
		f.fail("config", "missing")
	}
	if f.err != nil {
		return f.err
	}
	config, unknown, err := settings.Parse(f.rest)
	if err != nil {
		return s.malformed(f.name, "config", err.Error())
	}
	for _, k := range unknown {
		s.noteOnce("unknown settings key " + k + " passed over")
	}
	in := &instance{server: s, number: n, classes: len(config.Classes)}
	in.balancer, err = balancer.New(config.Settings, uint64(seed), in)
	if err != nil {
		return s.malformed(f.name, "config", err.Error())
	}
	s.instances[n] = in
	return nil
}

// guard delivers an event and reports a panic of the module on the wire; the
// instance it struck gets no further events.
func (i *instance) guard(deliver func(*balancer.Balancer)) {
	defer func() {
		if p := recover(); p != nil {
			text := bytes.Map(func(r rune) rune {
				if r < ' ' {
					return ' '
				}
				return r
			}, fmt.Append(nil, p))
			fmt.Fprintf(i.server.out, "crash %d %s\n", i.number, text)
			i.balancer = nil
		}
	}()
	if i.balancer != nil {
		deliver(i.balancer)
	}
}

var listKinds = []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}

// endpointList reads the fields of a targets event and resolves its list number.
func (s *server) endpointList(f *lineFields) balancer.EndpointList {
	var l balancer.EndpointList
	kind := f.number("kind")
	if f.err == nil && (kind < 0 || kind >= int64(len(listKinds))) {
		f.fail("kind", "unknown list kind")
	}
	if f.err != nil {
		return l
	}
	l.Kind = listKinds[kind]
	buffer := f.optional("buffer")
	l.Version = uint64(f.optional("version"))
	if l.Kind == balancer.ListFailed || f.err != nil {
		return l
	}
	if buffer < 0 || buffer >= listCount || !s.listDefined[buffer] {
		f.fail("buffer", "no such list")
		return l
	}
	l.Entries = s.lists[buffer]
	return l
}

// readList handles a ledger and the item lines that follow it.
func (s *server) readList(f *lineFields) error {
	buffer, rows := f.number("buffer"), f.number("rows")
	if f.err == nil && (buffer < 0 || buffer >= listCount) {
		f.fail("buffer", "out of range")
	}
	if f.err == nil && rows < 0 {
		f.fail("rows", "negative")
	}
	if f.err != nil {
		return f.err
	}
	var entries []balancer.ListEntry // a fresh one: a Balancer may still hold the old
	for i := int64(0); i < rows; i++ {
		item, err := s.readLine()
		if errors.Is(err, io.EOF) || err == nil && item.name != "item" {
			return s.malformed("ledger", "rows", fmt.Sprintf("list cut short: %d of %d items", i, rows))
		}
		if err != nil {
			return err
		}
		entries = append(entries, balancer.ListEntry{
			Endpoint: item.endpoint(), Zone: int(item.number("area")),
			MachineKind: int(item.number("kind")), Cell: int(item.number("stripe")), State: item.state(),
			Weight: item.float("units"), StartedAt: settings.Micros(item.optional("cameUp")),
		})
		if item.err != nil {
			return item.err
		}
	}
	s.lists[buffer], s.listDefined[buffer] = entries, true
	return nil
}

// writeAction writes one action line: its name, the instance and the values.
func (i *instance) writeAction(name string, id string, values ...int64) {
	b := append(i.server.actionBuffer[:0], name...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, i.number, 10)
	if id != "" {
		b = append(b, ' ')
		b = append(b, id...)
	}
	for _, v := range values {
		b = append(b, ' ')
		b = strconv.AppendInt(b, v, 10)
	}
	b = append(b, '\n')
	i.server.actionBuffer = b
	i.server.out.Write(b) // an error sticks in the writer and shows at Flush
}

// The methods below are the Host.

func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	i.writeAction("dispatch", string(id), int64(to), timeout.Microseconds())
}

func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	i.writeAction("overload_reply", string(id), retryAfter.Microseconds())
}

func (i *instance) Fail(id balancer.RequestID) { i.writeAction("end_failed", string(id)) }

func (i *instance) Cancel(id balancer.RequestID, attempt int) {
	i.writeAction("retract", string(id), int64(attempt))
}

func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.writeAction("remind", "", int64(token), after.Microseconds())
}

func (i *instance) HealthCheck(to balancer.EndpointID) { i.writeAction("check", "", int64(to)) }

func (i *instance) SendToPeer(peer int, data []byte) {
	text := "-"
	if len(data) > 0 {
		text = base64.StdEncoding.EncodeToString(data)
	}
	fmt.Fprintf(i.server.out, "tell %d %d %s\n", i.number, peer, text)
}

func (i *instance) WatchEndpoints(on bool) {
	v := int64(0)
	if on {
		v = 1
	}
	i.writeAction("tail", "", v)
}

func (i *instance) FetchEndpoints() { i.writeAction("query_all", "") }

func (i *instance) CloseIdleConnections(to balancer.EndpointID) {
	i.writeAction("release", "", int64(to))
}

func (i *instance) Log(text string) {
	fmt.Fprintf(i.server.out, "trace %d %s\n", i.number, text)
}
