package simadapter

import (
	"errors"
	"fmt"
	"io"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// decode reads the fields of an event for an instance, and returns the function that passes the event to the instance's Balancer.
// The function is valid only if fields.err is nil.
func (s *server) decode(fields *lineFields, inst *instance) func(*balancer.Balancer) {
	now := s.now
	switch fields.name {
	case lineEndpoints:
		list := s.endpointList(fields)
		return func(b *balancer.Balancer) { b.HandleEndpoints(now, list) }
	case lineRequest:
		request := decodeRequest(fields, inst.classes)
		return func(b *balancer.Balancer) { b.HandleRequest(now, request) }
	case lineResponseStart:
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
	default: // linePeerMessage, as handleEvent passes no other event
		from := int(fields.number("by"))
		data := fields.bytes()
		return func(b *balancer.Balancer) { b.HandlePeerMessage(now, from, data) }
	}
}

// decodeRequest reads the fields of a request in their order on the line. It sets fields.err if the class is not from 0 to classes-1.
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

// decodeOutcome reads the fields of an attempt's outcome in their order on the line.
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

// endpointList reads the fields of an update of the endpoint list, and resolves the list number that it refers to. It sets fields.err
// if a field is malformed or the list is not defined.
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

// readList stores the endpoint list that a ledger line and the item lines after it define. It fails if a line is malformed or if there
// are fewer items than the ledger line announces.
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
	var entries []balancer.ListEntry // a new slice for each list, because a Balancer may retain the previous one
	for i := range rows {
		item, err := s.readLine()
		if errors.Is(err, io.EOF) || err == nil && item.name != lineListItem {
			return s.malformed(lineList, "rows", fmt.Sprintf("list truncated: got %d of %d items", i, rows))
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

// decodeItem reads the fields of a list item in their order on the line.
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
