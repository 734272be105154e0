package shape

import (
	"go/parser"
	"io/fs"
	"path"
	"strconv"
	"strings"
)

// singleCPU is the package that keeps the race detector from failing on the timers
// of a synctest bubble.
const singleCPU = Module + "internal/singlecpu"

// bubbleImports holds what the test files of one package import.
type bubbleImports struct {
	synctest, singleCPU bool
}

// addTestFile records the imports of a test file.
func (c *checker) addTestFile(fsys fs.FS, name string) error {
	imports, err := c.importsOf(fsys, name)
	dir := path.Dir(name)
	b := c.bubbles[dir]
	for _, imp := range imports {
		b.synctest = b.synctest || imp == "testing/synctest"
		b.singleCPU = b.singleCPU || imp == singleCPU
	}
	c.bubbles[dir] = b
	return err
}

func (c *checker) importsOf(fsys fs.FS, name string) ([]string, error) {
	raw, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, err
	}
	f, err := parser.ParseFile(c.fset, name, raw, parser.ImportsOnly)
	if err != nil {
		c.findings.Add(name, 0, "", "does not parse: %v", err)
		return nil, nil
	}
	var imports []string
	for _, spec := range f.Imports {
		imp, _ := strconv.Unquote(spec.Path.Value)
		imports = append(imports, imp)
	}
	return imports, nil
}

func (c *checker) checkBubbles() {
	for dir, b := range c.bubbles {
		if b.synctest && !b.singleCPU && Module+dir != singleCPU {
			c.findings.Add(dir, 0, "testing/synctest", "a test file must import %s, or the race detector fails on the timers of a bubble", strings.TrimPrefix(singleCPU, Module))
		}
	}
}
