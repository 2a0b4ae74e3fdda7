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

// declarations holds the names that the project's Go files declare.
type declarations struct {
	packages         map[string]map[string]bool // set of package-level names, by package name
	members          map[string]map[string]bool // set of methods and fields, by type name (without package)
	qualifiedMembers map[string]bool            // set of qualified member names, as package.Type.Member
}

// sourceFiles returns the paths of the Go files below folders, without tests and testdata.
func sourceFiles(t *testing.T, folders ...string) []string {
	t.Helper()
	return files(t, func(path string) bool {
		in := slices.ContainsFunc(folders, func(folder string) bool { return strings.HasPrefix(path, folder+"/") })
		return in && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, "/testdata/")
	})
}

// parse returns the syntax tree of the Go file at path. It ends the test if the file cannot be parsed.
func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	return parseInto(t, token.NewFileSet(), path)
}

// parseInto is like parse, and records the positions of the syntax tree in set.
func parseInto(t *testing.T, set *token.FileSet, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(set, filepath.Join(root, filepath.FromSlash(path)), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// collectDeclarations returns the names that the Go files below internal and cmd declare, tests excepted.
func collectDeclarations(t *testing.T) *declarations {
	t.Helper()
	names := &declarations{
		packages:         map[string]map[string]bool{},
		members:          map[string]map[string]bool{},
		qualifiedMembers: map[string]bool{},
	}
	for _, path := range sourceFiles(t, "internal", "cmd") {
		file := parse(t, path)
		name := file.Name.Name
		if name == "main" {
			name = filepath.Base(filepath.Dir(path)) // pages refer to a program by its folder's name
		}
		for _, declaration := range file.Decls {
			names.add(name, declaration)
		}
	}
	return names
}

// add adds the names that a declaration of package pkg introduces.
func (d *declarations) add(pkg string, declaration ast.Decl) {
	switch decl := declaration.(type) {
	case *ast.FuncDecl:
		if decl.Recv == nil {
			d.addName(pkg, decl.Name)
			return
		}
		d.addMember(pkg, receiver(decl.Recv.List[0].Type), decl.Name)
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			switch typedSpec := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range typedSpec.Names {
					d.addName(pkg, name)
				}
			case *ast.TypeSpec:
				d.addName(pkg, typedSpec.Name)
				d.addType(pkg, typedSpec)
			}
		}
	}
}

// addType adds the fields of a struct type or the methods of an interface type. It adds nothing for other types.
func (d *declarations) addType(pkg string, spec *ast.TypeSpec) {
	var members *ast.FieldList
	switch x := spec.Type.(type) {
	case *ast.StructType:
		members = x.Fields
	case *ast.InterfaceType:
		members = x.Methods
	default:
		return
	}
	for _, field := range members.List {
		for _, name := range field.Names {
			d.addMember(pkg, spec.Name.Name, name)
		}
	}
}

// addName adds a package-level name of package pkg.
func (d *declarations) addName(pkg string, name *ast.Ident) {
	if d.packages[pkg] == nil {
		d.packages[pkg] = map[string]bool{}
	}
	d.packages[pkg][name.Name] = true
}

// addMember adds a method or field of type typeName in package pkg.
func (d *declarations) addMember(pkg, typeName string, name *ast.Ident) {
	if d.members[typeName] == nil {
		d.members[typeName] = map[string]bool{}
	}
	d.members[typeName][name.Name] = true
	d.qualifiedMembers[pkg+"."+typeName+"."+name.Name] = true
}

// receiver returns the type name in the type expression of a method's receiver, without pointer and type parameters. It returns "" for an
// expression of another kind.
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
	goNamePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*(?:\.[A-Za-z][A-Za-z0-9]*){1,2}$`)
	// fileNamePattern matches file names, which goNamePattern matches too, since they look like a member of a package.
	fileNamePattern = regexp.MustCompile(`\.(?:go|md|toml|json|sh|yml|mod|txt|seg|morning|csv|html)$`)
)

// has reports whether name is declared. The name has the form pkg.Name, Type.Member or pkg.Type.Member.
func (d *declarations) has(name string) bool {
	parts := strings.Split(name, ".")
	if len(parts) == 3 {
		return d.qualifiedMembers[name]
	}
	return d.packages[parts[0]][parts[1]] || d.members[parts[0]][parts[1]]
}

// foreignNames lists the packages and types that pages mention and that other projects declare.
var foreignNames = []string{"http", "httputil", "unstable", "errors", "t", "MetaData", "Weights"}

// namedInCode returns the Go names that page has in code font, without names of files and tests and without foreignNames.
func namedInCode(page string) (names []string) {
	for _, found := range inlineCode.FindAllStringSubmatch(withoutCodeBlocks(page), -1) {
		name, _, _ := strings.Cut(found[1], "(")
		qualifier, _, _ := strings.Cut(name, ".")
		if goNamePattern.MatchString(name) && !fileNamePattern.MatchString(name) && !testNamePattern.MatchString(name) &&
			!slices.Contains(foreignNames, qualifier) {
			names = append(names, name)
		}
	}
	return names
}

// Each function, method, field and type that a page for contributors has in code font is declared in the project.
func TestNamedDeclarationsExist(t *testing.T) {
	declared := collectDeclarations(t)
	seen := 0
	for _, page := range checkedPages(t) {
		if strings.HasPrefix(page, "docs/operate/") && page != runbook {
			continue // names with dots on these pages are keys of settings
		}
		for _, name := range namedInCode(readFile(t, page)) {
			seen++
			if !declared.has(name) {
				t.Errorf("%s mentions %s, which no Go file below internal or cmd declares", page, name)
			}
		}
	}
	if seen < 80 {
		t.Errorf("found %d Go names in code font on the pages, want at least 80", seen)
	}
}

// The architecture page's table of layers has a row for each package or for the folder that contains it.
func TestArchitectureListsEachPackage(t *testing.T) {
	page := readFile(t, "docs/architecture.md")
	seen := map[string]bool{}
	for _, path := range files(t, func(path string) bool { return strings.HasPrefix(path, "internal/") && strings.HasSuffix(path, ".go") }) {
		pkg := filepath.ToSlash(filepath.Dir(path))
		if strings.Contains(pkg, "/testdata") || seen[pkg] {
			continue
		}
		seen[pkg] = true
		parent := filepath.ToSlash(filepath.Dir(pkg))
		if !strings.Contains(page, "| `"+pkg+"` |") && !strings.Contains(page, "| `"+parent+"/` |") {
			t.Errorf("docs/architecture.md has no row for package %s or its parent folder", pkg)
		}
	}
}

var testNamePattern = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z][A-Za-z0-9]*\b`)

// Each test and benchmark that a page mentions exists.
func TestNamedTestsExist(t *testing.T) {
	testFuncs := map[string]bool{}
	for _, path := range files(t, func(path string) bool {
		return strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(path, "journal/")
	}) {
		for _, declaration := range parse(t, path).Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok && f.Recv == nil {
				testFuncs[f.Name.Name] = true
			}
		}
	}
	seen := 0
	for _, page := range checkedPages(t) {
		for _, name := range testNamePattern.FindAllString(withoutCodeBlocks(readFile(t, page)), -1) {
			seen++
			if !testFuncs[name] {
				t.Errorf("%s mentions %s, but no test or benchmark has this name", page, name)
			}
		}
	}
	if seen < 100 {
		t.Errorf("found %d names of tests and benchmarks on the pages, want at least 100", seen)
	}
}

var (
	deliberateFault = regexp.MustCompile(`(?m)^fault ["'](.+?)["'] (\S+) `)
	faultRow        = regexp.MustCompile("(?m)^\\| (.+?) \\| `([^`]+)` \\| .+ \\|$")
)

// The page on tests lists each fault that the mutation script injects into the code, together with the file that the script changes.
func TestPageHasEachDeliberateFault(t *testing.T) {
	const script, page = "internal/mesh/control/mutants.sh", "docs/design/testing.md"
	onPage := map[string]string{}
	for _, row := range faultRow.FindAllStringSubmatch(readFile(t, page), -1) {
		onPage[row[1]] = row[2]
	}
	faults := deliberateFault.FindAllStringSubmatch(readFile(t, script), -1)
	if len(faults) < 50 {
		t.Errorf("found %d faults in %s, want at least 50", len(faults), script)
	}
	for _, fault := range faults {
		if onPage[fault[1]] != fault[2] {
			t.Errorf("%s injects fault %q into file %s, but %s lists it with file %q", script, fault[1], fault[2], page, onPage[fault[1]])
		}
	}
}
