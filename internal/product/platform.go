package product

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/standalone"
)

// MaxPlatformBytes bounds the platform's JSON configuration, its list of endpoints included.
const MaxPlatformBytes = 16 << 20

// shape is what the platform's JSON may hold. The platform may add keys, so unknown ones pass, unless one is
// near a known one that is missing.
type shape struct {
	kind     doc.Kind // of the value
	number   bool     // any number
	keys     map[string]*shape
	item     *shape // of a list
	required []string
}

func stringShape() *shape          { return &shape{kind: doc.String} }
func numberShape() *shape          { return &shape{kind: doc.Integer, number: true} }
func boolShape() *shape            { return &shape{kind: doc.Bool} }
func listShape(item *shape) *shape { return &shape{kind: doc.Array, item: item} }
func objectShape(keys map[string]*shape, needed ...string) *shape {
	return &shape{kind: doc.TableKind, keys: keys, required: needed}
}

func numberShapes(names ...string) map[string]*shape {
	m := map[string]*shape{}
	for _, n := range names {
		m[n] = numberShape()
	}
	return m
}

func withShapes(m map[string]*shape, sort func() *shape, names ...string) map[string]*shape {
	for _, n := range names {
		m[n] = sort()
	}
	return m
}

var platformShape = objectShape(map[string]*shape{
	"name": stringShape(), "listen": stringShape(), "discovery": stringShape(), "seed": stringShape(), "peer_listen": stringShape(), "peers_all": stringShape(),
	"peers":  listShape(stringShape()),
	"limits": objectShape(numberShapes("cores", "memory_mb", "sockets"), "cores", "memory_mb", "sockets"),
	"known": objectShape(map[string]*shape{
		"rev": numberShape(), "all": boolShape(),
		"targets": listShape(objectShape(withShapes(numberShapes("pod_group", "capacity_hint", "boot_ms"), stringShape, "uid", "endpoint", "az", "model", "state"), "uid", "state")),
	}),
	"settings": objectShape(map[string]*shape{
		"allowed": objectShape(withShapes(numberShapes("connIdle", "connectTimeout", "cpuUsPerRequest", "cpuUsPerS", "maxRetryAfter", "maxStreams",
			"openCap", "sendCap"), boolShape, "cancel", "mayProbe", "peers", "retryAfter", "secondCopies"), "connectTimeout"),
		"clientHabits": objectShape(withShapes(map[string]*shape{}, boolShape, "marksRetry")),
		"discovery":    stringShape(), "family": stringShape(), "weights": stringShape(), "worthBy": stringShape(),
		"familyInfo": objectShape(withShapes(map[string]*shape{}, boolShape, "passesDeadline", "warmKeys")),
		"feedback":   objectShape(map[string]*shape{"fields": listShape(stringShape()), "how": stringShape()}),
		"goal":       objectShape(numberShapes("whole", "worstClass", "worstTenant", "worstWindow")),
		"instances":  numberShape(), "ordinal": numberShape(), "stage": numberShape(), "quantum": numberShape(), "myZone": numberShape(), "overShareWorth": numberShape(),
		"models": listShape(stringShape()), "zones": listShape(stringShape()), "tiers": listShape(stringShape()),
		"prices": objectShape(numberShapes("connection", "crossZone", "discovery", "fleet", "handshake", "lateFail", "moves", "origin", "peer", "probe", "waste")),
		"rules":  objectShape(numberShapes("askEvery", "cold", "coldFrom", "drainGrace", "fall", "graceToAnswer", "tipMultiple")),
		"services": listShape(objectShape(withShapes(withShapes(numberShapes("aim", "aimStretch", "deadline", "gain", "lateValue", "window"),
			stringShape, "effect", "keyScope", "name"), boolShape, "streamed"), "name", "aim", "deadline", "effect")),
		"tenants": listShape(objectShape(withShapes(numberShapes("quotaPerS", "share"), stringShape, "name"), "name")),
	}, "discovery", "services", "instances"),
}, "name", "listen", "discovery", "seed", "limits", "settings")

// check checks a value against a shape.
func (s *shape) check(v *doc.Value, path string, report finding.Reporter) {
	switch {
	case s.number && (v.Kind == doc.Integer || v.Kind == doc.Float):
		if n, err := strconv.ParseFloat(v.Text, 64); err != nil || n > 1e18 || n < -1e18 {
			report(v.Pos, "%s: %.40s is too large a number", path, v.Text)
		}
		return
	case v.Kind != s.kind:
		report(v.Pos, "%s: %s is wanted, not %s", path, s.kind, v.Kind)
		return
	}
	for i, item := range v.Items {
		if s.item != nil {
			s.item.check(item, fmt.Sprintf("%s[%d]", path, i), report)
		}
	}
	if s.keys == nil || v.Table == nil {
		return
	}
	under := path
	if under != "" {
		under += "."
	}
	var absent []string
	for key := range s.keys {
		if v.Table.Get(key) == nil {
			absent = append(absent, key)
		}
	}
	for _, e := range v.Table.Entries {
		if inner := s.keys[e.Name]; inner != nil {
			inner.check(e.Value, under+e.Name, report)
		} else if near := finding.Nearest(e.Name, absent); near != "" {
			report(e.Pos, "%sunknown key %q; did you mean %q?", pathPrefix(path), e.Name, near)
		}
	}
	for _, key := range s.required {
		if v.Table.Get(key) == nil {
			report(v.Pos, "%slacks the key %q", pathPrefix(path), key)
		}
	}
}

func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// CheckPlatform finds what is wrong with a platform's JSON configuration, as the sidecar would refuse it.
func CheckPlatform(path string, found *finding.List) {
	content, err := Read(path, MaxPlatformBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return
	}
	report := found.ForFile(path)
	d := doc.ReadJSON(content, MaxPlatformBytes, report)
	if d == nil {
		return
	}
	before := found.Len()
	platformShape.check(&doc.Value{Kind: doc.TableKind, Table: d.Root, Pos: d.Root.Pos}, "", report)
	if found.Len() > before {
		return
	}
	// What only the programs judge: they name a key, whose line is looked up.
	if err := standalone.CheckPlatform(content); err != nil {
		report(locate(d, err.Error()), "%s", platformNames.Replace(err.Error()))
	}
}

// platformNames puts the module's names of keys into the platform's.
var platformNames = strings.NewReplacer("classes", "services", "].scope:", "].keyScope:")

var keyPath = regexp.MustCompile(`[A-Za-z_]+(\[\d+\])?(\.[A-Za-z_]+(\[\d+\])?)*`)

// platformPaths are the wire's words for the module's.
var platformPaths = map[string]string{
	"classes": "services", "scope": "keyScope", "maxRetryAfter": "allowed.maxRetryAfter",
	"connectTimeout": "allowed.connectTimeout", "cold": "rules.cold", "coldFrom": "rules.coldFrom", "fall": "rules.fall",
	"tipMultiple": "rules.tipMultiple", "askEvery": "rules.askEvery", "goalWhole": "goal.whole", "goalWorstClass": "goal.worstClass",
}

// locate finds the place of the key that an error of the programs names at its head: the deepest that is there.
func locate(d *doc.Document, message string) finding.Pos {
	table, at := d.Root, d.Root.Pos
	for part := range strings.SplitSeq(message, ": ") {
		name := keyPath.FindString(part)
		if name != part {
			break
		}
		for step := range strings.SplitSeq(name, ".") {
			key, index, listed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
			for key := range strings.SplitSeq(platformPath(key), ".") {
				e := table.Get(key)
				if e == nil {
					return at
				}
				at = e.Pos
				table = e.Value.Table
				if n, err := strconv.Atoi(index); listed && err == nil && n < len(e.Value.Items) {
					at, table = e.Value.Items[n].Pos, e.Value.Items[n].Table
				}
			}
		}
	}
	return at
}

func platformPath(key string) string {
	if w := platformPaths[key]; w != "" {
		return w
	}
	return key
}
