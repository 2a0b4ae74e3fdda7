package product

import (
	"regexp"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/standalone"
)

// MaxPlatformBytes bounds the size of the platform's JSON configuration, including its list of endpoints.
const MaxPlatformBytes = 16 << 20

// CheckPlatform reports the faults of a platform's JSON configuration that would keep the sidecar from starting.
func CheckPlatform(path string, found *finding.List) {
	text, err := Read(path, MaxPlatformBytes)
	if err != nil {
		found.Add(path, finding.Pos{}, "%v", err)
		return
	}
	report := found.ForFile(path)
	d := doc.ReadJSON(text, MaxPlatformBytes, report)
	if d == nil {
		return
	}
	before := found.Len()
	platformShape.check(&doc.Value{Kind: doc.TableKind, Table: d.Root, Pos: d.Root.Pos}, "", report)
	if found.Len() > before {
		return
	}
	// The sidecar's own check covers the rest. Its errors begin with a key, whose position in the document is looked up.
	if err := standalone.CheckPlatform(text); err != nil {
		report(locate(d, err.Error()), "%s", platformNames.Replace(err.Error()))
	}
}

// platformNames replaces the sidecar's names of keys in messages with the platform's.
var platformNames = strings.NewReplacer("classes", "services", "].scope:", "].keyScope:")

// keyPath matches a path of keys and list indexes in the form that the sidecar's errors use.
var keyPath = regexp.MustCompile(`[A-Za-z_]+(\[\d+\])?(\.[A-Za-z_]+(\[\d+\])?)*`)

// platformPaths maps the sidecar's names of keys to paths in the platform's configuration, where they differ.
var platformPaths = map[string]string{
	"classes": "services", "scope": "keyScope", "maxRetryAfter": "allowed.maxRetryAfter",
	"connectTimeout": "allowed.connectTimeout", "cold": "rules.cold", "coldFrom": "rules.coldFrom", "fall": "rules.fall",
	"tipMultiple": "rules.tipMultiple", "askEvery": "rules.askEvery", "goalWhole": "goal.whole", "goalWorstClass": "goal.worstClass",
}

// locate returns the position of the key with which an error of the sidecar begins, or of the deepest part of its path that exists in the
// document.
func locate(d *doc.Document, message string) finding.Pos {
	walk := keyWalk{table: d.Root, pos: d.Root.Pos}
	for part := range strings.SplitSeq(message, ": ") {
		if keyPath.FindString(part) != part {
			break
		}
		for step := range strings.SplitSeq(part, ".") {
			if !walk.step(step) {
				return walk.pos
			}
		}
	}
	return walk.pos
}

// keyWalk follows a path of keys from the root of a document.
type keyWalk struct {
	table *doc.Table
	pos   finding.Pos
}

// step follows one key, with or without a list index. name is the sidecar's name of the key. It returns false if the document has no such
// key.
func (k *keyWalk) step(name string) bool {
	key, index, isIndexed := strings.Cut(strings.TrimSuffix(name, "]"), "[")
	for key := range strings.SplitSeq(platformPath(key), ".") {
		e := k.table.Get(key)
		if e == nil {
			return false
		}
		k.pos = e.Pos
		k.table = e.Value.Table
		if n, err := strconv.Atoi(index); isIndexed && err == nil && n < len(e.Value.Items) {
			item := e.Value.Items[n]
			k.pos = item.Pos
			k.table = item.Table
		}
	}
	return true
}

// platformPath returns the path in the platform's configuration of a key with the sidecar's name.
func platformPath(name string) string {
	if path := platformPaths[name]; path != "" {
		return path
	}
	return name
}
