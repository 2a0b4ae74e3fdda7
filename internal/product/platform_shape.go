package product

import (
	"fmt"
	"strconv"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// maxNumber bounds the magnitude of numbers in the platform's JSON configuration.
const maxNumber = 1e18

// shape describes the valid values of a part of the platform's JSON configuration. Unknown keys are allowed, since the platform may add
// some, unless one is similar to a known key that is missing.
type shape struct {
	kind     doc.Kind          // the kind of the value, unless number is set
	number   bool              // whether any number is valid, integer or not
	keys     map[string]*shape // the shapes of the keys of an object
	item     *shape            // the shape of the items of a list
	required []string          // the names of keys that an object must have
}

// The constructors of shapes.

func stringShape() *shape          { return &shape{kind: doc.String} }
func numberShape() *shape          { return &shape{kind: doc.Integer, number: true} }
func boolShape() *shape            { return &shape{kind: doc.Bool} }
func listShape(item *shape) *shape { return &shape{kind: doc.Array, item: item} }

// objectShape returns the shape of an object with the given keys. required has the names of those that it must have.
func objectShape(keys map[string]*shape, required ...string) *shape {
	return &shape{kind: doc.TableKind, keys: keys, required: required}
}

// numberShapes returns shapes for keys whose values are numbers.
func numberShapes(names ...string) map[string]*shape {
	return withShapes(map[string]*shape{}, numberShape, names...)
}

// withShapes adds keys with new, equal shapes to a map, and returns the map.
func withShapes(keys map[string]*shape, newShape func() *shape, names ...string) map[string]*shape {
	for _, name := range names {
		keys[name] = newShape()
	}
	return keys
}

// platformShape is the shape of the platform's JSON configuration.
var platformShape = objectShape(
	withShapes(map[string]*shape{
		"peers":    listShape(stringShape()),
		"limits":   objectShape(numberShapes("cores", "memory_mb", "sockets"), "cores", "memory_mb", "sockets"),
		"known":    knownShape(),
		"settings": settingsShape(),
	}, stringShape, "name", "listen", "discovery", "seed", "peer_listen", "peers_all"),
	"name", "listen", "discovery", "seed", "limits", "settings")

// knownShape returns the shape of the last known list of endpoints.
func knownShape() *shape {
	target := numberShapes("pod_group", "capacity_hint", "boot_ms")
	withShapes(target, stringShape, "uid", "endpoint", "az", "model", "state")
	return objectShape(map[string]*shape{
		"rev":     numberShape(),
		"all":     boolShape(),
		"targets": listShape(objectShape(target, "uid", "state")),
	})
}

// settingsShape returns the shape of the load balancer's settings.
func settingsShape() *shape {
	keys := map[string]*shape{
		"allowed":      allowedShape(),
		"clientHabits": objectShape(withShapes(map[string]*shape{}, boolShape, "marksRetry")),
		"familyInfo":   objectShape(withShapes(map[string]*shape{}, boolShape, "passesDeadline", "warmKeys")),
		"feedback":     objectShape(map[string]*shape{"fields": listShape(stringShape()), "how": stringShape()}),
		"goal":         objectShape(numberShapes("whole", "worstClass", "worstTenant", "worstWindow")),
		"models":       listShape(stringShape()),
		"zones":        listShape(stringShape()),
		"tiers":        listShape(stringShape()),
		"prices": objectShape(numberShapes("connection", "crossZone", "discovery", "fleet", "handshake", "lateFail", "moves", "origin",
			"peer", "probe", "waste")),
		"rules":    objectShape(numberShapes("askEvery", "cold", "coldFrom", "drainGrace", "fall", "graceToAnswer", "tipMultiple")),
		"services": listShape(serviceShape()),
		"tenants":  listShape(objectShape(withShapes(numberShapes("quotaPerS", "share"), stringShape, "name"), "name")),
	}
	withShapes(keys, stringShape, "discovery", "family", "weights", "worthBy")
	withShapes(keys, numberShape, "instances", "ordinal", "stage", "quantum", "myZone", "overShareWorth")
	return objectShape(keys, "discovery", "services", "instances")
}

// allowedShape returns the shape of the object that limits what the load balancer may do.
func allowedShape() *shape {
	keys := numberShapes("connIdle", "connectTimeout", "cpuUsPerRequest", "cpuUsPerS", "maxRetryAfter", "maxStreams", "openCap", "sendCap")
	withShapes(keys, boolShape, "cancel", "mayProbe", "peers", "retryAfter", "secondCopies")
	return objectShape(keys, "connectTimeout")
}

// serviceShape returns the shape of a class of requests.
func serviceShape() *shape {
	keys := numberShapes("aim", "aimStretch", "deadline", "gain", "lateValue", "window")
	withShapes(keys, stringShape, "effect", "keyScope", "name")
	withShapes(keys, boolShape, "streamed")
	return objectShape(keys, "name", "aim", "deadline", "effect")
}

// check reports values that do not match the shape. path names the value in findings.
func (s *shape) check(value *doc.Value, path string, report finding.Reporter) {
	if s.number && (value.Kind == doc.Integer || value.Kind == doc.Float) {
		if n, err := strconv.ParseFloat(value.Text, 64); err != nil || n > maxNumber || n < -maxNumber {
			report(value.Pos, "%s: %.40s is too large a number", path, value.Text)
		}
		return
	}
	if value.Kind != s.kind {
		report(value.Pos, "%s: %s is wanted, not %s", path, s.kind, value.Kind)
		return
	}
	if s.item != nil {
		for i, item := range value.Items {
			s.item.check(item, fmt.Sprintf("%s[%d]", path, i), report)
		}
	}
	if s.keys != nil && value.Table != nil {
		s.checkKeys(value, path, report)
	}
}

// checkKeys checks the keys of an object against the shape, and reports required keys that are missing.
func (s *shape) checkKeys(object *doc.Value, path string, report finding.Reporter) {
	keyPrefix := path
	if keyPrefix != "" {
		keyPrefix += "."
	}
	var absent []string
	for key := range s.keys {
		if object.Table.Get(key) == nil {
			absent = append(absent, key)
		}
	}
	for _, e := range object.Table.Entries {
		if inner := s.keys[e.Name]; inner != nil {
			inner.check(e.Value, keyPrefix+e.Name, report)
		} else if nearest := finding.Nearest(e.Name, absent); nearest != "" {
			report(e.Pos, "%sunknown key %q; did you mean %q?", pathPrefix(path), e.Name, nearest)
		}
	}
	for _, key := range s.required {
		if object.Table.Get(key) == nil {
			report(object.Pos, "%slacks the key %q", pathPrefix(path), key)
		}
	}
}

// pathPrefix returns the beginning of a message about the value with a path; "" for the root object.
func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
