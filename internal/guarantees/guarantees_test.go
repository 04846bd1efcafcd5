// Package guarantees checks docs/GUARANTEES.md against the code: every test
// that the page names exists, and the page lists the broken histories that the
// checkers' own tests contain.
package guarantees_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"birchwood.example/birchwood/history"
)

const (
	root = "../.."
	page = "docs/GUARANTEES.md"
)

var (
	// testReference matches a line that names a test: "- `package`: `name of the test`".
	testReference = regexp.MustCompile("(?m)^- `([a-z/]+)`: `([^`]+)`")
	// brokenHistoryRow matches a table row with an invariant and the test entry that
	// violates it.
	brokenHistoryRow = regexp.MustCompile("(?m)^\\| `([a-z -]+)` \\| `([^`]+)` \\|$")
)

// testDeclarations are the Ginkgo functions whose first argument is a test's text.
// Pending and focused forms do not count.
var testDeclarations = map[string]bool{"It": true, "Entry": true, "DescribeTable": true, "Describe": true, "Context": true}

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// testNamesIn returns the names of all tests in a package's test files.
func testNamesIn(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: package %s has no tests: %v", page, folder, err)
	}
	names := map[string]bool{}
	for _, path := range files {
		syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(syntax, func(node ast.Node) bool {
			if name, ok := testName(node); ok {
				names[name] = true
			}
			return true
		})
	}
	return names
}

// testName returns the name of the test or fuzz target that a node declares. A
// fuzz target counts because `go test` runs its seeds.
func testName(node ast.Node) (string, bool) {
	switch node := node.(type) {
	case *ast.FuncDecl:
		named := strings.HasPrefix(node.Name.Name, "Test") || strings.HasPrefix(node.Name.Name, "Fuzz")
		return node.Name.Name, node.Recv == nil && named
	case *ast.CallExpr:
		function := node.Fun
		if selector, ok := function.(*ast.SelectorExpr); ok {
			function = selector.Sel
		}
		called, ok := function.(*ast.Ident)
		if !ok || !testDeclarations[called.Name] || len(node.Args) == 0 {
			return "", false
		}
		literal, ok := node.Args[0].(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return "", false
		}
		name, err := strconv.Unquote(literal.Value)
		return name, err == nil
	}
	return "", false
}

func TestEveryNamedTestExists(t *testing.T) {
	text := readPage(t)
	known := map[string]map[string]bool{}
	references := testReference.FindAllStringSubmatch(text, -1)
	for _, match := range references {
		folder, name := match[1], match[2]
		if known[folder] == nil {
			known[folder] = testNamesIn(t, folder)
		}
		if !known[folder][name] {
			t.Errorf("%s: package %s has no test %q", page, folder, name)
		}
	}
	if lines := strings.Count(text, "\n- `"); lines != len(references) {
		t.Errorf("%s: %d lines begin with a name, and %d of them name a test", page, lines, len(references))
	}
}

// TestEveryGuaranteeNamesTests guards against guarantees that no test supports.
func TestEveryGuaranteeNamesTests(t *testing.T) {
	_, guarantees, _ := strings.Cut(readPage(t), "\n# Guarantees\n")
	guarantees, _, _ = strings.Cut(guarantees, "\n# ")
	sections := strings.Split(guarantees, "\n## ")[1:]
	const wanted = 12
	if len(sections) != wanted {
		t.Errorf("%s: %d guarantees: want %d", page, len(sections), wanted)
	}
	for _, section := range sections {
		title, body, _ := strings.Cut(section, "\n")
		for _, part := range []string{"\n**How.**", "\n**Seen failing.**", "\n**Not proved.**"} {
			if !strings.Contains(body, part) {
				t.Errorf("%s: %q has no part %q", page, title, strings.TrimSpace(part))
			}
		}
		if !testReference.MatchString(body) {
			t.Errorf("%s: %q names no test", page, title)
		}
	}
}

// TestEveryInvariantHasABrokenHistory checks that the page's table lists the
// same invariants and broken histories as the tests of package history.
func TestEveryInvariantHasABrokenHistory(t *testing.T) {
	tableEntries := map[string][]string{}
	for _, match := range brokenHistoryRow.FindAllStringSubmatch(readPage(t), -1) {
		tableEntries[match[1]] = append(tableEntries[match[1]], match[2])
	}
	names := testNamesIn(t, "history")
	pageEntries := map[string]bool{}
	for _, invariant := range history.Invariants() {
		if len(tableEntries[string(invariant)]) == 0 {
			t.Errorf("%s: no broken history for %q", page, invariant)
		}
		for _, entry := range tableEntries[string(invariant)] {
			pageEntries[string(invariant)+": "+entry] = true
		}
	}
	for name := range names {
		invariant, _, found := strings.Cut(name, ": ")
		if found && len(tableEntries[invariant]) > 0 && !pageEntries[name] {
			t.Errorf("%s: the table lacks %q", page, name)
		}
	}
	for name := range pageEntries {
		if !names[name] {
			t.Errorf("%s: package history has no entry %q", page, name)
		}
	}
}

var (
	metricName    = regexp.MustCompile(`birchwood_[a-z_]+`)
	commandName   = regexp.MustCompile("`(birchwood(?: [a-z][a-z-]*){1,2})")
	listedCommand = regexp.MustCompile("(?m)^\\| `(birchwood [a-z -]+)`")
)

// TestOperatorsPagesNameWhatExists checks that the operators' pages name only
// metrics that docs/operate/metrics.md explains and subcommands that docs/CLI.md
// lists. Other tests check these two pages against the code.
func TestOperatorsPagesNameWhatExists(t *testing.T) {
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	metricsPage := read(filepath.Join(root, "docs/operate/metrics.md"))
	verbs := map[string]bool{}
	for _, match := range listedCommand.FindAllStringSubmatch(read(filepath.Join(root, "docs/CLI.md")), -1) {
		verbs[match[1]] = true
	}
	pages, err := filepath.Glob(filepath.Join(root, "docs/operate/*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatalf("no operators' pages: %v", err)
	}
	for _, path := range pages {
		text := read(path)
		for _, name := range metricName.FindAllString(text, -1) {
			if !strings.Contains(metricsPage, "`"+name+"`") {
				t.Errorf("%s names the metric %s, which is not explained", path, name)
			}
		}
		for _, match := range commandName.FindAllStringSubmatch(text, -1) {
			topCommand := strings.Join(strings.Fields(match[1])[:2], " ")
			if !verbs[match[1]] && !verbs[topCommand] {
				t.Errorf("%s names the verb %q, which docs/CLI.md does not list", path, match[1])
			}
		}
	}
}
