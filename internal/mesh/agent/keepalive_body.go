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
	maxTextBytes = 256     // of a field
	maxSlots     = 1 << 20 // more are taken for so many
	maxSlowStart = time.Hour
)

// ParseKeepalive parses the JSON body of a keepalive of the endpoint with an id. Fields that it does not know are ignored. The error is
// trace.BadParameter and names each field that can't be used.
func ParseKeepalive(id string, body []byte) (discovery.Endpoint, error) {
	e := discovery.Endpoint{ID: id}
	if !gjson.ValidBytes(body) {
		return e, trace.BadParameter("not JSON")
	}
	k := keepaliveBody{root: gjson.ParseBytes(body)}
	e.Service = k.text(fieldService)
	e.AppAddress = k.text(fieldAddress)
	e.Zone = k.root.Get(fieldZone).String()
	e.Slots = int(min(k.number(fieldSlots), maxSlots))
	e.Sequence = uint64(k.number(fieldSequence))
	if _, _, err := net.SplitHostPort(e.AppAddress); err != nil {
		k.fault(fieldAddress, "one like 10.0.0.4:8080")
	}
	e.State = k.state()
	e.WarmupRemaining = k.slowStart()
	if len(k.faults) > 0 {
		return e, trace.BadParameter("%s", strings.Join(k.faults, "; "))
	}
	return e, nil
}

// keepaliveBody reads the fields of a body, and collects all faults.
type keepaliveBody struct {
	root   gjson.Result
	faults []string
}

// fault notes that a field can't be used.
func (k *keepaliveBody) fault(field, wanted string) {
	k.faults = append(k.faults, field+": wanted "+wanted)
}

// text is a field that must be a text, not empty and of up to maxTextBytes.
func (k *keepaliveBody) text(field string) string {
	value := k.root.Get(field)
	if value.Type != gjson.String || value.String() == "" || len(value.String()) > maxTextBytes {
		k.fault(field, "a text")
	}
	return value.String()
}

// number is a field that must be a number, not negative; a fraction is cut off.
func (k *keepaliveBody) number(field string) int64 {
	value := k.root.Get(field)
	if value.Type != gjson.Number || value.Int() < 0 {
		k.fault(field, "a number that is not negative")
	}
	return value.Int()
}

// state is the endpoint's state, which only these two can be while it sends keepalives.
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

// slowStart is how long the endpoint still warms up; 0 if the field is not there.
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
