package command

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// Largest number of lines in each part of top, so that the whole fits on a
// screen of 24 lines.
const (
	maxTopServices  = 3
	maxTopClasses   = 6
	maxTopEvictions = 3
	maxTopWorkers   = 4
)

func (a *app) topCommand() *cobra.Command {
	var interval time.Duration
	var count int
	c := leaf("top", "Show services, the slowest classes and tenants, evictions and the fullest workers, repeatedly", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		for i := 0; count == 0 || i < count; i++ {
			if i > 0 && !actor.Sleep(ctx, interval) {
				return nil
			}
			s, err := a.readStatus(ctx)
			if err != nil {
				return err
			}
			if a.output == "table" && isTerminal(a.stdout) {
				fmt.Fprint(a.stdout, "\x1b[H\x1b[2J") // cursor home, clear the screen
			}
			if err := a.show(s, func(t *table) { printTop(t, s) }); err != nil {
				return err
			}
		}
		return nil
	})
	c.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between two updates")
	c.Flags().IntVar(&count, "count", 0, "number of updates; 0 has no limit")
	return c
}

// isTerminal reports whether w is a character device.
func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printTop(t *table, s operator.Status) {
	t.row("SERVICE", "BACKENDS READY", "SLOTS", "RUNNING", "QUEUED", "REFUSED")
	for _, svc := range s.Services[:shownLines(len(s.Services), maxTopServices, false)] {
		ready, slots := 0, 0
		for _, b := range svc.Backends {
			if b.State == "ready" {
				ready++
				slots += b.Slots
			}
		}
		t.row(svc.Service, fmt.Sprintf("%d/%d", ready, len(svc.Backends)), slots, svc.Running, svc.Queued, svc.Refused)
	}
	printSlowest(t, s.Services)
	printEvictions(t, s.Cells)
	printWorkers(t, s.Cells)
}

// printSlowest writes the classes and tenants with the slowest requests, by
// their 99th percentile.
func printSlowest(t *table, services []model.ServiceStatus) {
	type row struct {
		service model.Service
		model.RecentStatus
	}
	var rows []row
	for _, svc := range services {
		for _, r := range svc.Recent {
			rows = append(rows, row{svc.Service, r})
		}
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].P99 > rows[j].P99 })
	t.line("")
	t.row("LAST 15 TO 30 S", "CLASS", "TENANT", "REQUESTS", "REFUSED", "P50", "P99", "P99.9")
	for _, r := range rows[:shownLines(len(rows), maxTopClasses, false)] {
		t.row(r.service, r.Class, orDash(string(r.Tenant)), r.Requests, r.Refused, millisText(r.P50), millisText(r.P99), millisText(r.P999))
	}
}

func printEvictions(t *table, cells []model.CellStatus) {
	var lines [][]any
	for _, c := range cells {
		for _, e := range c.Evictions {
			lines = append(lines, []any{c.Cell, e.Team, e.Class, e.Count})
		}
	}
	if len(lines) == 0 {
		return
	}
	t.line("")
	t.row("CELL", "TEAM", "CLASS", "EVICTIONS")
	for _, l := range lines[:shownLines(len(lines), maxTopEvictions, false)] {
		t.row(l...)
	}
}

// printWorkers writes the workers with the largest charged share.
func printWorkers(t *table, cells []model.CellStatus) {
	var workers []model.WorkerStatus
	for _, c := range cells {
		workers = append(workers, c.Workers...)
	}
	if len(workers) == 0 {
		return // the entry owns no cell
	}
	sort.SliceStable(workers, func(i, j int) bool { return chargedShare(workers[i]) > chargedShare(workers[j]) })
	t.line("")
	t.row("WORKER", "STATE", "TASKS", "CORES CHARGED", "MEMORY CHARGED", "ACCELERATORS CHARGED")
	for _, w := range workers[:shownLines(len(workers), maxTopWorkers, false)] {
		t.row(w.Worker, w.State, w.Tasks, coresText(w.Charged.CPU)+"/"+coresText(w.Capacity.CPU),
			gigabytesText(w.Charged.Memory)+"/"+gigabytesText(w.Capacity.Memory),
			fmt.Sprintf("%d/%d", w.Charged.Accelerators, w.Capacity.Accelerators))
	}
}

// chargedShare returns the largest charged share of a worker's processors,
// memory or accelerators.
func chargedShare(w model.WorkerStatus) float64 {
	share := func(used, size int64) float64 {
		if size <= 0 {
			return 0
		}
		return float64(used) / float64(size)
	}
	return max(share(int64(w.Charged.CPU), int64(w.Capacity.CPU)), share(int64(w.Charged.Memory), int64(w.Capacity.Memory)),
		share(w.Charged.Accelerators, w.Capacity.Accelerators))
}
