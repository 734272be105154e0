// Package shape checks the structural rules of docs/design.md section 3 on
// the source tree: shared state only in the actor package, decisions free of
// transport and encoding, imports only of lower layers, and every lifecycle
// in a chart that code interprets.
package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// Module is the path prefix of the project's own imports.
const Module = "github.com/bambooscale/bambooscale/"

// layers lists the packages from low to high. A package may import only
// packages of lower layers. An entry also covers the packages below its path.
var layers = [][]string{
	{"charts", "internal/finding", "internal/singlecpu", "internal/event", "internal/table", "internal/workload", "internal/duetime"},
	{"internal/chart", "internal/model", "internal/actor"},
	{"internal/msg", "internal/labels"},
	{"internal/policy/", "internal/wire"},
	{"internal/link", "internal/storage", "internal/rows", "internal/metrics", "internal/settings", "internal/load", "internal/logsink", "internal/httpserve", "internal/configchunk"},
	{"internal/peer", "internal/directory", "internal/runner", "internal/jobapi"},
	{"internal/entry", "internal/agent", "internal/taskagent", "internal/control", "internal/configstore", "internal/jobs", "internal/hostagent", "internal/ownership", "internal/drain", "internal/configsync"},
	{"internal/operator", "internal/standin", "internal/jobdaemon", "platform"},
	{"internal/daemon", "internal/command"},
	{"cmd/", "internal/shape", "internal/faultproxy", "internal/history", "internal/measure", "internal/capacity", "internal/explore", "test"},
}

// Check checks the charts and every Go file below fsys that is not generated; of
// tests it checks only checkBubbles. It returns the violations, and an error if a
// file cannot be read. Hidden folders, testdata and tools are skipped.
func Check(fsys fs.FS) (finding.List, error) {
	c := &checker{fset: token.NewFileSet(), charts: map[string]bool{}, bubbles: map[string]bubbleImports{}}
	err := fs.WalkDir(fsys, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if base := path.Base(name); name != "." && (base == "testdata" || base == "tools" || strings.HasPrefix(base, ".")) {
				return fs.SkipDir
			}
			return nil
		}
		return c.checkFile(fsys, name)
	})
	c.checkCharts()
	c.checkBubbles()
	return c.findings, err
}

type checker struct {
	fset        *token.FileSet
	findings    finding.List
	charts      map[string]bool          // by name without extension: code interprets it
	boundCharts []string                 // values of the Chart fields in composite literals
	bubbles     map[string]bubbleImports // by package
}

func (c *checker) checkFile(fsys fs.FS, name string) error {
	if strings.HasSuffix(name, ".scxml") {
		c.charts[strings.TrimSuffix(path.Base(name), ".scxml")] = false
		return nil
	}
	if strings.HasSuffix(name, "_test.go") {
		return c.addTestFile(fsys, name)
	}
	if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, ".pb.go") {
		return nil
	}
	raw, err := fs.ReadFile(fsys, name)
	if err != nil {
		return err
	}
	c.checkPlatformTerms(name, string(raw))
	f, err := parser.ParseFile(c.fset, name, raw, parser.SkipObjectResolution)
	if err != nil {
		c.findings.Add(name, 0, "", "does not parse: %v", err)
		return nil
	}
	c.checkImports(name, f)
	ast.Inspect(f, func(n ast.Node) bool { c.checkNode(name, n); return true })
	return nil
}

// platformTerms are terms and protocol names of the users' platform, in lower
// case. The rest of the code uses the project's own terms for them.
var platformTerms = []string{
	"minion", "rows-tx", "rows-get", "rows-feed", "api/run-", "ack-cursor", "fencing-token", "heartbeat-address",
	"memory-request-mb", "max-per-server", "allow-duplicates", "requirements\"", "may-miss", "/api/instances",
}

// adapterDir is the only folder that may use platformTerms.
const adapterDir = "platform"

func (c *checker) checkPlatformTerms(name, source string) {
	if path.Dir(name) == adapterDir || path.Dir(name) == "internal/shape" {
		return
	}
	for i, line := range strings.Split(strings.ToLower(source), "\n") {
		for _, term := range platformTerms {
			if strings.Contains(line, term) {
				c.findings.Add(name, i+1, term, "a term of the users' platform may be used only in %s/", adapterDir)
			}
		}
	}
}

func (c *checker) line(n ast.Node) int { return c.fset.Position(n.Pos()).Line }

func (c *checker) checkImports(name string, f *ast.File) {
	dir := path.Dir(name)
	for _, spec := range f.Imports {
		imp, _ := strconv.Unquote(spec.Path.Value)
		if reason := forbiddenImport(dir, imp); reason != "" {
			c.findings.Add(name, c.line(spec), imp, "%s", reason)
		}
	}
}

// forbiddenImport returns why dir may not import imp, or "" if it may.
func forbiddenImport(dir, imp string) string {
	switch {
	case (imp == "sync" || imp == "sync/atomic") && dir != "internal/actor":
		return "goroutines share state only through internal/actor"
	case strings.HasPrefix(imp, "google.golang.org/protobuf") && !strings.HasPrefix(dir, "internal/wire"):
		return "encoding belongs to internal/wire"
	case imp == singleCPU:
		return "only tests run on one CPU"
	case strings.HasPrefix(dir, "internal/policy/") && (imp == "net" || strings.HasPrefix(imp, "net/") || imp == "os"):
		return "decisions do no input or output"
	}
	if own, ok := strings.CutPrefix(imp, Module); ok {
		return forbiddenByLayer(dir, own)
	}
	return ""
}

// forbiddenByLayer returns why the layers forbid the import, or "".
func forbiddenByLayer(dir, imp string) string {
	from, to := layerOf(dir), layerOf(imp)
	switch {
	case from < 0:
		return "package " + dir + " has no layer; add it to internal/shape and docs/design.md"
	case to < 0:
		return "package " + imp + " has no layer; add it to internal/shape and docs/design.md"
	case strings.HasPrefix(dir, "internal/policy/") && strings.HasPrefix(imp, "internal/policy/"):
		return ""
	case strings.HasPrefix(imp, dir+"/") || strings.HasPrefix(dir, imp+"/"):
		return "" // a package and its own subpackages
	case from <= to:
		return "package " + dir + " may import only lower layers than its own"
	}
	return ""
}

// layerOf returns the index in layers of a package, or -1.
func layerOf(dir string) int {
	for i, names := range layers {
		for _, n := range names {
			if dir == n || strings.HasPrefix(dir, strings.TrimSuffix(n, "/")+"/") {
				return i
			}
		}
	}
	return -1
}

func (c *checker) checkNode(name string, n ast.Node) {
	switch n := n.(type) {
	case *ast.SelectorExpr:
		if id, ok := n.X.(*ast.Ident); ok && id.Name == "time" && n.Sel.Name == "Sleep" {
			c.findings.Add(name, c.line(n), "time.Sleep", "wait on a timer and the context, as actor.Sleep does")
		}
	case *ast.KeyValueExpr:
		key, ok := n.Key.(*ast.Ident)
		lit, isLit := n.Value.(*ast.BasicLit)
		if ok && isLit && key.Name == "Chart" && lit.Kind == token.STRING {
			v, _ := strconv.Unquote(lit.Value)
			c.boundCharts = append(c.boundCharts, v)
		}
	}
}

func (c *checker) checkCharts() {
	for _, b := range c.boundCharts {
		c.charts[b] = true
	}
	for name, bound := range c.charts {
		if !bound {
			c.findings.Add("charts/"+name+".scxml", 0, "", "no code interprets this chart")
		}
	}
}
