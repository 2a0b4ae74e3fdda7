package doctest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// root is the directory of the repository, relative to this package.
const root = "../.."

// skipped are the directories of version control and of build output.
var skipped = []string{".git", "bin", "target", "out"}

// files returns the paths, relative to root, of all files under root for which keep returns true.
func files(t *testing.T, keep func(path string) bool) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		path, err = filepath.Rel(root, path)
		if err != nil {
			return err
		}
		path = filepath.ToSlash(path)
		if entry.IsDir() {
			if slices.Contains(skipped, path) {
				return filepath.SkipDir
			}
			return nil
		}
		if keep(path) {
			found = append(found, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// read returns the content of a file.
func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// exists reports whether there is a file or directory.
func exists(path string) bool {
	_, err := os.Stat(filepath.Join(root, filepath.FromSlash(path)))
	return err == nil
}

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	scheme  = regexp.MustCompile(`^[a-z]+:`)
	heading = regexp.MustCompile(`(?m)^#+ +(.+?) *$`)
	inline  = regexp.MustCompile("`([^`\n]+)`")
	// anchorDropped matches the characters of a heading that its anchor does not have, as the usual renderers omit them.
	anchorDropped = regexp.MustCompile(`[^\p{L}\p{N}\s_-]`)
)

// prose returns a page without its fenced code blocks.
func prose(page string) string {
	var kept strings.Builder
	fenced := false
	for line := range strings.Lines(page) {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			fenced = !fenced
			continue
		}
		if !fenced {
			kept.WriteString(line)
		}
	}
	return kept.String()
}

// anchors returns the anchors of a page's headings.
func anchors(page string) []string {
	var all []string
	for _, found := range heading.FindAllStringSubmatch(prose(page), -1) {
		text := anchorDropped.ReplaceAllString(strings.ToLower(found[1]), "")
		all = append(all, strings.ReplaceAll(text, " ", "-"))
	}
	return all
}

// brokenLinks returns the relative links of a page that have no target.
func brokenLinks(t *testing.T, path string) []string {
	t.Helper()
	var broken []string
	for _, found := range link.FindAllStringSubmatch(prose(read(t, path)), -1) {
		target := found[1]
		if scheme.MatchString(target) {
			continue
		}
		file, anchor, hasAnchor := strings.Cut(target, "#")
		to := path
		if file != "" {
			to = filepath.ToSlash(filepath.Join(filepath.Dir(path), file))
		}
		switch {
		case !exists(to):
			broken = append(broken, target)
		case hasAnchor && strings.HasSuffix(to, ".md") && !slices.Contains(anchors(read(t, to)), anchor):
			broken = append(broken, target)
		}
	}
	return broken
}

func TestLinksLeadSomewhere(t *testing.T) {
	pages := files(t, func(path string) bool { return strings.HasSuffix(path, ".md") })
	if len(pages) < 40 {
		t.Errorf("only %d pages were looked at", len(pages))
	}
	for _, page := range pages {
		for _, target := range brokenLinks(t, page) {
			t.Errorf("%s: the link to %s leads nowhere", page, target)
		}
	}
}

// Each page under docs/ can be reached from docs/README.md.
func TestIndexNamesEachPage(t *testing.T) {
	index := read(t, "docs/README.md")
	for _, page := range files(t, func(path string) bool { return strings.HasPrefix(path, "docs/") && strings.HasSuffix(path, ".md") }) {
		name := strings.TrimPrefix(page, "docs/")
		if name == "README.md" || strings.HasPrefix(name, "incidents/") { // the index links the folder
			continue
		}
		if !strings.Contains(index, "]("+name+")") {
			t.Errorf("docs/README.md does not link %s", name)
		}
	}
}

// checkedPages returns the pages whose names in code font are checked: all but those about the past.
func checkedPages(t *testing.T) []string {
	t.Helper()
	return files(t, func(path string) bool {
		if !strings.HasSuffix(path, ".md") || path == "CHANGELOG.md" || path == "docs/ROADMAP.md" {
			return false
		}
		return !strings.HasPrefix(path, "docs/incidents/") && !strings.HasPrefix(path, "journal/")
	})
}

var (
	goFile = regexp.MustCompile(`^(?:[\w./-]+/)?[\w-]+\.go$`)
	folder = regexp.MustCompile(`^(?:internal|cmd|deploy|docs|rehearsals|tools)/[\w./-]*$`)
)

// namedPaths returns the Go files and folders of this repository that a page names in code font.
func namedPaths(page string) (goFiles, folders []string) {
	for _, found := range inline.FindAllStringSubmatch(prose(page), -1) {
		for word := range strings.FieldsSeq(found[1]) {
			word = strings.TrimSuffix(strings.TrimRight(word, ",;:"), "/...")
			word = strings.TrimPrefix(word, "./")
			for strings.HasPrefix(word, "../") { // relative to a folder that the page names before
				word = strings.TrimPrefix(word, "../")
			}
			switch {
			case strings.Contains(word, "NAME"): // a placeholder
			case goFile.MatchString(word):
				goFiles = append(goFiles, word)
			case folder.MatchString(word):
				folders = append(folders, word)
			}
		}
	}
	return goFiles, folders
}

func TestNamedFilesExist(t *testing.T) {
	all := files(t, func(path string) bool { return strings.HasSuffix(path, ".go") })
	seen := 0
	for _, page := range checkedPages(t) {
		text := read(t, page)
		if page == "docs/glossary.md" {
			text = withoutFormerNames(text)
		}
		goFiles, folders := namedPaths(text)
		seen += len(goFiles) + len(folders)
		for _, name := range goFiles {
			if !slices.ContainsFunc(all, func(path string) bool { return path == name || strings.HasSuffix(path, "/"+name) }) {
				t.Errorf("%s names %s, which is no file", page, name)
			}
		}
		for _, name := range folders {
			if !exists(name) {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
	if seen < 50 {
		t.Errorf("only %d names were looked at", seen)
	}
}

// withoutFormerNames returns the glossary without the first column of its tables, which has names that no longer exist.
func withoutFormerNames(page string) string {
	var kept strings.Builder
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "|") {
			if _, rest, ok := strings.Cut(line[1:], "|"); ok {
				line = "|" + rest
			}
		}
		kept.WriteString(line)
	}
	return kept.String()
}
