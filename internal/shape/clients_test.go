package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// silenceCost says what a silence of all open connections costs an HTTP client.
type silenceCost struct {
	text string
	// one says that the client keeps one unused connection, or none.
	one bool
}

// httpClients has the cost for each place that creates an HTTP client or transport.
var httpClients = map[string]silenceCost{
	"internal/storage/http.go":      {text: "one timeout for each call that is under way: idleConns"},
	"internal/agent/entrylink.go":   {text: "the requests that are under way: closeUnusedConnections"},
	"internal/agent/exchange.go":    {text: "nothing: it closes the unused connections of the transport of entrylink.go"},
	"internal/operator/operator.go": {text: "one timeout to each entry", one: true},
	"internal/command/client.go":    {text: "one timeout", one: true},
	"internal/taskagent/http.go":    {text: "one timeout", one: true},
	"internal/load/http.go":         {text: "one timeout", one: true},
	"internal/standin/announce.go":  {text: "one announcement", one: true},
}

// keepsOne matches the settings of a transport that keeps one unused connection at most.
var keepsOne = regexp.MustCompile(`Max(Idle)?ConnsPerHost: 1\b`)

// Guards against a client that keeps several connections and waits for one after another
// when all of them have gone silent. A new client needs an entry.
func TestClientsThatKeepConnectionsAreListed(t *testing.T) {
	found := map[string]bool{}
	for _, folder := range []string{"cmd", "internal", "platform"} {
		require.NoError(t, filepath.WalkDir(filepath.Join("../..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && createsHTTPClient(t, path) {
				found[filepath.ToSlash(strings.TrimPrefix(path, filepath.FromSlash("../../")))] = true
			}
			return err
		}))
	}
	for place, cost := range httpClients {
		require.NotEmpty(t, cost.text, place)
		require.True(t, found[place], "%s creates no client any more", place)
		source, err := os.ReadFile(filepath.Join("../..", place))
		require.NoError(t, err)
		require.Equal(t, cost.one, keepsOne.Match(source), place)
		delete(found, place)
	}
	require.Empty(t, found, "say what a silence of all open connections costs there")
}

// createsHTTPClient reports whether a file creates an HTTP client or transport, or uses
// those of net/http.
func createsHTTPClient(t *testing.T, path string) bool {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	creates := false
	ast.Inspect(f, func(n ast.Node) bool {
		var use ast.Expr
		switch n := n.(type) {
		case *ast.CompositeLit:
			use = n.Type
		case *ast.SelectorExpr:
			if n.Sel.Name == "DefaultClient" || n.Sel.Name == "DefaultTransport" {
				use = n
			}
		}
		if s, ok := use.(*ast.SelectorExpr); ok {
			pkg, isName := s.X.(*ast.Ident)
			creates = creates || isName && pkg.Name == "http" && strings.Contains("Client Transport DefaultClient DefaultTransport", s.Sel.Name)
		}
		return true
	})
	return creates
}
