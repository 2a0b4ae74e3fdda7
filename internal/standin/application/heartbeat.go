package application

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// controlTimeout bounds a call to one control address.
const controlTimeout = time.Second

// heartbeat is the body of a keepalive call, as the users' protocol has it.
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

// The states that a heartbeat carries.
const (
	stateInService = "in_service"
	stateDraining  = "draining"
)

// sendHeartbeats sends one at once and then one each interval, until the endpoint ends.
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

// sendHeartbeat sends one heartbeat to the first control address that takes it, and reports whether one did.
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

// postControl tries the control addresses in their order, and reports whether one answered with success.
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

// Acknowledged returns a channel that gets a value when a heartbeat has been acknowledged.
func (e *Endpoint) Acknowledged() <-chan struct{} { return e.acknowledged }

// Drain announces that the endpoint is about to leave; it reports whether that was acknowledged.
func (e *Endpoint) Drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.sendHeartbeat(e.context)
}

// Deregister takes the endpoint out of service in order and ends it; it reports whether the deregistration was acknowledged.
func (e *Endpoint) Deregister() bool {
	acknowledged := e.postControl(e.context, "deregister", nil)
	e.Crash()
	return acknowledged
}
