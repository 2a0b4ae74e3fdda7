package agent

import (
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"quincegap/internal/mesh/discovery"
)

// Names of the JSON fields of a keepalive's body and, for fieldKeepaliveTarget, of the response.
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
	maxTextBytes = 256       // maximum length of a string field; longer strings are rejected
	maxSlots     = 1 << 20   // maximum number of slots; higher numbers are reduced to it
	maxSlowStart = time.Hour // maximum remaining slow start; longer times are reduced to it
)

// ParseKeepalive parses the JSON body of a keepalive from the endpoint with the given ID. Unknown fields are ignored. The error is
// trace.BadParameter and names each invalid field.
func ParseKeepalive(id string, body []byte) (discovery.Endpoint, error) {
	endpoint := discovery.Endpoint{ID: id}
	if !gjson.ValidBytes(body) {
		return endpoint, trace.BadParameter("not JSON")
	}
	k := keepaliveBody{root: gjson.ParseBytes(body)}
	endpoint.Service = k.text(fieldService)
	endpoint.AppAddress = k.text(fieldAddress)
	endpoint.Zone = k.optionalText(fieldZone)
	endpoint.Slots = int(min(k.number(fieldSlots), maxSlots))
	endpoint.Sequence = uint64(k.number(fieldSequence))
	if _, _, err := net.SplitHostPort(endpoint.AppAddress); err != nil {
		k.addError(fieldAddress, "one like 10.0.0.4:8080")
	}
	endpoint.State = k.state()
	endpoint.WarmupRemaining = k.slowStart()
	if len(k.errors) > 0 {
		return endpoint, trace.BadParameter("%s", strings.Join(k.errors, "; "))
	}
	return endpoint, nil
}

// keepaliveBody reads the fields of a keepalive's body, and collects an error for each invalid field.
type keepaliveBody struct {
	root   gjson.Result
	errors []string
}

// addError records that a field is invalid, and which value is expected instead.
func (k *keepaliveBody) addError(field, wanted string) {
	k.errors = append(k.errors, field+": wanted "+wanted)
}

// text returns a field that must be a string of 1 to maxTextBytes bytes. It records an error otherwise.
func (k *keepaliveBody) text(field string) string {
	value := k.root.Get(field)
	if value.Type != gjson.String || value.String() == "" || len(value.String()) > maxTextBytes {
		k.addError(field, "a text")
	}
	return value.String()
}

// optionalText returns a field of up to maxTextBytes bytes, which may be missing; then it is empty. It records an error if it is longer.
func (k *keepaliveBody) optionalText(field string) string {
	text := k.root.Get(field).String()
	if len(text) > maxTextBytes {
		k.addError(field, "a text")
		return ""
	}
	return text
}

// number returns a field that must be a number of 0 or more, truncated to an integer. It records an error otherwise.
func (k *keepaliveBody) number(field string) int64 {
	value := k.root.Get(field)
	if value.Type != gjson.Number || value.Int() < 0 {
		k.addError(field, "a number that is not negative")
	}
	return value.Int()
}

// state returns the endpoint's state. It records an error for any state but the two of an endpoint that sends keepalives: in service and
// draining.
func (k *keepaliveBody) state() discovery.State {
	switch k.text(fieldState) {
	case StateInService:
		return discovery.Serving
	case StateDraining:
		return discovery.Draining
	}
	k.addError(fieldState, StateInService+" or "+StateDraining)
	return discovery.Serving
}

// slowStart returns the remaining time of the endpoint's slow start, or 0 if the field is missing. It records an error if the field is not
// a duration of 0 or more.
func (k *keepaliveBody) slowStart() time.Duration {
	value := k.root.Get(fieldSlowStart)
	if !value.Exists() {
		return 0
	}
	remaining, err := time.ParseDuration(value.String())
	if err != nil || remaining < 0 {
		k.addError(fieldSlowStart, "a time like 1500ms")
	}
	return min(remaining, maxSlowStart)
}
