package agent

import (
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"quincegap/internal/mesh/discovery"
)

// Fields of a keepalive's body, and of its answer.
const (
	fieldService         = "serviceName"
	fieldAddress         = "address"
	fieldZone            = "zone"
	fieldSlots           = "slotCount"
	fieldSequence        = "callSequence"
	fieldState           = "state"
	fieldSlowStart       = "coldRemaining"
	fieldKeepaliveTarget = "keepaliveTarget"
)

const (
	maxTextBytes = 256       // bytes of a field; a longer one is rejected
	maxSlots     = 1 << 20   // a higher number is reduced to this
	maxSlowStart = time.Hour // a longer slow start is reduced to this
)

// ParseKeepalive parses the JSON body of a keepalive of the endpoint with an ID. Unknown fields are ignored. The error is
// trace.BadParameter, and names each field that can't be used.
func ParseKeepalive(id string, body []byte) (discovery.Endpoint, error) {
	endpoint := discovery.Endpoint{ID: id}
	if !gjson.ValidBytes(body) {
		return endpoint, trace.BadParameter("not JSON")
	}
	k := keepaliveBody{root: gjson.ParseBytes(body)}
	endpoint.Service = k.text(fieldService)
	endpoint.AppAddress = k.text(fieldAddress)
	endpoint.Zone = k.root.Get(fieldZone).String()
	endpoint.Slots = int(min(k.number(fieldSlots), maxSlots))
	endpoint.Sequence = uint64(k.number(fieldSequence))
	if _, _, err := net.SplitHostPort(endpoint.AppAddress); err != nil {
		k.fault(fieldAddress, "one like 10.0.0.4:8080")
	}
	endpoint.State = k.state()
	endpoint.WarmupRemaining = k.slowStart()
	if len(k.faults) > 0 {
		return endpoint, trace.BadParameter("%s", strings.Join(k.faults, "; "))
	}
	return endpoint, nil
}

// keepaliveBody reads the fields of a body, and collects the faults of all of them.
type keepaliveBody struct {
	root   gjson.Result
	faults []string
}

// fault records that a field can't be used, and what is wanted instead.
func (k *keepaliveBody) fault(field, wanted string) {
	k.faults = append(k.faults, field+": wanted "+wanted)
}

// text returns a field that must be a string of 1 to maxTextBytes bytes.
func (k *keepaliveBody) text(field string) string {
	value := k.root.Get(field)
	if value.Type != gjson.String || value.String() == "" || len(value.String()) > maxTextBytes {
		k.fault(field, "a text")
	}
	return value.String()
}

// number returns a field that must be a number of 0 or more, truncated to an integer.
func (k *keepaliveBody) number(field string) int64 {
	value := k.root.Get(field)
	if value.Type != gjson.Number || value.Int() < 0 {
		k.fault(field, "a number that is not negative")
	}
	return value.Int()
}

// state returns the endpoint's state. An endpoint that sends keepalives is in one of two states.
func (k *keepaliveBody) state() discovery.State {
	switch k.text(fieldState) {
	case StateInService:
		return discovery.Serving
	case StateDraining:
		return discovery.Draining
	}
	k.fault(fieldState, StateInService+" or "+StateDraining)
	return discovery.Serving
}

// slowStart returns what is left of the endpoint's slow start; 0 if the field is missing.
func (k *keepaliveBody) slowStart() time.Duration {
	value := k.root.Get(fieldSlowStart)
	if !value.Exists() {
		return 0
	}
	remaining, err := time.ParseDuration(value.String())
	if err != nil || remaining < 0 {
		k.fault(fieldSlowStart, "a time like 1500ms")
	}
	return min(remaining, maxSlowStart)
}
