package archtest

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	settingsPackage      = modulePrefix + "internal/mesh/operations/settings"
	configurationPackage = modulePrefix + "internal/mesh/control/configuration"
)

// keysOfFields maps the fields that nothing applies to the keys under which docs/operate/mesh.md gives the reason. Fields of other settings
// must be selected somewhere outside the code that reads and prints them.
var keysOfFields = map[string]string{
	"Settings.Role":              "ownNode.role",
	"Settings.MachineClass":      "ownNode.machineClass",
	"Settings.FileDescriptors":   "ownNode.limitSet.fdLimit",
	"Settings.InboundAddress":    "network.listenAddresses.inbound",
	"Settings.KeepaliveInterval": "platformProfile.keepalive",
	"Bounds.Contact":             "termTable.boundSet.contact",
	"Bounds.Drain":               "termTable.boundSet.drain",
	"Bounds.ConfigApply":         "termTable.boundSet.configApply",
	"Bounds.Ack":                 "termTable.boundSet.ack",
	"Service.HealthPath":         "serviceTable.healthPath",
	"Service.ConnectionCap":      "serviceTable.connectionCap",
}

// appliedByReaders has the fields that are applied by the code that reads them.
var appliedByReaders = map[string]bool{"Tenant.Keys": true} // parse.go makes the index of TenantByKey

// structsOfKeys lists the structs whose fields hold the keys of settings files and of the configuration.
var structsOfKeys = map[string][]string{
	settingsPackage:      {"Settings", "Bounds"},
	configurationPackage: {"Route", "WeightedService", "Service", "Limits", "Tenant"},
}

// readsOrPrints reports whether a file only reads settings, or prints them for operators.
func readsOrPrints(path string) bool {
	folder, file := filepath.Split(path)
	switch {
	case strings.HasSuffix(folder, "operations/settings/"):
		return file != "settings.go" // it has methods that derive addresses
	case strings.HasSuffix(folder, "control/configuration/"):
		return file != "configuration.go" // it has methods that make decisions
	}
	return strings.HasSuffix(folder, "operations/meshctl/") && file != "why.go"
}

// exportedPackage is a package in the output of go list -export.
type exportedPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// listExported returns the packages of the mesh and all packages that they import, with files of their compiled declarations.
func listExported(t *testing.T) (packages []exportedPackage) {
	t.Helper()
	command := exec.CommandContext(t.Context(), "go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles", modulePrefix+"internal/mesh/...")
	out, err := command.Output()
	if err != nil {
		t.Fatal("list the packages with go list -export:", err)
	}
	for decoder := json.NewDecoder(bytes.NewReader(out)); ; {
		var listed exportedPackage
		if err := decoder.Decode(&listed); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal("decode the output of go list -export:", err)
		}
		packages = append(packages, listed)
	}
}

// selectedFields type-checks a package, and adds the fields of structsOfKeys that its files select, other than those of readsOrPrints.
func selectedFields(t *testing.T, files *token.FileSet, imports types.Importer, checked exportedPackage, selected map[string]bool) {
	t.Helper()
	var parsed []*ast.File
	for _, name := range checked.GoFiles {
		file, err := parser.ParseFile(files, filepath.Join(checked.Dir, name), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, file)
	}
	info := &types.Info{Selections: map[*ast.SelectorExpr]*types.Selection{}}
	config := types.Config{Importer: imports}
	if _, err := config.Check(checked.ImportPath, files, parsed, info); err != nil {
		t.Fatal(err)
	}
	for expression, selection := range info.Selections {
		name := fieldName(selection)
		if name != "" && !readsOrPrints(files.Position(expression.Pos()).Filename) {
			selected[name] = true
		}
	}
}

// fieldName returns the struct and the name of a field of structsOfKeys that is selected, like "Bounds.Drain", otherwise an empty text.
func fieldName(selection *types.Selection) string {
	receiver := selection.Recv()
	if pointer, ok := receiver.Underlying().(*types.Pointer); ok {
		receiver = pointer.Elem()
	}
	named, ok := receiver.(*types.Named)
	if !ok || selection.Kind() != types.FieldVal || named.Obj().Pkg() == nil {
		return ""
	}
	if !slices.Contains(structsOfKeys[named.Obj().Pkg().Path()], named.Obj().Name()) {
		return ""
	}
	return named.Obj().Name() + "." + selection.Obj().Name()
}

// Each key of a settings file and of the configuration is applied somewhere, or docs/operate/mesh.md has a row that says why it is accepted
// without effect.
func TestKeysAreApplied(t *testing.T) {
	packages := listExported(t)
	exports := map[string]string{}
	for _, listed := range packages {
		exports[listed.ImportPath] = listed.Export
	}
	files := token.NewFileSet()
	imports := importer.ForCompiler(files, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })
	selected := map[string]bool{}
	for _, listed := range packages {
		if strings.HasPrefix(listed.ImportPath, modulePrefix) {
			selectedFields(t, files, imports, listed, selected)
		}
	}
	page, err := os.ReadFile("../../docs/operate/mesh.md")
	if err != nil {
		t.Fatal(err)
	}
	for path, names := range structsOfKeys {
		declared, err := imports.Import(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			fields := declared.Scope().Lookup(name).Type().Underlying().(*types.Struct)
			for field := range fields.Fields() {
				checkKey(t, name+"."+field.Name(), selected, string(page))
			}
		}
	}
}

// checkKey checks one field: it is selected, or it is in keysOfFields and the page has a row for its key, but not both.
func checkKey(t *testing.T, field string, selected map[string]bool, page string) {
	t.Helper()
	key, withoutEffect := keysOfFields[field]
	switch {
	case selected[field] && withoutEffect:
		t.Errorf("%s is applied; remove it from keysOfFields, and its key %s from the page", field, key)
	case !selected[field] && !withoutEffect && !appliedByReaders[field]:
		t.Errorf("nothing applies %s: apply it, or add it to keysOfFields, and its key with the reason to docs/operate/mesh.md", field)
	case withoutEffect && !strings.Contains(page, "\n| `"+key+"` | "):
		t.Errorf("docs/operate/mesh.md has no row for %s, which is accepted without effect", key)
	}
}
