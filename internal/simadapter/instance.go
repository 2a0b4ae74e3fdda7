package simadapter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"quincegap/internal/balancer"
)

// instance is a simulated load balancer: a Balancer and the Host on which it runs.
type instance struct {
	server   *server
	number   int64              // the instance's number, the field sidecar of the protocol
	balancer *balancer.Balancer // nil after a panic
	classes  int                // number of request classes in the settings
}

// deliver calls handle with the Balancer. If the Balancer panics, deliver writes a crash line, and later calls do nothing.
func (i *instance) deliver(handle func(*balancer.Balancer)) {
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
		handle(i.balancer)
	}
}

// writeAction writes the line of an action: the action's name, the instance's number, the request ID unless it is empty, and the
// values.
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
	_, _ = i.server.out.Write(line) // Flush returns the error: see server.out
}

// The methods below implement balancer.Host. Each writes one line of the reply.

// Send sends the next attempt of a request to an endpoint.
func (i *instance) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	i.writeAction(actionSend, string(id), int64(to), timeout.Microseconds())
}

// Reject ends a request that no endpoint has executed, and tells the client when to retry.
func (i *instance) Reject(id balancer.RequestID, retryAfter time.Duration) {
	i.writeAction(actionReject, string(id), retryAfter.Microseconds())
}

// Fail ends a request that an endpoint may have executed.
func (i *instance) Fail(id balancer.RequestID) { i.writeAction(actionFail, string(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id balancer.RequestID, attempt int) {
	i.writeAction(actionCancel, string(id), int64(attempt))
}

// SetTimer requests a call of the Balancer's HandleTimer with the token after the given time.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.writeAction(actionSetTimer, "", int64(token), after.Microseconds())
}

// HealthCheck sends a health check to an endpoint.
func (i *instance) HealthCheck(to balancer.EndpointID) {
	i.writeAction(actionHealthCheck, "", int64(to))
}

// SendToPeer sends data to another instance. The line has the data in base64, or a dash if there are none.
func (i *instance) SendToPeer(peer int, data []byte) {
	text := string(absent)
	if len(data) > 0 {
		text = base64.StdEncoding.EncodeToString(data)
	}
	i.server.reply("%s %d %d %s", actionSendToPeer, i.number, peer, text)
}

// WatchEndpoints starts or ends the subscription to updates of the endpoint list.
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

// Log writes a log message of the Balancer.
func (i *instance) Log(text string) { i.server.reply("%s %d %s", actionLog, i.number, text) }
