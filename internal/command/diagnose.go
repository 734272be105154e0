package command

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// bundleParts are the files of a diagnostics bundle, and the paths and queries
// of the API that they are read from.
var bundleParts = []struct {
	file, path string
	query      url.Values
}{
	{"status.json", "/v1/status", nil},
	{"diagnose.json", "/v1/diagnose", nil},
	{"config.json", "/v1/config", nil},
	{"config-status.json", "/v1/config/status", nil},
	{"config-history.json", "/v1/config/history", nil},
	{"metrics.txt", "/metrics", nil},
	{"goroutines.txt", "/debug/pprof/goroutine", url.Values{"debug": {"2"}}},
}

func (a *app) diagnoseCommand() *cobra.Command {
	out := ""
	c := leaf("diagnose", "Write a diagnostics bundle of an entry, to attach to a problem report", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		if out == "" {
			out = "bambooscale-" + time.Now().UTC().Format("20060102-150405") + ".tar.gz"
		}
		f, err := os.OpenFile(out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		missing, err := a.writeBundle(ctx, f)
		if err := errors.CombineErrors(err, f.Close()); err != nil {
			return err
		}
		if missing == len(bundleParts) {
			return exitErrorf(ExitUnavailable, "%s contains only errors: the entry answered no request", out)
		}
		return a.show(map[string]any{"file": out, "missing": missing}, func(t *table) {
			t.line("%s: %d of %d parts", out, len(bundleParts)-missing, len(bundleParts))
		})
	})
	c.Long = c.Short + `. It contains the status with the states of cells, workers
and backend servers, queues, the configuration with its history and the
versions that daemons use, the newest log events, the settings without
secrets, metrics and a goroutine profile. Labels, selectors and names are
included; tokens and keys are not. A part that cannot be read is replaced by
its error.`
	c.Flags().StringVar(&out, "out", "", "file to write, which must not exist (default: bambooscale-TIME.tar.gz)")
	return c
}

// writeBundle writes the bundle to f as a compressed tar archive, and returns
// the number of parts that could not be read.
func (a *app) writeBundle(ctx context.Context, f *os.File) (missing int, err error) {
	gz := gzip.NewWriter(f)
	archive := tar.NewWriter(gz)
	for _, p := range bundleParts {
		raw, err := a.client.do(ctx, http.MethodGet, p.path, p.query, nil)
		name := p.file
		if err != nil {
			missing++
			a.progress("%s: %v", p.path, err)
			name, raw = p.file+".error", fmt.Appendln(nil, err)
		}
		header := &tar.Header{Name: "bambooscale/" + name, Mode: 0o600, Size: int64(len(raw)), ModTime: time.Now()}
		if err := archive.WriteHeader(header); err != nil {
			return missing, err
		}
		if _, err := archive.Write(raw); err != nil {
			return missing, err
		}
	}
	return missing, errors.CombineErrors(archive.Close(), gz.Close())
}
