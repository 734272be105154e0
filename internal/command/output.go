package command

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

func (a *app) json(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// show prints v as JSON, or as the table that draw writes.
func (a *app) show(v any, draw func(t *table)) error {
	if a.output == "json" {
		return a.json(v)
	}
	t := newTable(a.stdout)
	draw(t)
	return t.flush()
}

// progress tells on stderr what a command waits for.
func (a *app) progress(format string, args ...any) { fmt.Fprintf(a.stderr, format+"\n", args...) }

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer) *table { return &table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)} }

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

// line writes text that does not take part in the columns.
func (t *table) line(format string, args ...any) {
	_ = t.w.Flush()
	fmt.Fprintf(t.w, format+"\n", args...)
	_ = t.w.Flush()
}

func (t *table) flush() error { return t.w.Flush() }

func labelsText(l model.Labels) string {
	parts := make([]string, 0, len(l))
	for k, v := range l {
		parts = append(parts, k+"="+v)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

func cores(c model.MilliCPU) string { return fmt.Sprintf("%.1f", float64(c)/1000) }

func gigabytes(b model.Bytes) string { return fmt.Sprintf("%.1fGB", float64(b)/1e9) }

func millis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// tree writes any JSON value as indented text.
func (t *table) tree(indent string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			t.branch(indent+k+":", indent, v[k])
		}
	case []any:
		for _, e := range v {
			t.branch(indent+"-", indent, e)
		}
	default:
		t.line("%s%v", indent, v)
	}
}

func (t *table) branch(head, indent string, v any) {
	switch v.(type) {
	case map[string]any, []any:
		t.line("%s", head)
		t.tree(indent+"  ", v)
	default:
		t.line("%s %v", head, v)
	}
}
