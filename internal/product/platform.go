package product

import (
	"regexp"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/standalone"
)

// MaxPlatformBytes bounds the platform's JSON configuration, its list of endpoints included.
const MaxPlatformBytes = 16 << 20

// CheckPlatform reports the faults of a platform's JSON configuration for which the sidecar would not start.
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
	// The sidecar checks the rest. Its errors name a key, whose position is looked up.
	if err := standalone.CheckPlatform(text); err != nil {
		report(locate(d, err.Error()), "%s", platformNames.Replace(err.Error()))
	}
}

// platformNames replaces the sidecar's names of keys in messages by the platform's.
var platformNames = strings.NewReplacer("classes", "services", "].scope:", "].keyScope:")

// keyPath matches a path of keys, with indexes of lists, as the sidecar's errors have it.
var keyPath = regexp.MustCompile(`[A-Za-z_]+(\[\d+\])?(\.[A-Za-z_]+(\[\d+\])?)*`)

// platformPaths maps the sidecar's names of keys to the platform's paths.
var platformPaths = map[string]string{
	"classes": "services", "scope": "keyScope", "maxRetryAfter": "allowed.maxRetryAfter",
	"connectTimeout": "allowed.connectTimeout", "cold": "rules.cold", "coldFrom": "rules.coldFrom", "fall": "rules.fall",
	"tipMultiple": "rules.tipMultiple", "askEvery": "rules.askEvery", "goalWhole": "goal.whole", "goalWorstClass": "goal.worstClass",
}

// locate returns the position of the key with which an error of the sidecar begins, or of the deepest part of its path that the document
// has.
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

// keyWalk follows keys from the root of a document.
type keyWalk struct {
	table *doc.Table
	pos   finding.Pos
}

// step follows one key, with or without an index, by the sidecar's name of it. It returns false if the document has no such key.
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

// platformPath returns the platform's path of a key, by the sidecar's name of it.
func platformPath(name string) string {
	if path := platformPaths[name]; path != "" {
		return path
	}
	return name
}
