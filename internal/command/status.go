package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// Lines of each part of status, so that all of it fits a screen of 24 lines.
const (
	statusProblems = 8
	statusServices = 5
	statusCells    = 5
	topRows        = 9
)

func (a *app) readStatus(ctx context.Context) (s operator.Status, err error) {
	return s, a.client.get(ctx, "/v1/status", nil, &s)
}

func (a *app) statusCommand() *cobra.Command {
	all := false
	c := leaf("status", "Show what is wrong, then services and cells", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		s, err := a.readStatus(ctx)
		if err != nil {
			return err
		}
		return a.show(s, func(t *table) { drawStatus(t, s, all) })
	})
	c.Flags().BoolVar(&all, "all", false, "show every line instead of one screen")
	return c
}

// first returns how many of n lines are shown.
func first(n, limit int, all bool) int {
	if all {
		return n
	}
	return min(n, limit)
}

func drawStatus(t *table, s operator.Status, all bool) {
	if len(s.Problems) == 0 {
		t.line("no problems")
	}
	n := first(len(s.Problems), statusProblems, all)
	for _, p := range s.Problems[:n] {
		t.line("! %s", p)
	}
	more(t, len(s.Problems)-n)
	t.line("entry %s, build %s; configuration version %d, %s", s.Entry, s.Build, s.Config.Version, s.Config.State)
	drawServices(t, s.Services, all)
	drawCells(t, s.Cells, all)
}

func more(t *table, n int) {
	if n > 0 {
		t.line("  and %d more; show them with --all", n)
	}
}

func drawServices(t *table, list []model.ServiceStatus, all bool) {
	if len(list) == 0 {
		return
	}
	t.row("SERVICE", "BACKENDS READY", "QUEUED", "RUNNING", "FREE CREDITS", "REFUSED")
	n := first(len(list), statusServices, all)
	for _, s := range list[:n] {
		ready := 0
		for _, b := range s.Backends {
			if b.State == "ready" {
				ready++
			}
		}
		t.row(s.Service, fmt.Sprintf("%d/%d", ready, len(s.Backends)), s.Queued, s.Running, s.Credits, s.Refused)
	}
	more(t, len(list)-n)
}

func drawCells(t *table, list []model.CellStatus, all bool) {
	if len(list) == 0 {
		return
	}
	t.row("CELL", "STATE", "OWNER", "EPOCH", "WORKERS READY", "JOBS")
	n := first(len(list), statusCells, all)
	for _, c := range list[:n] {
		ready := 0
		for _, w := range c.Workers {
			if w.State == "ready" {
				ready++
			}
		}
		t.row(c.Cell, c.State, dash(string(c.Owner)), c.Epoch, fmt.Sprintf("%d/%d", ready, len(c.Workers)), phasesText(c.Phases))
	}
	more(t, len(list)-n)
}

func phasesText(phases map[model.Phase]int) string {
	var parts []string
	for p, n := range phases {
		parts = append(parts, fmt.Sprintf("%s %d", p, n))
	}
	sort.Strings(parts)
	return dash(strings.Join(parts, ", "))
}

func (a *app) topCommand() *cobra.Command {
	var interval time.Duration
	var count int
	c := leaf("top", "Show the slowest classes and the fullest workers, again and again", cobra.NoArgs, func(ctx context.Context, _ []string) error {
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
	type classRow struct {
		service model.Service
		model.ClassStatus
	}
	var classes []classRow
	for _, svc := range s.Services {
		for _, c := range svc.Classes {
			classes = append(classes, classRow{svc.Service, c})
		}
	}
	sort.SliceStable(classes, func(i, j int) bool { return classes[i].P99 > classes[j].P99 })
	t.row("SERVICE", "CLASS", "TENANT", "QUEUED", "LONG", "P50", "P99", "P99.9")
	for _, c := range classes[:first(len(classes), topRows, false)] {
		t.row(c.service, c.Class, dash(string(c.Tenant)), c.Queued, c.Long, millis(c.P50), millis(c.P99), millis(c.P999))
	}
	var workers []model.WorkerStatus
	for _, c := range s.Cells {
		workers = append(workers, c.Workers...)
	}
	sort.SliceStable(workers, func(i, j int) bool { return load(workers[i]) > load(workers[j]) })
	t.line("")
	t.row("WORKER", "STATE", "TASKS", "CORES CHARGED", "MEMORY CHARGED", "ACCELERATORS CHARGED")
	for _, w := range workers[:first(len(workers), topRows, false)] {
		t.row(w.Worker, w.State, w.Tasks, cores(w.Charged.CPU)+"/"+cores(w.Capacity.CPU),
			gigabytes(w.Charged.Memory)+"/"+gigabytes(w.Capacity.Memory),
			fmt.Sprintf("%d/%d", w.Charged.Accelerators, w.Capacity.Accelerators))
	}
}

// load is the largest share charged in any dimension.
func load(w model.WorkerStatus) float64 {
	share := func(used, size int64) float64 {
		if size <= 0 {
			return 0
		}
		return float64(used) / float64(size)
	}
	return max(share(int64(w.Charged.CPU), int64(w.Capacity.CPU)), share(int64(w.Charged.Memory), int64(w.Capacity.Memory)),
		share(w.Charged.Accelerators, w.Capacity.Accelerators))
}

func (a *app) backendCommand() *cobra.Command {
	return a.group("backend", "List and drain backend servers", a.backendList(), a.backendDrain())
}

func (a *app) backendList() *cobra.Command {
	service := ""
	c := leaf("list", "List backend servers", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		s, err := a.readStatus(ctx)
		if err != nil {
			return err
		}
		type backend struct {
			Service model.Service `json:"service"`
			model.BackendStatus
		}
		list := []backend{}
		for _, svc := range s.Services {
			for _, b := range svc.Backends {
				if service == "" || string(svc.Service) == service {
					list = append(list, backend{svc.Service, b})
				}
			}
		}
		return a.show(list, func(t *table) {
			t.row("BACKEND", "SERVICE", "WORKER", "DATA CENTRE", "STATE", "SLOTS", "FREE CREDITS", "RUNNING")
			for _, b := range list {
				t.row(b.Backend, b.Service, b.Worker, b.DataCentre, b.State, b.Slots, b.Credits, b.Running)
			}
		})
	})
	c.Flags().StringVar(&service, "service", "", "only backend servers of this service")
	return c
}

func (a *app) backendDrain() *cobra.Command {
	var wait bool
	var timeout time.Duration
	c := leaf("drain ID", "Drain a backend server: it gets no new work after 3 s", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		var answer any
		if err := a.client.send(ctx, http.MethodPost, "/v1/backends/"+url.PathEscape(args[0])+"/drain", nil, nil, &answer); err != nil {
			return err
		}
		if wait {
			if err := a.awaitDrain(ctx, model.BackendID(args[0]), timeout); err != nil {
				return err
			}
		}
		return a.show(answer, func(t *table) { t.line("backend server %s drains", args[0]) })
	})
	c.Flags().BoolVar(&wait, "wait", false, "wait until its last request has ended")
	c.Flags().DurationVar(&timeout, "timeout", time.Minute, "longest wait")
	return c
}

// awaitDrain waits until a backend server has left, as this entry knows it.
func (a *app) awaitDrain(ctx context.Context, id model.BackendID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for shown := ""; ; {
		s, err := a.readStatus(ctx)
		if err != nil && exitCode(err) != ExitUnavailable {
			return err
		}
		b, known := findBackend(s, id)
		if err == nil && (!known || b.State == "left") {
			a.progress("backend server %s has left", id)
			return nil
		}
		if now := fmt.Sprintf("backend server %s is %s, %d requests running", id, b.State, b.Running); known && now != shown {
			shown = now
			a.progress("%s", now)
		}
		if !actor.Sleep(ctx, jobPoll) {
			return failed(ExitFailure, "backend server %s has not left after %s", id, timeout)
		}
	}
}

func findBackend(s operator.Status, id model.BackendID) (model.BackendStatus, bool) {
	for _, svc := range s.Services {
		for _, b := range svc.Backends {
			if b.Backend == id {
				return b, true
			}
		}
	}
	return model.BackendStatus{}, false
}
