package simadapter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"quincegap/internal/balancer"
)

// instance is a Balancer with its Host.
type instance struct {
	server   *server
	number   int64              // that the protocol calls sidecar
	balancer *balancer.Balancer // nil after a panic
	classes  int                // number of classes in its settings
}

// guard delivers an event. If the Balancer panics, guard writes a crash line, and the instance gets no further events.
func (i *instance) guard(deliver func(*balancer.Balancer)) {
	defer func() {
		if p := recover(); p != nil {
			text := bytes.Map(func(r rune) rune {
				if r < ' ' {
					return ' '
				}
				return r
			}, fmt.Append(nil, p))
			i.server.reply("%s %d %s", actionCrash, i.number, text)
			i.balancer = nil
		}
	}()
	if i.balancer != nil {
		deliver(i.balancer)
	}
}

// writeAction writes the line of an action: its name, the number of the instance, the request ID unless it is empty, and the values.
func (i *instance) writeAction(name, id string, values ...int64) {
	line := append(i.server.actionBuffer[:0], name...) //nolint:gocritic // the buffer is reused, and stored again below in case it grew
	line = append(line, separator)
	line = strconv.AppendInt(line, i.number, 10)
	if id != "" {
		line = append(line, separator)
		line = append(line, id...)
	}
	for _, v := range values {
		line = append(line, separator)
		line = strconv.AppendInt(line, v, 10)
	}
	line = append(line, '\n')
	i.server.actionBuffer = line
	_, _ = i.server.out.Write(line) // see server.out
}

// The methods below implement balancer.Host. Each writes one line of the reply.

// Send sends the next attempt of a request to an endpoint.
func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	i.writeAction(actionSend, string(id), int64(to), timeout.Microseconds())
}

// Reject answers a request that no endpoint has run.
func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	i.writeAction(actionReject, string(id), retryAfter.Microseconds())
}

// Fail answers a request that may have run.
func (i *instance) Fail(id balancer.RequestID) { i.writeAction(actionFail, string(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id balancer.RequestID, attempt int) {
	i.writeAction(actionCancel, string(id), int64(attempt))
}

// SetTimer has the Balancer's HandleTimer called with the token after some time.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.writeAction(actionSetTimer, "", int64(token), after.Microseconds())
}

// HealthCheck sends a health check to an endpoint.
func (i *instance) HealthCheck(to balancer.EndpointID) {
	i.writeAction(actionHealthCheck, "", int64(to))
}

// SendToPeer sends data to another instance. Empty data is a dash on the line.
func (i *instance) SendToPeer(peer int, data []byte) {
	text := string(absent)
	if len(data) > 0 {
		text = base64.StdEncoding.EncodeToString(data)
	}
	i.server.reply("%s %d %d %s", actionSendToPeer, i.number, peer, text)
}

// WatchEndpoints begins or ends the subscription to updates of the endpoint list.
func (i *instance) WatchEndpoints(on bool) {
	flag := int64(0)
	if on {
		flag = 1
	}
	i.writeAction(actionWatchEndpoints, "", flag)
}

// FetchEndpoints requests the complete endpoint list.
func (i *instance) FetchEndpoints() { i.writeAction(actionFetchEndpoints, "") }

// CloseIdleConnections closes the idle connections to an endpoint.
func (i *instance) CloseIdleConnections(to balancer.EndpointID) {
	i.writeAction(actionCloseIdleConnections, "", int64(to))
}

// Log writes a log line of the Balancer.
func (i *instance) Log(text string) { i.server.reply("%s %d %s", actionLog, i.number, text) }
