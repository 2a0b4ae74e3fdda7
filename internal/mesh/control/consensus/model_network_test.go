package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// envelope is a request, or the reply to it, in flight.
type envelope struct {
	from, to *modelReplica // the sender and the recipient of the request, also if this is the reply
	start    int           // the value of from.starts when the request was sent; a reply to an earlier start is dropped
	call     *modelCall    // the call that waits for the reply; nil for a recovery, and if no reply is needed
	phase    int           // the value of call.phase when the request was sent
	recovery *Recovery     // the recovery that waits for the reply; nil for other requests
	request  *Request
	reply    *Reply // nil if this is a request
	dueStep  int    // the first step at which the message may arrive
}

// throughCodec returns a message, encoded and decoded again if the model is set up to encode messages.
func throughCodec[T any, P interface {
	*T
	codec.Message
}](m *model, message *T) T {
	var decoded T
	if !m.encoded {
		return *message
	}
	if err := codec.Unmarshal(codec.MarshalAppend(nil, P(message)), P(&decoded)); err != nil {
		panic(err)
	}
	return decoded
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

// post puts a message in flight. Some messages are slow, so that a process may be killed and recover before they arrive.
func (m *model) post(message *envelope) {
	if message.dueStep = m.steps; m.chance(m.slowPercent) {
		message.dueStep += m.rng.IntN(maxDelaySteps)
	}
	m.inFlight = append(m.inFlight, message)
}

// deliverOne delivers a random message that is due. It tries up to 20 messages.
func (m *model) deliverOne() {
	for range min(20, len(m.inFlight)) {
		if index := m.rng.IntN(len(m.inFlight)); m.inFlight[index].dueStep <= m.steps {
			m.deliver(index)
			return
		}
	}
}

// deliver delivers the message at an index of inFlight, or loses it. Unless all faults have ended, the message may also stay
// in flight, to be delivered again.
func (m *model) deliver(index int) {
	message := m.inFlight[index]
	if m.faultsEnded || !m.chance(4) {
		m.inFlight = slices.Delete(m.inFlight, index, index+1)
	}
	if !m.faultsEnded && m.chance(4) {
		return
	}
	if message.reply == nil {
		m.deliverRequest(message)
	} else {
		m.deliverReply(message)
	}
}

// deliverRequest passes a request to its recipient, and puts the reply in flight if the sender waits for one.
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

// deliverReply passes a reply to the recovery or the round that sent the request, if that still waits for the reply.
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

// deliverAll delivers messages until none is in flight.
func (m *model) deliverAll() {
	for len(m.inFlight) > 0 {
		m.deliver(0)
	}
}
