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

// Lines of each part of top, so that all of it fits a screen of 24 lines.
const (
	topServices  = 3
	topClasses   = 6
	topEvictions = 3
	topWorkers   = 4
)

func (a *app) topCommand() *cobra.Command {
	var interval time.Duration
	var count int
	c := leaf("top", "Show services, slow classes and tenants, evictions and full workers, again and again", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		for i := 0; count == 0 || i < count; i++ {
			if i > 0 && !actor.Sleep(ctx, interval) {
				return nil
			}
			s, err := a.readStatus(ctx)
			if err != nil {
				return err
			}
			if a.output == "table" && terminal(a.stdout) {
				fmt.Fprint(a.stdout, "\x1b[H\x1b[2J") // cursor home, clear the screen
			}
			if err := a.show(s, func(t *table) { drawTop(t, s) }); err != nil {
				return err
			}
		}
		return nil
	})
	c.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between two looks")
	c.Flags().IntVar(&count, "count", 0, "number of looks; 0 has no limit")
	return c
}

func terminal(w any) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func drawTop(t *table, s operator.Status) {
	t.row("SERVICE", "BACKENDS READY", "SLOTS", "RUNNING", "QUEUED", "REFUSED")
	for _, svc := range s.Services[:first(len(s.Services), topServices, false)] {
		ready, slots := 0, 0
		for _, b := range svc.Backends {
			if b.State == "ready" {
				ready++
				slots += b.Slots
			}
		}
		t.row(svc.Service, fmt.Sprintf("%d/%d", ready, len(svc.Backends)), slots, svc.Running, svc.Queued, svc.Refused)
	}
	drawRecent(t, s.Services)
	drawEvictions(t, s.Cells)
	drawWorkers(t, s.Cells)
}

// drawRecent shows the classes and tenants with the slowest requests.
func drawRecent(t *table, services []model.ServiceStatus) {
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
	for _, r := range rows[:first(len(rows), topClasses, false)] {
		t.row(r.service, r.Class, dash(string(r.Tenant)), r.Requests, r.Refused, millis(r.P50), millis(r.P99), millis(r.P999))
	}
}

func drawEvictions(t *table, cells []model.CellStatus) {
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
	for _, l := range lines[:first(len(lines), topEvictions, false)] {
		t.row(l...)
	}
}

// drawWorkers shows the fullest workers.
func drawWorkers(t *table, cells []model.CellStatus) {
	var workers []model.WorkerStatus
	for _, c := range cells {
		workers = append(workers, c.Workers...)
	}
	if len(workers) == 0 {
		return // the entry owns no cell
	}
	sort.SliceStable(workers, func(i, j int) bool { return charged(workers[i]) > charged(workers[j]) })
	t.line("")
	t.row("WORKER", "STATE", "TASKS", "CORES CHARGED", "MEMORY CHARGED", "ACCELERATORS CHARGED")
	for _, w := range workers[:first(len(workers), topWorkers, false)] {
		t.row(w.Worker, w.State, w.Tasks, cores(w.Charged.CPU)+"/"+cores(w.Capacity.CPU),
			gigabytes(w.Charged.Memory)+"/"+gigabytes(w.Capacity.Memory),
			fmt.Sprintf("%d/%d", w.Charged.Accelerators, w.Capacity.Accelerators))
	}
}

// charged is the largest share charged in any dimension.
func charged(w model.WorkerStatus) float64 {
	share := func(used, size int64) float64 {
		if size <= 0 {
			return 0
		}
		return float64(used) / float64(size)
	}
	return max(share(int64(w.Charged.CPU), int64(w.Capacity.CPU)), share(int64(w.Charged.Memory), int64(w.Capacity.Memory)),
		share(w.Charged.Accelerators, w.Capacity.Accelerators))
}
