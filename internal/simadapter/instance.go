package simadapter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"quincegap/internal/balancer"
)

// instance is one sidecar's Balancer and its Host.
type instance struct {
	server   *server
	number   int64
	balancer *balancer.Balancer // nil after a panic
	classes  int
}

// guard delivers an event and reports a panic of the Balancer on the wire; the
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
			i.server.reply("%s %d %s", actionCrash, i.number, text)
			i.balancer = nil
		}
	}()
	if i.balancer != nil {
		deliver(i.balancer)
	}
}

// writeAction writes one action line: its name, the instance and the values; an empty id is left out.
func (i *instance) writeAction(name, id string, values ...int64) {
	line := append(i.server.actionBuffer[:0], name...) //nolint:gocritic // the buffer's space is used again, and kept below if it grew
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

// The methods below are the balancer.Host: an action line each.

// Send sends the next attempt of a request to an endpoint.
func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	i.writeAction(actionSend, string(id), int64(to), timeout.Microseconds())
}

// Reject answers a request that has not run.
func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	i.writeAction(actionReject, string(id), retryAfter.Microseconds())
}

// Fail answers a request that may have run.
func (i *instance) Fail(id balancer.RequestID) { i.writeAction(actionFail, string(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id balancer.RequestID, attempt int) {
	i.writeAction(actionCancel, string(id), int64(attempt))
}

// SetTimer has the Balancer called after a while.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.writeAction(actionSetTimer, "", int64(token), after.Microseconds())
}

// HealthCheck asks an endpoint how it is.
func (i *instance) HealthCheck(to balancer.EndpointID) {
	i.writeAction(actionHealthCheck, "", int64(to))
}

// SendToPeer sends data, which may be empty, to another instance.
func (i *instance) SendToPeer(peer int, data []byte) {
	text := string(absent)
	if len(data) > 0 {
		text = base64.StdEncoding.EncodeToString(data)
	}
	i.server.reply("%s %d %d %s", actionSendToPeer, i.number, peer, text)
}

// WatchEndpoints begins or ends the watch on discovery.
func (i *instance) WatchEndpoints(on bool) {
	v := int64(0)
	if on {
		v = 1
	}
	i.writeAction(actionWatchEndpoints, "", v)
}

// FetchEndpoints asks discovery for the complete list.
func (i *instance) FetchEndpoints() { i.writeAction(actionFetchEndpoints, "") }

// CloseIdleConnections closes idle connections to an endpoint.
func (i *instance) CloseIdleConnections(to balancer.EndpointID) {
	i.writeAction(actionCloseIdleConnections, "", int64(to))
}

// Log writes a line of the Balancer's.
func (i *instance) Log(text string) { i.server.reply("%s %d %s", actionLog, i.number, text) }
