// Package layout checks the code against the rules of CONTRIBUTING.md: which
// package may import which, what a pure state machine must not use, and how
// long files and functions may be.
package layout_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "birchwood.example/birchwood/"

// layers lists the packages in import order: a package may import only packages
// of earlier layers. An entry also covers the packages below its folder that
// have no entry of their own.
var layers = [][]string{
	{"soak/promise"},
	{"internal/wait", "findings", "header", "recordstore", "eventstream", "zone", "dispatch", "liveness", "membudget"},
	{"tenant", "evacuation", "quarantine", "connection"},
	{"httpclient", "retry", "routing", "replica", "ledger", "ownership", "upstream"},
	{"machine", "api"},
	{"contract", "recordlog", "infra", "tool", "history", "stream"},
	{"partition", "program", "workload", "gather"},
	{"schedule", "coordinator", "ingress"},
	{"engine", "link"},
	{"control", "config", "emulator/platformmodel", "emulator/enginemodel"},
	{"engine/enginehttp", "tool/toolhttp", "infra/infrahttp", "link/linkhttp", "gateway", "emulator/standin"},
	{"operator", "emulator", "emulator/cluster"},
	{"node", "load", "emulator/benchplot", "edge"},
	{"development", "platform"},
	{"platform/standin"},
	{"soak"},
	{"command/exit"},
	{"command/edgecommand"},
	{"command", "internal"},
	{"cmd"},
}

// pure lists the packages of state machines and plain values: they use no I/O,
// no clock, no goroutines, and no randomness that is not passed in.
var pure = []string{
	"zone", "machine", "api", "contract", "recordlog", "partition", "program", "schedule", "retry", "findings",
	"control", "workload", "emulator/enginemodel", "emulator/platformmodel",
	"routing", "replica", "ledger", "ownership", "coordinator", "eventstream", "header", "recordstore",
	"tenant", "evacuation", "dispatch", "gather", "soak/promise", "quarantine", "liveness",
}

// embeddable lists the packages that other programs use without the daemon.
var embeddable = []string{"recordlog", "partition", "contract", "schedule", "history", "routing", "replica", "ledger", "ownership", "coordinator", "dispatch"}

const (
	maximumFileLines     = 500
	maximumFunctionLines = 60
)

// file is one Go file of the module.
type file struct {
	path    string
	folder  string
	syntax  *ast.File
	lines   int
	isTest  bool
	imports []string
}

func loadFiles(t *testing.T) ([]file, *token.FileSet) {
	t.Helper()
	positions := token.NewFileSet()
	var files []file
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		syntax, err := parser.ParseFile(positions, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		found := file{
			path: relative, folder: filepath.ToSlash(filepath.Dir(relative)), syntax: syntax,
			lines: positions.File(syntax.Pos()).LineCount(), isTest: strings.HasSuffix(path, "_test.go"),
		}
		for _, spec := range syntax.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			found.imports = append(found.imports, name)
		}
		files = append(files, found)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no files were read")
	}
	return files, positions
}

// layerOf returns the index of a folder's layer, or -1 if it has none.
func layerOf(folder string) int {
	for name := folder; name != "." && name != ""; name = parentOf(name) {
		for index, layer := range layers {
			for _, entry := range layer {
				if entry == name {
					return index
				}
			}
		}
	}
	return -1
}

func parentOf(folder string) string {
	if index := strings.LastIndexByte(folder, '/'); index >= 0 {
		return folder[:index]
	}
	return ""
}

func contains(list []string, entry string) bool {
	for _, candidate := range list {
		if candidate == entry {
			return true
		}
	}
	return false
}

func TestImportsPointToEarlierLayers(t *testing.T) {
	files, _ := loadFiles(t)
	for _, source := range files {
		if source.isTest {
			continue
		}
		ownLayer := layerOf(source.folder)
		if ownLayer < 0 {
			t.Errorf("%s: folder %s has no layer in this test", source.path, source.folder)
			continue
		}
		for _, name := range source.imports {
			target, ours := strings.CutPrefix(name, module)
			if ours && target != source.folder && layerOf(target) >= ownLayer {
				t.Errorf("%s imports %s, which is not in an earlier layer", source.path, target)
			}
		}
	}
}

// The imports, calls and modules that a pure package must not use.
var (
	impureImports = []string{"net", "net/http", "os", "os/signal", "syscall", "io/fs", "crypto/rand"}
	impureCalls   = map[string][]string{
		"time": {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
		"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Float64", "Perm", "Shuffle", "N", "NormFloat64", "ExpFloat64"},
	}
	impureModules = []string{"github.com/valyala/fasthttp", "github.com/fasthttp/router", "go.uber.org/dig", "github.com/phuslu/log"}
)

func TestStateMachinesArePure(t *testing.T) {
	files, positions := loadFiles(t)
	for _, source := range files {
		if source.isTest || !contains(pure, source.folder) {
			continue
		}
		for _, name := range source.imports {
			if contains(impureImports, name) || contains(impureModules, name) {
				t.Errorf("%s imports %s", source.path, name)
			}
		}
		ast.Inspect(source.syntax, func(node ast.Node) bool {
			if found := impurity(node); found != "" {
				t.Errorf("%s: %s", positions.Position(node.Pos()), found)
			}
			return true
		})
	}
}

// impurity describes the construct of a node that a pure package must not
// contain, or returns "" if there is none.
func impurity(node ast.Node) string {
	switch node := node.(type) {
	case *ast.GoStmt:
		return "a goroutine is started"
	case *ast.SelectorExpr:
		if base, ok := node.X.(*ast.Ident); ok && contains(impureCalls[base.Name], node.Sel.Name) {
			return base.Name + "." + node.Sel.Name + " is used"
		}
	}
	return ""
}

func TestEmbeddablePackagesNeedNoDaemon(t *testing.T) {
	files, _ := loadFiles(t)
	imports := make(map[string][]string)
	for _, source := range files {
		if !source.isTest {
			imports[source.folder] = append(imports[source.folder], source.imports...)
		}
	}
	for _, name := range embeddable {
		seen := make(map[string]bool)
		checkReachableImports(t, name, name, imports, seen)
	}
}

// checkReachableImports follows imports within the module and reports those of
// net/http and of impureModules.
func checkReachableImports(t *testing.T, start, folder string, imports map[string][]string, seen map[string]bool) {
	if seen[folder] {
		return
	}
	seen[folder] = true
	for _, name := range imports[folder] {
		if contains(impureModules, name) || name == "net/http" {
			t.Errorf("%s reaches %s through %s", start, name, folder)
		}
		if target, ours := strings.CutPrefix(name, module); ours {
			checkReachableImports(t, start, target, imports, seen)
		}
	}
}

func TestFilesAndFunctionsAreShort(t *testing.T) {
	files, positions := loadFiles(t)
	for _, source := range files {
		if source.lines > maximumFileLines {
			t.Errorf("%s has %d lines: want at most %d", source.path, source.lines, maximumFileLines)
		}
		if source.isTest {
			continue
		}
		for _, declaration := range source.syntax.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			lines := positions.Position(function.End()).Line - positions.Position(function.Pos()).Line + 1
			if lines > maximumFunctionLines {
				t.Errorf("%s: %s has %d lines: want at most %d", source.path, function.Name.Name, lines, maximumFunctionLines)
			}
		}
	}
}

// platformNames are strings that only the adapter of the users' platform may
// contain. X-Deadline-Ms is not among them, because the product's own interface
// has that field too.
var platformNames = []string{
	"X-Program-Id", "X-Request-Id", "X-Server-Seal", "X-Prompt-Prefix", "X-Previous-Turn", "X-Token-Budget",
	"X-Not-Executed", "X-Expect-Instance", "/-/log-", "/-/readyz", "keyed.op", "keyed.servers", "BIRCHWOOD_BOOT",
}

func TestOnlyTheAdapterKnowsThePlatformsNames(t *testing.T) {
	files, positions := loadFiles(t)
	for _, source := range files {
		if source.folder == "platform" || strings.HasPrefix(source.folder, "platform/") || source.folder == "internal/layout" {
			continue
		}
		ast.Inspect(source.syntax, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			for _, name := range platformNames {
				if strings.Contains(literal.Value, name) {
					t.Errorf("%s: names %q", positions.Position(literal.Pos()), name)
				}
			}
			return true
		})
	}
}
