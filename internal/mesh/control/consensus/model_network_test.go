package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// envelope is a request, or the reply to it, in flight.
type envelope struct {
	from, to *modelReplica // of the request, also in a reply
	start    int           // modelReplica.starts of from: a reply to an earlier start is dropped
	call     *modelCall    // nil for a recovery, and if no reply is needed
	phase    int           // of the call
	recovery *Recovery     // nil unless it is a recovery's
	request  *Request
	reply    *Reply // nil in a request
	dueStep  int    // the first step at which it may arrive
}

// throughCodec returns a message, after encoding and decoding it if this model encodes.
func throughCodec[T any, P interface {
	*T
	codec.Message
}](m *model, t *T) T {
	var again T
	if !m.encoded {
		return *t
	}
	if err := codec.Unmarshal(codec.MarshalAppend(nil, P(t)), P(&again)); err != nil {
		panic(err)
	}
	return again
}

func (m *model) send(from *modelReplica, nodes []string, request *Request, call *modelCall, recovery *Recovery) {
	sent := throughCodec(m, request)
	for _, node := range nodes {
		message := &envelope{from: from, to: m.replica(node), start: from.starts, call: call, recovery: recovery, request: &sent}
		if call != nil {
			message.phase = call.phase
		}
		m.post(message)
	}
}

// post puts a message in flight. Some are slow, so that a process may be killed and recover before they arrive.
func (m *model) post(message *envelope) {
	if message.dueStep = m.steps; m.chance(m.slowPercent) {
		message.dueStep += m.rng.IntN(maxDelaySteps)
	}
	m.inFlight = append(m.inFlight, message)
}

// deliverOne delivers one of the messages that are due.
func (m *model) deliverOne() {
	for range min(20, len(m.inFlight)) {
		if at := m.rng.IntN(len(m.inFlight)); m.inFlight[at].dueStep <= m.steps {
			m.deliver(at)
			return
		}
	}
}

// deliver delivers a message, or loses it. The message may stay in flight, to be delivered once more.
func (m *model) deliver(at int) {
	message := m.inFlight[at]
	if m.faultless || !m.chance(4) {
		m.inFlight = slices.Delete(m.inFlight, at, at+1)
	}
	if !m.faultless && m.chance(4) {
		return
	}
	if message.reply == nil {
		m.deliverRequest(message)
	} else {
		m.deliverReply(message)
	}
}

// deliverRequest hands a request to its recipient, and puts the reply in flight if the sender waits for one.
func (m *model) deliverRequest(message *envelope) {
	if !message.to.up {
		return
	}
	reply, ok := m.serve(message.to, message.request)
	if !ok || message.call == nil && message.recovery == nil {
		return
	}
	answer := *message
	reply = throughCodec(m, &reply)
	answer.reply = &reply
	m.post(&answer)
}

// deliverReply hands a reply to the recovery or the round that waits for it, if it still does.
func (m *model) deliverReply(message *envelope) {
	process := message.from
	if !process.up || process.starts != message.start {
		return
	}
	if message.recovery != nil {
		if message.recovery == process.recovery {
			m.stepRecovery(process, message)
		}
		return
	}
	call := message.call
	if call.round == nil || message.phase != call.phase || !slices.Contains(process.calls, call) {
		return
	}
	if next := call.round.Step(message.to.name, message.reply); next != nil {
		call.phase++
		m.send(process, call.round.Recipients(), next, call, nil)
	}
	if call.round.Finished() {
		m.roundFinished(process, call)
	}
}

// deliverAll delivers all messages in flight.
func (m *model) deliverAll() {
	for len(m.inFlight) > 0 {
		m.deliver(0)
	}
}
