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

// root is the path of the repository's root directory, relative to this package's directory.
const root = "../.."

// skippedDirs lists the directories of version control and build output, which files does not search.
var skippedDirs = []string{".git", "bin", "target", "out"}

// files returns the paths, relative to root, of all files under root for which keep returns true. It does not search
// skippedDirs.
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
			if slices.Contains(skippedDirs, path) {
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

// readFile returns the content of the file at path, relative to root. It ends the test if the file cannot be read.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// exists reports whether there is a file or directory at path, relative to root.
func exists(path string) bool {
	_, err := os.Stat(filepath.Join(root, filepath.FromSlash(path)))
	return err == nil
}

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	schemePattern  = regexp.MustCompile(`^[a-z]+:`)
	headingPattern = regexp.MustCompile(`(?m)^#+ +(.+?) *$`)
	inlineCode     = regexp.MustCompile("`([^`\n]+)`")
	// anchorDropped matches the characters of a heading that common Markdown renderers omit from its anchor.
	anchorDropped = regexp.MustCompile(`[^\p{L}\p{N}\s_-]`)
)

// withoutCodeBlocks returns the text of page without its fenced code blocks.
func withoutCodeBlocks(page string) string {
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

// anchors returns the link anchors of the headings of page.
func anchors(page string) []string {
	var all []string
	for _, found := range headingPattern.FindAllStringSubmatch(withoutCodeBlocks(page), -1) {
		text := anchorDropped.ReplaceAllString(strings.ToLower(found[1]), "")
		all = append(all, strings.ReplaceAll(text, " ", "-"))
	}
	return all
}

// brokenLinks returns the relative links of the page at path whose target file or anchor does not exist.
func brokenLinks(t *testing.T, path string) []string {
	t.Helper()
	var broken []string
	for _, found := range linkPattern.FindAllStringSubmatch(withoutCodeBlocks(readFile(t, path)), -1) {
		target := found[1]
		if schemePattern.MatchString(target) {
			continue
		}
		file, anchor, hasAnchor := strings.Cut(target, "#")
		targetPath := path
		if file != "" {
			targetPath = filepath.ToSlash(filepath.Join(filepath.Dir(path), file))
		}
		switch {
		case !exists(targetPath):
			broken = append(broken, target)
		case hasAnchor && strings.HasSuffix(targetPath, ".md") && !slices.Contains(anchors(readFile(t, targetPath)), anchor):
			broken = append(broken, target)
		}
	}
	return broken
}

// Each relative link on a page has an existing target.
func TestLinksLeadSomewhere(t *testing.T) {
	pages := files(t, func(path string) bool { return strings.HasSuffix(path, ".md") })
	if len(pages) < 40 {
		t.Errorf("found %d pages, want at least 40", len(pages))
	}
	for _, page := range pages {
		for _, target := range brokenLinks(t, page) {
			t.Errorf("%s links to %s, which does not exist", page, target)
		}
	}
}

// docs/README.md links each page under docs/, except for the incident reports.
func TestIndexNamesEachPage(t *testing.T) {
	index := readFile(t, "docs/README.md")
	for _, page := range files(t, func(path string) bool { return strings.HasPrefix(path, "docs/") && strings.HasSuffix(path, ".md") }) {
		name := strings.TrimPrefix(page, "docs/")
		if name == "README.md" || strings.HasPrefix(name, "incidents/") { // docs/README.md links the folder of incident reports
			continue
		}
		if !strings.Contains(index, "]("+name+")") {
			t.Errorf("docs/README.md does not link %s", name)
		}
	}
}

// checkedPages returns the paths of the pages whose names in code font are checked. Pages about the past are left out, since they have
// names that no longer exist.
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
	goFilePattern = regexp.MustCompile(`^(?:[\w./-]+/)?[\w-]+\.go$`)
	folderPattern = regexp.MustCompile(`^(?:internal|cmd|deploy|docs|rehearsals|tools)/[\w./-]*$`)
)

// namedPaths returns the paths of Go files and of folders of this repository that page has in code font.
func namedPaths(page string) (goFiles, folders []string) {
	for _, found := range inlineCode.FindAllStringSubmatch(withoutCodeBlocks(page), -1) {
		for word := range strings.FieldsSeq(found[1]) {
			word = strings.TrimSuffix(strings.TrimRight(word, ",;:"), "/...")
			word = strings.TrimPrefix(word, "./")
			for strings.HasPrefix(word, "../") { // the path is relative to a folder that the page mentions earlier
				word = strings.TrimPrefix(word, "../")
			}
			switch {
			case strings.Contains(word, "NAME"): // the path has a placeholder
			case goFilePattern.MatchString(word):
				goFiles = append(goFiles, word)
			case folderPattern.MatchString(word):
				folders = append(folders, word)
			}
		}
	}
	return goFiles, folders
}

// Each Go file and folder that a page has in code font exists.
func TestNamedFilesExist(t *testing.T) {
	all := files(t, func(path string) bool { return strings.HasSuffix(path, ".go") })
	seen := 0
	for _, page := range checkedPages(t) {
		text := readFile(t, page)
		if page == "docs/glossary.md" {
			text = withoutFormerNames(text)
		}
		goFiles, folders := namedPaths(text)
		seen += len(goFiles) + len(folders)
		for _, name := range goFiles {
			if !slices.ContainsFunc(all, func(path string) bool { return path == name || strings.HasSuffix(path, "/"+name) }) {
				t.Errorf("%s mentions Go file %s, which does not exist", page, name)
			}
		}
		for _, name := range folders {
			if !exists(name) {
				t.Errorf("%s mentions folder %s, which does not exist", page, name)
			}
		}
	}
	if seen < 50 {
		t.Errorf("found %d paths in code font on the pages, want at least 50", seen)
	}
}

// withoutFormerNames returns page, the glossary, without the first column of its tables, which lists names that no longer exist.
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
