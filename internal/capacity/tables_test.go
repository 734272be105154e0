package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// tables are the generated parts of docs/CAPACITY.md by name.
var tables = map[string]func(map[string]slope) string{
	"split": splitTable, "roles": rolesTable, "table": storeTable, "limits": limitsTable, "badhour": badHourTable,
	"targets": figuresTable, "slopes": slopesTable,
}

func splitTable(map[string]slope) string {
	l := targetLayout()
	return header("quantity", "value") +
		line("regions, data centres, cells, entries", fmt.Sprintf("%d, %d, %.0f, %.0f", targetRegions, targetCentres, l.cells, l.entries)) +
		line("workers and agents of a cell", num(l.workersPerCell)) +
		line("running tasks of a worker", num(l.tasksPerWorker)) +
		line("running tasks of a cell", num(l.tasksPerCell)) +
		line("task starts/s of a cell at the peak", num(l.startsPerCell)) +
		line("links of an agent (every entry of its region)", num(l.linksPerAgent)) +
		line("links of an entry (every agent of its region)", num(l.linksPerEntry)) +
		line("edits/s, mean of the day", num(l.edits)) +
		line("assumed: waiting jobs of a cell, queued requests of an entry, configuration items",
			fmt.Sprintf("%d, %d, %d", waitingJobs, queuedRequests, configItems))
}

func rolesTable(s map[string]slope) string {
	l := targetLayout()
	out := header("daemon", "live memory", "memory held", "of 128 MB", "core", "of 1.6%", "bytes", "of 11 KB/s", "messages/s", "bytes with TCP/IP headers")
	for _, r := range []struct {
		name string
		cost cost
	}{
		{"agent", agentCost(s, l)},
		{"entry without a cell", entryCost(s, l, false)},
		{"entry that controls a cell", entryCost(s, l, true)},
	} {
		c := r.cost
		out += line(r.name, mega(c.memory), mega(c.held), fits(c.held <= budgetMemory), percent(c.cpu), fits(c.cpu <= budgetCPU),
			kilo(c.bytes), fits(c.bytes <= budgetBytes), num(c.messages), kilo(c.packets))
	}
	return out
}

// tableLoad returns the operations at the table at a rate of task starts.
func tableLoad(s map[string]slope, startsPerCell float64) (writes, reads [][2]any, allWrites, allReads float64) {
	l := targetLayout()
	add := func(list *[][2]any, sum *float64, name string, v float64) {
		*list = append(*list, [2]any{name, v})
		*sum += v
	}
	add(&writes, &allWrites, "controllers: heartbeats and groups of job rows", l.cells*s["cell.writes"].measured(startsPerCell))
	add(&writes, &allWrites, "entries: directory rows", l.entries*s["links.writes"].Slope)
	add(&writes, &allWrites, fmt.Sprintf("edits, %d times the daily mean", peakEdits), peakEdits*l.edits*s["edits.writes"].Slope)
	add(&writes, &allWrites, "submissions, one transaction each, daily mean", targetJobsPerDay/secondsPerDay)
	cellsSeen := l.cells / targetRegions
	add(&reads, &allReads, "controllers: job rows", l.cells*s["cell.reads"].at(startsPerCell))
	add(&reads, &allReads, "entries: configuration, directory, one watched cell", l.entries*s["links.reads"].Slope)
	add(&reads, &allReads, "entries: further watched cells of the region", l.entries*(cellsSeen-1)*watchReads)
	add(&reads, &allReads, "agents: directory", targetWorkers*s["directory.reads"].Slope)
	add(&reads, &allReads, fmt.Sprintf("edits, %d times the daily mean", peakEdits), peakEdits*l.edits*l.entries*s["edits.reads"].Slope)
	return writes, reads, allWrites, allReads
}

func storeTable(s map[string]slope) string {
	l := targetLayout()
	writes, reads, allWrites, allReads := tableLoad(s, l.startsPerCell)
	out := header("operation", "writes/s", "reads/s")
	for _, w := range writes {
		out += line(w[0].(string), num(w[1].(float64)), "")
	}
	for _, r := range reads {
		out += line(r[0].(string), "", num(r[1].(float64)))
	}
	return out + line("sum at 580 task starts/s", num(allWrites), num(allReads)) +
		line("budget", num(budgetWrites)+", "+fits(allWrites <= budgetWrites), num(budgetReads)+", "+fits(allReads <= budgetReads))
}

// limitsTable says how many links an entry may have by each budget.
func limitsTable(s map[string]slope) string {
	idle := s["links.toEntry"].Slope + s["links.toAgent"].Slope
	beats := 2 * heartbeatsASide * heartbeatBytes()
	slower := idle - beats*4/5 // a heartbeat every 5 s
	memory := (budgetMemory/heldRatio(s) - s["agents.entryLive"].Base - s["items.entryLive"].Slope*configItems -
		s["queue.entryLive"].Slope*queuedRequests) / s["agents.entryLive"].Slope
	out := header("budget of an entry", "for each link", "links that fit", "entries needed if each agent has 2 links")
	row := func(name, each string, links float64) {
		need := "none: the idle entry alone exceeds it"
		if links >= 1 {
			need = fmt.Sprintf("%.0f", 2*targetWorkers/links)
		}
		out += line(name, each, fmt.Sprintf("%.0f", max(links, 0)), need)
	}
	row("11 KB/s, as it is", fmt.Sprintf("%.1f B/s", idle), budgetBytes/idle)
	row("11 KB/s, a heartbeat every 5 s", fmt.Sprintf("%.1f B/s", slower), budgetBytes/slower)
	row("1.6% of a core", fmt.Sprintf("%.1f µs/s", 1e6*s["agents.entryCPU"].Slope), (budgetCPU-s["agents.entryCPU"].Base)/s["agents.entryCPU"].Slope)
	row("128 MB", fmt.Sprintf("%.1f KB", s["agents.entryLive"].Slope/1e3), memory)
	return out
}

func badHourTable(s map[string]slope) string {
	l := targetLayout()
	full := configBytes()
	perEntry := targetRestarts * l.linksPerAgent * full / l.entries / secondsPerHour
	rack := 20 * l.tasksPerWorker
	rejoin := l.linksPerEntry * full
	out := header("event", "figure", "value")
	out += line("1,500 agents restart in an hour", "whole configuration sent to each new link", mega(full))
	out += line("", "bytes/s of an entry for it", kilo(perEntry)+", "+fits(perEntry <= budgetBytes))
	out += line("", "received by an agent at its start", mega(full*l.linksPerAgent))
	out += line("", "tasks to start again, starts/s", num(targetRestarts*l.tasksPerWorker/secondsPerHour))
	out += line("a rack of 20 workers is lost", "tasks to start again", num(rack))
	out += line("", "transactions of 120 rows, at least", fmt.Sprintf("%.0f", max(1, rack/rowsPerTxn+1)))
	out += line("a data centre is lost", "tasks that run nowhere", num(l.tasksPerCell))
	out += line("an entry is lost or its cell moves", "processor time of the takeover", fmt.Sprintf("%.2f s", s["takeover.controllerCPU"].measured(l.workersPerCell)))
	out += line("", "inventories received", mega(s["tasks.toEntry"].Slope*10*l.tasksPerCell))
	out += line("a region is cut off for an hour", "tasks of a region", num(2*l.tasksPerCell))
	out += line("", "links that return together at an entry", num(l.linksPerEntry))
	out += line("", "bytes if each agent needs the whole configuration", mega(rejoin))
	backlog := 2 * 600 * l.startsPerCell
	out += line("the store returns after 10 minutes", "rows of a cell that waited, two for each start", num(backlog))
	out += line("", "transactions of a cell at 120 rows", num(backlog/rowsPerTxn))
	return out + line("", "writes/s of all cells, one at a time at 20 ms", num(l.cells/0.02)+", "+fits(l.cells/0.02 <= budgetWrites))
}

func figuresTable(s map[string]slope) string {
	l := targetLayout()
	decision := s["placement.decisionCPU"].at(l.workersPerCell)
	p99 := s["cell.urgentP99"].measured(l.startsPerCell)
	return header("line of the target", "figure", "value") +
		line("580 task starts/s", "processor time of placement decisions, of a core of each controller", percent(decision*l.startsPerCell)) +
		line("", "controller's core at that rate, leases and timers included", percent(s["starts.controllerCPU"].at(l.startsPerCell))) +
		line("", "transactions/s of a cell", num(s["cell.writes"].measured(l.startsPerCell))) +
		line("urgent work within 1.4 s", "99% of the starts at 58/s with room, table at 10 ms", fmt.Sprintf("%.2f s", p99)) +
		line("129,000 running tasks", "state of a controller", mega(s["tasks.entryLive"].Slope*l.tasksPerCell)) +
		line("", "bytes/s to a controller for usage and inventories", kilo(s["tasks.toEntry"].Slope*l.tasksPerCell)) +
		line("3,300 edits a day", "bytes to each agent for an edit, one link", num(s["edits.toAgent"].Slope)) +
		line("", "processor time of an entry for an edit, 50 links", fmt.Sprintf("%.2f ms", 1e3*s["edits.entryCPU"].Slope)) +
		line("", "processor time of an agent for an edit", fmt.Sprintf("%.3f ms", 1e3*s["edits.agentCPU"].Slope))
}

func slopesTable(s map[string]slope) string {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	sort.Strings(names)
	out := header("quantity", "x", "unit of y", "points (x, y)", "slope", "error", "y at 0", "measured by")
	for _, name := range names {
		q := s[name]
		var points []string
		for _, p := range q.Points {
			points = append(points, fmt.Sprintf("(%g, %g)", p[0], p[1]))
		}
		fields := strings.Fields(q.Command)
		by := "?"
		for _, f := range fields {
			if strings.HasPrefix(f, "'^") && f != "'^$'" {
				by = strings.Trim(f, "'^$")
			}
		}
		out += line(name, q.Per, q.Unit, strings.Join(points, " "), fmt.Sprintf("%g", q.Slope), fmt.Sprintf("%g", q.Error), fmt.Sprintf("%g", q.Base), by)
	}
	return out
}
