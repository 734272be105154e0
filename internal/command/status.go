package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/operator"
)

// Largest number of lines in each part of status, so that the whole fits on a
// screen of 24 lines.
const (
	maxStatusProblems = 8
	maxStatusServices = 5
	maxStatusCells    = 5
)

func (a *app) readStatus(ctx context.Context) (s operator.Status, err error) {
	return s, a.client.get(ctx, "/v1/status", nil, &s)
}

func (a *app) statusCommand() *cobra.Command {
	all := false
	c := leaf("status", "Show problems, then services and cells", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		s, err := a.readStatus(ctx)
		if err != nil {
			return err
		}
		return a.show(s, func(t *table) { printStatus(t, s, all) })
	})
	c.Flags().BoolVar(&all, "all", false, "show every line instead of one screen")
	return c
}

// shownLines returns how many of n lines are shown: limit at most, unless all
// is set.
func shownLines(n, limit int, all bool) int {
	if all {
		return n
	}
	return min(n, limit)
}

func printStatus(t *table, s operator.Status, all bool) {
	if len(s.Problems) == 0 {
		t.line("no problems")
	}
	n := shownLines(len(s.Problems), maxStatusProblems, all)
	for _, p := range s.Problems[:n] {
		t.line("! %s", p)
	}
	printMore(t, len(s.Problems)-n)
	t.line("entry %s, build %s; configuration version %d, %s", s.Entry, s.Build, s.Config.Version, s.Config.State)
	printServices(t, s.Services, all)
	printCells(t, s.Cells, all)
}

// printMore says that n lines were omitted.
func printMore(t *table, n int) {
	if n > 0 {
		t.line("  and %d more; show them with --all", n)
	}
}

func printServices(t *table, list []model.ServiceStatus, all bool) {
	if len(list) == 0 {
		return
	}
	t.row("SERVICE", "BACKENDS READY", "QUEUED", "RUNNING", "FREE CREDITS", "REFUSED")
	n := shownLines(len(list), maxStatusServices, all)
	for _, s := range list[:n] {
		ready := 0
		for _, b := range s.Backends {
			if b.State == "ready" {
				ready++
			}
		}
		t.row(s.Service, fmt.Sprintf("%d/%d", ready, len(s.Backends)), s.Queued, s.Running, s.Credits, s.Refused)
	}
	printMore(t, len(list)-n)
}

func printCells(t *table, list []model.CellStatus, all bool) {
	if len(list) == 0 {
		return
	}
	t.row("CELL", "STATE", "OWNER", "EPOCH", "WORKERS READY", "JOBS")
	n := shownLines(len(list), maxStatusCells, all)
	for _, c := range list[:n] {
		ready := 0
		for _, w := range c.Workers {
			if w.State == "ready" {
				ready++
			}
		}
		t.row(c.Cell, c.State, orDash(string(c.Owner)), c.Epoch, fmt.Sprintf("%d/%d", ready, len(c.Workers)), phasesText(c.Phases))
	}
	printMore(t, len(list)-n)
}

func phasesText(phases map[model.Phase]int) string {
	var parts []string
	for p, n := range phases {
		parts = append(parts, fmt.Sprintf("%s %d", p, n))
	}
	sort.Strings(parts)
	return orDash(strings.Join(parts, ", "))
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
		return a.show(answer, func(t *table) { t.line("backend server %s is draining", args[0]) })
	})
	c.Flags().BoolVar(&wait, "wait", false, "wait until its last request has ended")
	c.Flags().DurationVar(&timeout, "timeout", time.Minute, "longest wait")
	return c
}

// awaitDrain waits until a backend server is in the state left, or unknown, at
// the entry.
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
		if !actor.Sleep(ctx, pollInterval) {
			return exitErrorf(ExitFailure, "backend server %s has not left after %s", id, timeout)
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
