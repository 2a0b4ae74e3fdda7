package apps

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// The lines of the header and the trailer of a derived file. They are comments in TOML but part of the file format: this version must read
// files that other versions have written.
const (
	headerBy     = "# Written by quincegapctl for "
	headerFrom   = " from "
	headerDigest = "# digest: "
	trailer      = "# What was written, by which an edit is found (end of the file as it was written):"
	keyPrefix    = "#: "
)

// headerText has the lines of the header that tell people how to change the file.
var headerText = []string{
	"# Change it there and write again. An edit made here is never lost: quincegapctl diff shows it,",
	"# write --keep-edits keeps it, and adopt takes it back.",
}

// headerLines is the minimum number of lines of a header.
const headerLines = 4

// shortDigestLength is the length of the digest of a value, in hexadecimal digits. It makes accidental collisions improbable.
const shortDigestLength = 12

// Generate returns an application's derived file: the keys that apps.toml sets for it, each with its help, between a header with a digest
// and a trailer with a short digest of each key. source is the name of apps.toml. The result is deterministic.
func Generate(app *App, source string) []byte {
	body := app.File.Text() + "\n" + trailerOf(app.File)
	return []byte(header(app.Name, source, digest([]byte(body))) + body)
}

// header returns the header of a derived file. source is the name of apps.toml, and digest that of all text after the header.
func header(name, source, digest string) string {
	return headerBy + name + headerFrom + source + ".\n" + strings.Join(headerText, "\n") + "\n" + headerDigest + digest + "\n"
}

// trailerOf returns the trailer of a derived file, with a short digest of each key.
func trailerOf(f *schema.File) string {
	var b strings.Builder
	b.WriteString(trailer + "\n")
	for _, s := range f.Settings() {
		fmt.Fprintf(&b, "%s%s %s\n", keyPrefix, shortDigest(s.Canonical), s.ID())
	}
	return b.String()
}

// digest returns the SHA-256 digest of a text in hexadecimal.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// shortDigest returns the digest of a value for the trailer.
func shortDigest(canonical string) string { return digest([]byte(canonical))[:shortDigestLength] }

// Provenance is the information in a derived file about its generation.
type Provenance struct {
	App        string
	Source     string            // the name of apps.toml
	KeyDigests map[string]string // the short digests of the keys that were generated, by ID
	Keys       []string          // the IDs of those keys, in the order of the file
	Edited     bool              // whether the text has changed since, even if only in comments
	Truncated  bool              // whether the trailer is missing, so that the end of the file has been lost
}

// ParseProvenance parses the header and the trailer of a file. It returns nil if the file does not begin with a header of quincegapctl.
func ParseProvenance(text []byte) *Provenance {
	lines := strings.Split(strings.ReplaceAll(string(text), "\r\n", "\n"), "\n")
	if len(lines) < headerLines || !strings.HasPrefix(lines[0], headerBy) {
		return nil
	}
	app, source, ok := strings.Cut(strings.TrimPrefix(lines[0], headerBy), headerFrom)
	if !ok {
		return nil
	}
	provenance := &Provenance{App: app, Source: strings.TrimSuffix(source, "."), KeyDigests: map[string]string{}, Truncated: true}
	wantDigest := ""
	linesAbove := 0 // the number of lines up to and including the digest, which does not cover them
	for i, line := range lines {
		switch {
		case wantDigest == "" && strings.HasPrefix(line, headerDigest):
			wantDigest = strings.TrimPrefix(line, headerDigest)
			linesAbove = i + 1
		case line == trailer:
			provenance.Truncated = false
		case !provenance.Truncated && strings.HasPrefix(line, keyPrefix):
			provenance.addKey(strings.TrimPrefix(line, keyPrefix))
		}
	}
	// The digest is that of the original bytes and not of the lines above, so that a change of line ends counts as an edit too.
	for range linesAbove {
		_, text, _ = bytes.Cut(text, []byte("\n"))
	}
	provenance.Edited = wantDigest == "" || digest(text) != wantDigest
	return provenance
}

// addKey adds a key from a line of the trailer, which has a short digest and the key's ID.
func (p *Provenance) addKey(line string) {
	if sum, key, ok := strings.Cut(line, " "); ok {
		p.KeyDigests[key] = sum
		p.Keys = append(p.Keys, key)
	}
}

// replaceProvenance returns an edited text with the header and the trailer of a generated one. It keeps the line ends of the edited text.
func replaceProvenance(text, generated []byte) []byte {
	newHeader := ""
	newDigest := ""
	var newKeys []string
	for i, line := range strings.Split(string(generated), "\n") {
		line = strings.TrimSuffix(line, "\r")
		switch {
		case i == 0:
			newHeader = line
		case newDigest == "" && strings.HasPrefix(line, headerDigest):
			newDigest = line
		case strings.HasPrefix(line, keyPrefix):
			newKeys = append(newKeys, line)
		}
	}
	var lines []string
	for line := range strings.SplitSeq(string(text), "\n") {
		line = strings.TrimSuffix(line, "\r")
		switch {
		case strings.HasPrefix(line, keyPrefix):
		case strings.HasPrefix(line, headerBy):
			lines = append(lines, newHeader)
		case strings.HasPrefix(line, headerDigest):
			lines = append(lines, newDigest)
		case line == trailer:
			lines = append(lines, line)
			lines = append(lines, newKeys...)
		default:
			lines = append(lines, line)
		}
	}
	return []byte(strings.Join(lines, doc.Newline(text)))
}

// CheckLostKeys reports keys that were generated and that the file no longer has, since such a key silently takes its default.
func CheckLostKeys(p *Provenance, f *schema.File, path string, found *finding.List) {
	for _, id := range p.Keys {
		if key := splitID(id); key != nil && f.Setting(key...) == nil {
			at := f.Location(key...)
			found.Add(path, at.Pos, "%s was written here and is gone; put it back, or take it out of %s and write again", id, p.Source)
		}
	}
}

// splitID returns the path of an ID that doc.DottedPath has formatted, or nil if the text is not an ID.
func splitID(id string) (path []string) {
	d := parseTOML([]byte(id + " = 0\n"))
	if d == nil {
		return nil
	}
	for t := d.Root; t != nil && len(t.Entries) == 1; t = t.Entries[0].Value.Table {
		path = append(path, t.Entries[0].Name)
	}
	return path
}

// parseTOML reads a text and ignores findings. Callers have reported them before, or expect none.
func parseTOML(text []byte) *doc.Document {
	return doc.ReadTOML(text, len(text), func(finding.Pos, string, ...any) {})
}
