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

// CheckPlatform reports what is wrong with a platform's JSON configuration, as the sidecar would refuse it.
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
	// What only the programs judge: they name a key, whose line is looked up.
	if err := standalone.CheckPlatform(text); err != nil {
		report(locate(d, err.Error()), "%s", platformNames.Replace(err.Error()))
	}
}

// platformNames replaces names of keys in messages of the programs by the platform's.
var platformNames = strings.NewReplacer("classes", "services", "].scope:", "].keyScope:")

// keyPath is a path of keys, with indexes of lists, as errors of the programs name one.
var keyPath = regexp.MustCompile(`[A-Za-z_]+(\[\d+\])?(\.[A-Za-z_]+(\[\d+\])?)*`)

// platformPaths are the platform's paths for names of the programs.
var platformPaths = map[string]string{
	"classes": "services", "scope": "keyScope", "maxRetryAfter": "allowed.maxRetryAfter",
	"connectTimeout": "allowed.connectTimeout", "cold": "rules.cold", "coldFrom": "rules.coldFrom", "fall": "rules.fall",
	"tipMultiple": "rules.tipMultiple", "askEvery": "rules.askEvery", "goalWhole": "goal.whole", "goalWorstClass": "goal.worstClass",
}

// locate returns the position of the key that an error of the programs names at its head: the deepest that is there.
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

// step follows one key, maybe with an index, by the programs' names. It is false where the document has no such key.
func (w *keyWalk) step(name string) bool {
	key, index, isIndexed := strings.Cut(strings.TrimSuffix(name, "]"), "[")
	for key := range strings.SplitSeq(platformPath(key), ".") {
		e := w.table.Get(key)
		if e == nil {
			return false
		}
		w.pos = e.Pos
		w.table = e.Value.Table
		if n, err := strconv.Atoi(index); isIndexed && err == nil && n < len(e.Value.Items) {
			item := e.Value.Items[n]
			w.pos = item.Pos
			w.table = item.Table
		}
	}
	return true
}

// platformPath returns the platform's path for a name of the programs.
func platformPath(name string) string {
	if path := platformPaths[name]; path != "" {
		return path
	}
	return name
}
