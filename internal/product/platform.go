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

// MostPlatformBytes bounds the platform's JSON configuration, its list of endpoints included.
const MostPlatformBytes = 16 << 20

// shape is what the platform's JSON may hold. The platform may add keys, so unknown ones pass, unless one is
// near a known one that is missing.
type shape struct {
	kind   doc.Kind // of the value
	number bool     // any number
	keys   map[string]*shape
	item   *shape // of a list
	needed []string
}

func text() *shape            { return &shape{kind: doc.String} }
func figure() *shape          { return &shape{kind: doc.Integer, number: true} }
func yes() *shape             { return &shape{kind: doc.Bool} }
func list(item *shape) *shape { return &shape{kind: doc.Array, item: item} }
func object(keys map[string]*shape, needed ...string) *shape {
	return &shape{kind: doc.TableKind, keys: keys, needed: needed}
}

func figures(names ...string) map[string]*shape {
	m := map[string]*shape{}
	for _, n := range names {
		m[n] = figure()
	}
	return m
}

func with(m map[string]*shape, sort func() *shape, names ...string) map[string]*shape {
	for _, n := range names {
		m[n] = sort()
	}
	return m
}

var platformShape = object(map[string]*shape{
	"name": text(), "listen": text(), "discovery": text(), "seed": text(), "peer_listen": text(), "peers_all": text(),
	"peers":  list(text()),
	"limits": object(figures("cores", "memory_mb", "sockets"), "cores", "memory_mb", "sockets"),
	"known": object(map[string]*shape{
		"rev": figure(), "all": yes(),
		"targets": list(object(with(figures("pod_group", "capacity_hint", "boot_ms"), text, "uid", "endpoint", "az", "model", "state"), "uid", "state")),
	}),
	"settings": object(map[string]*shape{
		"allowed": object(with(figures("connIdle", "connectTimeout", "cpuUsPerRequest", "cpuUsPerS", "maxRetryAfter", "maxStreams",
			"openCap", "sendCap"), yes, "cancel", "mayProbe", "peers", "retryAfter", "secondCopies"), "connectTimeout"),
		"clientHabits": object(with(map[string]*shape{}, yes, "marksRetry")),
		"discovery":    text(), "family": text(), "weights": text(), "worthBy": text(),
		"familyInfo": object(with(map[string]*shape{}, yes, "passesDeadline", "warmKeys")),
		"feedback":   object(map[string]*shape{"fields": list(text()), "how": text()}),
		"goal":       object(figures("whole", "worstClass", "worstTenant", "worstWindow")),
		"instances":  figure(), "ordinal": figure(), "stage": figure(), "quantum": figure(), "myZone": figure(), "overShareWorth": figure(),
		"models": list(text()), "zones": list(text()), "tiers": list(text()),
		"prices": object(figures("connection", "crossZone", "discovery", "fleet", "handshake", "lateFail", "moves", "origin", "peer", "probe", "waste")),
		"rules":  object(figures("askEvery", "cold", "coldFrom", "drainGrace", "fall", "graceToAnswer", "tipMultiple")),
		"services": list(object(with(with(figures("aim", "aimStretch", "deadline", "gain", "lateValue", "window"),
			text, "effect", "keyScope", "name"), yes, "streamed"), "name", "aim", "deadline", "effect")),
		"tenants": list(object(with(figures("quotaPerS", "share"), text, "name"), "name")),
	}, "discovery", "services", "instances"),
}, "name", "listen", "discovery", "seed", "limits", "settings")

// walk checks a value against a shape.
func (s *shape) walk(v *doc.Value, path string, report finding.Reporter) {
	switch {
	case s.number && (v.Kind == doc.Integer || v.Kind == doc.Float):
		if n, err := strconv.ParseFloat(v.Text, 64); err != nil || n > 1e18 || n < -1e18 {
			report(v.At, "%s: %.40s is too large a number", path, v.Text)
		}
		return
	case v.Kind != s.kind:
		report(v.At, "%s: %s is wanted, not %s", path, s.kind, v.Kind)
		return
	}
	for i, item := range v.Items {
		if s.item != nil {
			s.item.walk(item, fmt.Sprintf("%s[%d]", path, i), report)
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
			inner.walk(e.Value, under+e.Name, report)
		} else if near := finding.Nearest(e.Name, absent); near != "" {
			report(e.At, "%sunknown key %q; did you mean %q?", label(path), e.Name, near)
		}
	}
	for _, key := range s.needed {
		if v.Table.Get(key) == nil {
			report(v.At, "%slacks the key %q", label(path), key)
		}
	}
}

func label(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// CheckPlatform finds what is wrong with a platform's JSON configuration, as the sidecar would refuse it.
func CheckPlatform(path string, found *finding.List) {
	content, err := Read(path, MostPlatformBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return
	}
	report := found.In(path)
	d := doc.ReadJSON(content, MostPlatformBytes, report)
	if d == nil {
		return
	}
	before := found.Len()
	platformShape.walk(&doc.Value{Kind: doc.TableKind, Table: d.Root, At: d.Root.At}, "", report)
	if found.Len() > before {
		return
	}
	// What only the programs judge: they name a key, whose line is looked up.
	if err := standalone.CheckPlatform(content); err != nil {
		report(locate(d, err.Error()), "%s", platformWords.Replace(err.Error()))
	}
}

// platformWords puts the module's names of keys into the platform's.
var platformWords = strings.NewReplacer("classes", "services", "].scope:", "].keyScope:")

var keyPath = regexp.MustCompile(`[A-Za-z_]+(\[\d+\])?(\.[A-Za-z_]+(\[\d+\])?)*`)

// wireNames are the wire's words for the module's.
var wireNames = map[string]string{
	"classes": "services", "scope": "keyScope", "maxRetryAfter": "allowed.maxRetryAfter",
	"connectTimeout": "allowed.connectTimeout", "cold": "rules.cold", "coldFrom": "rules.coldFrom", "fall": "rules.fall",
	"tipMultiple": "rules.tipMultiple", "askEvery": "rules.askEvery", "goalWhole": "goal.whole", "goalWorstClass": "goal.worstClass",
}

// locate finds the place of the key that an error of the programs names at its head: the deepest that is there.
func locate(d *doc.Doc, message string) finding.Pos {
	table, at := d.Root, d.Root.At
	for part := range strings.SplitSeq(message, ": ") {
		name := keyPath.FindString(part)
		if name != part {
			break
		}
		for step := range strings.SplitSeq(name, ".") {
			key, index, listed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
			for key := range strings.SplitSeq(wired(key), ".") {
				e := table.Get(key)
				if e == nil {
					return at
				}
				at = e.At
				table = e.Value.Table
				if n, err := strconv.Atoi(index); listed && err == nil && n < len(e.Value.Items) {
					at, table = e.Value.Items[n].At, e.Value.Items[n].Table
				}
			}
		}
	}
	return at
}

func wired(key string) string {
	if w := wireNames[key]; w != "" {
		return w
	}
	return key
}
