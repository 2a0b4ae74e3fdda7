package simadapter

import (
	"errors"
	"fmt"
	"io"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// decode reads the fields of an event, and returns the function that delivers it to a Balancer. The result is valid only if f.err
// is nil.
func (s *server) decode(f *lineFields, in *instance) func(*balancer.Balancer) {
	now := s.now
	switch f.name {
	case lineEndpoints:
		list := s.endpointList(f)
		return func(b *balancer.Balancer) { b.HandleEndpoints(now, list) }
	case lineRequest:
		request := decodeRequest(f, in.classes)
		return func(b *balancer.Balancer) { b.HandleRequest(now, request) }
	case lineResponse:
		id := f.requestID()
		attempt := int(f.number("n"))
		endpoint := f.endpoint()
		f.time("elapsed")
		return func(b *balancer.Balancer) { b.HandleResponseStart(now, id, attempt, endpoint) }
	case lineOutcome:
		outcome := decodeOutcome(f)
		return func(b *balancer.Balancer) { b.HandleOutcome(now, outcome) }
	case lineClientGone:
		id := f.requestID()
		return func(b *balancer.Balancer) { b.HandleClientGone(now, id) }
	case lineTimer:
		token := uint64(f.number("label"))
		return func(b *balancer.Balancer) { b.HandleTimer(now, token) }
	case lineHealthCheck:
		result := balancer.HealthCheckResult{
			Endpoint: f.endpoint(),
			Status:   f.status(),
			Elapsed:  f.time("elapsed"),
			Load:     f.load(),
		}
		return func(b *balancer.Balancer) { b.HandleHealthCheck(now, result) }
	default: // linePeerMessage
		from := int(f.number("by"))
		data := f.bytes()
		return func(b *balancer.Balancer) { b.HandlePeerMessage(now, from, data) }
	}
}

// decodeRequest reads the fields of a request, in the order of the line. The class must be below the number of classes.
func decodeRequest(f *lineFields, classes int) balancer.Request {
	r := balancer.Request{
		ID:       f.requestID(),
		Class:    int(f.number("type")),
		Tenant:   int(f.optional("userGroup")),
		Key:      f.optionalText("affinity"),
		TimeLeft: f.time("left"),
		WorkHint: settings.Microseconds(f.optional("workHint")),
	}
	attrs := f.optional("attrs")
	if r.Class < 0 || r.Class >= classes {
		f.fail("type", "no such class")
	}
	if attrs&attrHasWorkHint == 0 {
		r.WorkHint = 0
	}
	r.Retry = attrs&attrRetry != 0
	r.Write = attrs&attrWrite != 0
	return r
}

// decodeOutcome reads the fields of an outcome, in the order of the line.
func decodeOutcome(f *lineFields) balancer.Outcome {
	return balancer.Outcome{
		ID:       f.requestID(),
		Endpoint: f.endpoint(),
		Final:    f.flag("final"),
		Elapsed:  f.time("elapsed"),
		Status:   f.status(),
		Attempt:  int(f.number("n")),
		Load:     f.load(),
	}
}

// endpointList reads the fields of an update of the endpoints, and resolves the number of the list that it refers to. It reports
// faults in f.err.
func (s *server) endpointList(f *lineFields) balancer.EndpointList {
	var list balancer.EndpointList
	kind := f.number("kind")
	if f.err == nil && (kind < 0 || kind >= int64(len(listKinds))) {
		f.fail("kind", "unknown list kind")
	}
	if f.err != nil {
		return list
	}
	list.Kind = listKinds[kind]
	number := f.optional("buffer")
	list.Version = uint64(f.optional("version"))
	if list.Kind == balancer.ListFailed || f.err != nil {
		return list
	}
	if number < 0 || number >= listCount || !s.listDefined[number] {
		f.fail("buffer", "no such list")
		return list
	}
	list.Entries = s.lists[number]
	return list
}

// readList handles the definition of a list: its own line, and the item lines that follow.
func (s *server) readList(f *lineFields) error {
	number := f.number("buffer")
	rows := f.number("rows")
	if f.err == nil && (number < 0 || number >= listCount) {
		f.fail("buffer", "out of range")
	}
	if f.err == nil && rows < 0 {
		f.fail("rows", "negative")
	}
	if f.err != nil {
		return f.err
	}
	var entries []balancer.ListEntry // always a new slice, as a Balancer may keep the old one
	for i := range rows {
		item, err := s.readLine()
		if errors.Is(err, io.EOF) || err == nil && item.name != lineListItem {
			return s.malformed(lineList, "rows", fmt.Sprintf("list cut short: %d of %d items", i, rows))
		}
		if err != nil {
			return err
		}
		entries = append(entries, decodeItem(item))
		if item.err != nil {
			return item.err
		}
	}
	s.lists[number] = entries
	s.listDefined[number] = true
	return nil
}

// decodeItem reads the fields of a list item, in the order of the line.
func decodeItem(f *lineFields) balancer.ListEntry {
	return balancer.ListEntry{
		Endpoint:    f.endpoint(),
		Zone:        int(f.number("area")),
		MachineKind: int(f.number("kind")),
		Cell:        int(f.number("stripe")),
		State:       f.state(),
		Weight:      f.float("units"),
		StartedAt:   settings.Microseconds(f.optional("cameUp")),
	}
}
