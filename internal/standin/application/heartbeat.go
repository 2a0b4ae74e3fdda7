package application

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// controlTimeout is the timeout of a call to one control address.
const controlTimeout = time.Second

// heartbeat is the body of a keepalive call, in the format of the users' protocol.
type heartbeat struct {
	Address       string `json:"address"`
	CallSequence  uint64 `json:"callSequence"`
	ColdRemaining string `json:"coldRemaining"`
	ConfigVersion string `json:"configVersion"`
	ServiceName   string `json:"serviceName"`
	SlotCount     int    `json:"slotCount"`
	State         string `json:"state"`
	Zone          string `json:"zone"`
}

// States reported in heartbeats.
const (
	stateInService = "in_service"
	stateDraining  = "draining"
)

// sendHeartbeats sends a heartbeat immediately and then one every HeartbeatInterval, until the endpoint stops.
func (e *Endpoint) sendHeartbeats() {
	ticker := time.NewTicker(e.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if e.sendHeartbeat(e.context) {
			select {
			case e.acknowledged <- struct{}{}:
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-e.context.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to the first control address that accepts it, and reports whether one did.
func (e *Endpoint) sendHeartbeat(ctx context.Context) bool {
	e.mu.Lock()
	e.sequence++
	message := heartbeat{
		Address: e.options.Address, CallSequence: e.sequence, ColdRemaining: "0ms", ConfigVersion: "v1",
		ServiceName: e.options.Service, SlotCount: e.options.Slots, State: stateInService, Zone: e.options.Zone,
	}
	if e.draining {
		message.State = stateDraining
	}
	e.mu.Unlock()
	body, err := json.Marshal(message)
	return err == nil && e.postControl(ctx, "keepalive", body)
}

// postControl posts body to the control addresses in order until one responds with a 2xx status, and reports whether one did.
func (e *Endpoint) postControl(ctx context.Context, call string, body []byte) bool {
	client := http.Client{Timeout: controlTimeout}
	for _, address := range e.options.Control {
		url := "http://" + address + "/endpoints/" + e.options.ID + "/" + call
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			continue
		}
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err != nil {
			continue
		}
		if answer.Body.Close() == nil && answer.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// Acknowledged returns a channel that receives a value when a heartbeat has been acknowledged. It holds at most one unread value.
func (e *Endpoint) Acknowledged() <-chan struct{} { return e.acknowledged }

// Drain reports the state draining in a heartbeat now and in all later ones. It returns whether the first was acknowledged.
func (e *Endpoint) Drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.sendHeartbeat(e.context)
}

// Deregister deregisters the endpoint and stops it. It returns whether the deregistration was acknowledged.
func (e *Endpoint) Deregister() bool {
	acknowledged := e.postControl(e.context, "deregister", nil)
	e.Crash()
	return acknowledged
}
