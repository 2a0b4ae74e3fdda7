package simadapter

import (
	"errors"
	"fmt"
	"io"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// decode reads the fields of an event, and returns the function that delivers it to a Balancer. The result is valid only if fields.err
// is nil.
func (s *server) decode(fields *lineFields, in *instance) func(*balancer.Balancer) {
	now := s.now
	switch fields.name {
	case lineEndpoints:
		list := s.endpointList(fields)
		return func(b *balancer.Balancer) { b.HandleEndpoints(now, list) }
	case lineRequest:
		request := decodeRequest(fields, in.classes)
		return func(b *balancer.Balancer) { b.HandleRequest(now, request) }
	case lineResponse:
		id := fields.requestID()
		attempt := int(fields.number("n"))
		endpoint := fields.endpoint()
		fields.time("elapsed")
		return func(b *balancer.Balancer) { b.HandleResponseStart(now, id, attempt, endpoint) }
	case lineOutcome:
		outcome := decodeOutcome(fields)
		return func(b *balancer.Balancer) { b.HandleOutcome(now, outcome) }
	case lineClientGone:
		id := fields.requestID()
		return func(b *balancer.Balancer) { b.HandleClientGone(now, id) }
	case lineTimer:
		token := uint64(fields.number("label"))
		return func(b *balancer.Balancer) { b.HandleTimer(now, token) }
	case lineHealthCheck:
		result := balancer.HealthCheckResult{
			Endpoint: fields.endpoint(),
			Status:   fields.status(),
			Elapsed:  fields.time("elapsed"),
			Load:     fields.load(),
		}
		return func(b *balancer.Balancer) { b.HandleHealthCheck(now, result) }
	default: // linePeerMessage
		from := int(fields.number("by"))
		data := fields.bytes()
		return func(b *balancer.Balancer) { b.HandlePeerMessage(now, from, data) }
	}
}

// decodeRequest reads the fields of a request, in the order of the line. The class must be below the number of classes.
func decodeRequest(fields *lineFields, classes int) balancer.Request {
	request := balancer.Request{
		ID:       fields.requestID(),
		Class:    int(fields.number("type")),
		Tenant:   int(fields.optional("userGroup")),
		Key:      fields.optionalText("affinity"),
		TimeLeft: fields.time("left"),
		WorkHint: settings.Microseconds(fields.optional("workHint")),
	}
	attrs := fields.optional("attrs")
	if request.Class < 0 || request.Class >= classes {
		fields.fail("type", "no such class")
	}
	if attrs&attrHasWorkHint == 0 {
		request.WorkHint = 0
	}
	request.Retry = attrs&attrRetry != 0
	request.Write = attrs&attrWrite != 0
	return request
}

// decodeOutcome reads the fields of an outcome, in the order of the line.
func decodeOutcome(fields *lineFields) balancer.Outcome {
	return balancer.Outcome{
		ID:       fields.requestID(),
		Endpoint: fields.endpoint(),
		Final:    fields.flag("final"),
		Elapsed:  fields.time("elapsed"),
		Status:   fields.status(),
		Attempt:  int(fields.number("n")),
		Load:     fields.load(),
	}
}

// endpointList reads the fields of an update of the endpoints, and resolves the number of the list that it refers to. It reports
// faults in fields.err.
func (s *server) endpointList(fields *lineFields) balancer.EndpointList {
	var list balancer.EndpointList
	kind := fields.number("kind")
	if fields.err == nil && (kind < 0 || kind >= int64(len(listKinds))) {
		fields.fail("kind", "unknown list kind")
	}
	if fields.err != nil {
		return list
	}
	list.Kind = listKinds[kind]
	number := fields.optional("buffer")
	list.Version = uint64(fields.optional("version"))
	if list.Kind == balancer.ListFailed || fields.err != nil {
		return list
	}
	if number < 0 || number >= listCount || !s.listDefined[number] {
		fields.fail("buffer", "no such list")
		return list
	}
	list.Entries = s.lists[number]
	return list
}

// readList handles the definition of a list: its own line, and the item lines that follow.
func (s *server) readList(fields *lineFields) error {
	number := fields.number("buffer")
	rows := fields.number("rows")
	if fields.err == nil && (number < 0 || number >= listCount) {
		fields.fail("buffer", "out of range")
	}
	if fields.err == nil && rows < 0 {
		fields.fail("rows", "negative")
	}
	if fields.err != nil {
		return fields.err
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
func decodeItem(fields *lineFields) balancer.ListEntry {
	return balancer.ListEntry{
		Endpoint:    fields.endpoint(),
		Zone:        int(fields.number("area")),
		MachineKind: int(fields.number("kind")),
		Cell:        int(fields.number("stripe")),
		State:       fields.state(),
		Weight:      fields.float("units"),
		StartedAt:   settings.Microseconds(fields.optional("cameUp")),
	}
}
