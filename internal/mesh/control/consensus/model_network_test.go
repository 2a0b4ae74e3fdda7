package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// envelope is a request, or the reply to it, in flight.
type envelope struct {
	from, to *modelReplica // of the request
	start    int           // of from
	call     *modelCall    // nil: for from's recovery, or no reply is needed
	phase    int
	recovery *Recovery
	request  *Request
	reply    *Reply
	dueStep  int // the step before which it doesn't arrive
}

// throughCodec is a message as it is read again, if this model encodes.
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

// post sends a message; some are slow, so that a process may be killed and recover before they arrive.
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

// deliver delivers a message. It may be lost, and it may come again.
func (m *model) deliver(at int) {
	message := m.inFlight[at]
	if m.faultless || !m.chance(4) {
		m.inFlight = slices.Delete(m.inFlight, at, at+1)
	}
	if !m.faultless && m.chance(4) {
		return
	}
	if message.reply == nil {
		if message.to.up {
			if reply, ok := m.serve(message.to, message.request); ok && (message.call != nil || message.recovery != nil) {
				answer := *message
				reply = throughCodec(m, &reply)
				answer.reply = &reply
				m.post(&answer)
			}
		}
		return
	}
	process := message.from
	switch {
	case !process.up || process.starts != message.start:
	case message.recovery != nil && message.recovery == process.recovery:
		m.stepRecovery(process, message)
	case message.call != nil && message.call.round != nil && message.phase == message.call.phase && slices.Contains(process.calls, message.call):
		if next := message.call.round.Step(message.to.name, message.reply); next != nil {
			message.call.phase++
			m.send(process, message.call.round.Recipients(), next, message.call, nil)
		}
		if message.call.round.Finished() {
			m.roundFinished(process, message.call)
		}
	}
}

// deliverAll delivers all messages in flight.
func (m *model) deliverAll() {
	for len(m.inFlight) > 0 {
		m.deliver(0)
	}
}
