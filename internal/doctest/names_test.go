package doctest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// declared has the names that the project's Go files declare.
type declared struct {
	packages map[string]map[string]bool // the package-level names, by package
	members  map[string]map[string]bool // methods and fields, by the name of the type in any package
	inside   map[string]bool            // all package.Type.Member
}

// sources returns the Go files of some folders, without tests and testdata.
func sources(t *testing.T, folders ...string) []string {
	t.Helper()
	return files(t, func(path string) bool {
		in := slices.ContainsFunc(folders, func(folder string) bool { return strings.HasPrefix(path, folder+"/") })
		return in && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, "/testdata/")
	})
}

// parse parses a file.
func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	return parseInto(t, token.NewFileSet(), path)
}

// parseInto parses a file and adds its positions to a set of files.
func parseInto(t *testing.T, set *token.FileSet, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(set, filepath.Join(root, filepath.FromSlash(path)), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// collect returns the names that the project declares.
func collect(t *testing.T) *declared {
	t.Helper()
	names := &declared{
		packages: map[string]map[string]bool{},
		members:  map[string]map[string]bool{},
		inside:   map[string]bool{},
	}
	for _, path := range sources(t, "internal", "cmd") {
		file := parse(t, path)
		name := file.Name.Name
		if name == "main" {
			name = filepath.Base(filepath.Dir(path)) // pages name a program by its folder
		}
		for _, declaration := range file.Decls {
			names.add(name, declaration)
		}
	}
	return names
}

// add adds the names of a declaration in a package.
func (d *declared) add(pkg string, declaration ast.Decl) {
	switch x := declaration.(type) {
	case *ast.FuncDecl:
		if x.Recv == nil {
			d.name(pkg, x.Name)
			return
		}
		d.member(pkg, receiver(x.Recv.List[0].Type), x.Name)
	case *ast.GenDecl:
		for _, spec := range x.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					d.name(pkg, name)
				}
			case *ast.TypeSpec:
				d.name(pkg, s.Name)
				d.addType(pkg, s)
			}
		}
	}
}

// addType adds the fields of a struct or the methods of an interface.
func (d *declared) addType(pkg string, s *ast.TypeSpec) {
	var list *ast.FieldList
	switch x := s.Type.(type) {
	case *ast.StructType:
		list = x.Fields
	case *ast.InterfaceType:
		list = x.Methods
	default:
		return
	}
	for _, field := range list.List {
		for _, name := range field.Names {
			d.member(pkg, s.Name.Name, name)
		}
	}
}

// name adds a package-level name.
func (d *declared) name(pkg string, name *ast.Ident) {
	if d.packages[pkg] == nil {
		d.packages[pkg] = map[string]bool{}
	}
	d.packages[pkg][name.Name] = true
}

// member adds a method or a field of a type.
func (d *declared) member(pkg, typeName string, name *ast.Ident) {
	if d.members[typeName] == nil {
		d.members[typeName] = map[string]bool{}
	}
	d.members[typeName][name.Name] = true
	d.inside[pkg+"."+typeName+"."+name.Name] = true
}

// receiver returns the name of the type of a method, from the type of its receiver.
func receiver(typeExpr ast.Expr) string {
	switch x := typeExpr.(type) {
	case *ast.StarExpr:
		return receiver(x.X)
	case *ast.IndexExpr:
		return receiver(x.X)
	case *ast.IndexListExpr:
		return receiver(x.X)
	case *ast.Ident:
		return x.Name
	}
	return ""
}

var (
	goName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*(?:\.[A-Za-z][A-Za-z0-9]*){1,2}$`)
	// notGo matches names of files, which look like a member of a package.
	notGo = regexp.MustCompile(`\.(?:go|md|toml|json|sh|yml|mod|txt|seg|morning|csv|html)$`)
)

// has reports whether pkg.Name, Type.Member or pkg.Type.Member is declared.
func (d *declared) has(name string) bool {
	parts := strings.Split(name, ".")
	if len(parts) == 3 {
		return d.inside[name]
	}
	return d.packages[parts[0]][parts[1]] || d.members[parts[0]][parts[1]]
}

// foreign are the packages and types that pages name and that are not the project's.
var foreign = []string{"http", "httputil", "unstable", "errors", "t", "MetaData", "Weights"}

// namedInCode returns the Go names that a page has in code font, without those of files, tests and other projects.
func namedInCode(page string) (names []string) {
	for _, found := range inline.FindAllStringSubmatch(prose(page), -1) {
		name, _, _ := strings.Cut(found[1], "(")
		of, _, _ := strings.Cut(name, ".")
		if goName.MatchString(name) && !notGo.MatchString(name) && !testName.MatchString(name) && !slices.Contains(foreign, of) {
			names = append(names, name)
		}
	}
	return names
}

// Each function, method, field and type that a page for contributors names in code font is declared in the project.
func TestNamedDeclarationsExist(t *testing.T) {
	d := collect(t)
	seen := 0
	for _, page := range checkedPages(t) {
		if strings.HasPrefix(page, "docs/operate/") && page != runbook {
			continue // what looks like a Go name there is a key of the settings
		}
		for _, name := range namedInCode(read(t, page)) {
			seen++
			if !d.has(name) {
				t.Errorf("%s names %s, which is not declared", page, name)
			}
		}
	}
	if seen < 80 {
		t.Errorf("only %d names were looked at", seen)
	}
}

// Each package has a row in the architecture page's table of layers, by itself or with its folder.
func TestArchitectureListsEachPackage(t *testing.T) {
	page := read(t, "docs/architecture.md")
	seen := map[string]bool{}
	for _, path := range files(t, func(path string) bool { return strings.HasPrefix(path, "internal/") && strings.HasSuffix(path, ".go") }) {
		pkg := filepath.ToSlash(filepath.Dir(path))
		if strings.Contains(pkg, "/testdata") || seen[pkg] {
			continue
		}
		seen[pkg] = true
		parent := filepath.ToSlash(filepath.Dir(pkg))
		if !strings.Contains(page, "| `"+pkg+"` |") && !strings.Contains(page, "| `"+parent+"/` |") {
			t.Errorf("docs/architecture.md has no row for %s", pkg)
		}
	}
}

var testName = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z][A-Za-z0-9]*\b`)

// Each test and benchmark that a page names exists.
func TestNamedTestsExist(t *testing.T) {
	declared := map[string]bool{}
	for _, path := range files(t, func(path string) bool {
		return strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(path, "journal/")
	}) {
		for _, declaration := range parse(t, path).Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok && f.Recv == nil {
				declared[f.Name.Name] = true
			}
		}
	}
	seen := 0
	for _, page := range checkedPages(t) {
		for _, name := range testName.FindAllString(prose(read(t, page)), -1) {
			seen++
			if !declared[name] {
				t.Errorf("%s names %s, which is no test", page, name)
			}
		}
	}
	if seen < 100 {
		t.Errorf("only %d names were looked at", seen)
	}
}

var (
	deliberateFault = regexp.MustCompile(`(?m)^fault ["'](.+?)["'] (\S+) `)
	faultRow        = regexp.MustCompile("(?m)^\\| (.+?) \\| `([^`]+)` \\| .+ \\|$")
)

// The page on tests has each fault that the script deliberately puts into the code, with its file.
func TestPageHasEachDeliberateFault(t *testing.T) {
	const script, page = "internal/mesh/control/mutants.sh", "docs/design/testing.md"
	onPage := map[string]string{}
	for _, row := range faultRow.FindAllStringSubmatch(read(t, page), -1) {
		onPage[row[1]] = row[2]
	}
	faults := deliberateFault.FindAllStringSubmatch(read(t, script), -1)
	if len(faults) < 50 {
		t.Errorf("only %d faults were looked at", len(faults))
	}
	for _, fault := range faults {
		if onPage[fault[1]] != fault[2] {
			t.Errorf("%s: fault %q in %s: %s has it in %q", script, fault[1], fault[2], page, onPage[fault[1]])
		}
	}
}
