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

// show writes v to standard output as JSON, or as the table that print writes,
// depending on --output.
func (a *app) show(v any, print func(t *table)) error {
	if a.output == "json" {
		return a.json(v)
	}
	t := newTable(a.stdout)
	print(t)
	return t.flush()
}

// progress writes a line about the progress of a command to standard error.
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

// line writes a line that does not affect the alignment of columns.
func (t *table) line(format string, args ...any) {
	_ = t.w.Flush()
	fmt.Fprintf(t.w, format+"\n", args...)
	_ = t.w.Flush()
}

func (t *table) flush() error { return t.w.Flush() }

// labelsText formats labels as key=value pairs, sorted by key.
func labelsText(l model.Labels) string {
	parts := make([]string, 0, len(l))
	for k, v := range l {
		parts = append(parts, k+"="+v)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

func coresText(c model.MilliCPU) string { return fmt.Sprintf("%.1f", float64(c)/1000) }

func gigabytesText(b model.Bytes) string { return fmt.Sprintf("%.1fGB", float64(b)/1e9) }

func millisText(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// orDash returns s, or "-" for an empty cell of a table.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// printTree writes a decoded JSON value as indented text, with sorted keys.
func (t *table) printTree(indent string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			t.printBranch(indent+k+":", indent, v[k])
		}
	case []any:
		for _, e := range v {
			t.printBranch(indent+"-", indent, e)
		}
	default:
		t.line("%s%v", indent, v)
	}
}

func (t *table) printBranch(head, indent string, v any) {
	switch v.(type) {
	case map[string]any, []any:
		t.line("%s", head)
		t.printTree(indent+"  ", v)
	default:
		t.line("%s %v", head, v)
	}
}
