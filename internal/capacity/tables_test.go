package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// tables computes the generated tables of docs/CAPACITY.md, by name.
var tables = map[string]func(map[string]slope) string{
	"split": splitTable, "roles": rolesTable, "table": storeTable, "limits": limitsTable, "badhour": worstHourTable,
	"targets": figuresTable, "slopes": slopesTable,
}

func splitTable(map[string]slope) string {
	l := targetLayout()
	return tableHeader("quantity", "value") +
		tableRow("regions, data centres, cells, entries", fmt.Sprintf("%d, %d, %.0f, %.0f", targetRegions, targetDataCentres, l.cells, l.entries)) +
		tableRow("workers and agents of a cell", formatNumber(l.workersPerCell)) +
		tableRow("running tasks of a worker", formatNumber(l.tasksPerWorker)) +
		tableRow("running tasks of a cell", formatNumber(l.tasksPerCell)) +
		tableRow("task starts/s of a cell at the peak", formatNumber(l.startsPerCell)) +
		tableRow("links of an agent (every entry of its region)", formatNumber(l.linksPerAgent)) +
		tableRow("links of an entry (every agent of its region)", formatNumber(l.linksPerEntry)) +
		tableRow("edits/s, mean of the day", formatNumber(l.editsPerSecond)) +
		tableRow("assumed: waiting jobs of a cell, queued requests of an entry, configuration items",
			fmt.Sprintf("%d, %d, %d", waitingJobs, queuedRequests, configItems))
}

func rolesTable(s map[string]slope) string {
	l := targetLayout()
	out := tableHeader("daemon", "live memory", "memory held", "of 128 MB", "core", "of 1.6%", "bytes", "of 11 KB/s", "messages/s", "bytes with TCP/IP headers")
	for _, r := range []struct {
		name string
		cost cost
	}{
		{"agent", agentCost(s, l)},
		{"entry without a cell", entryCost(s, l, false)},
		{"entry that controls a cell", entryCost(s, l, true)},
	} {
		c := r.cost
		out += tableRow(r.name, formatMB(c.memory), formatMB(c.heldMemory), fitsText(c.heldMemory <= budgetMemoryBytes), formatPercent(c.cores), fitsText(c.cores <= budgetCores),
			formatKBPerSecond(c.bytesPerSecond), fitsText(c.bytesPerSecond <= budgetBytesPerSecond), formatNumber(c.messagesPerSecond), formatKBPerSecond(c.bytesWithHeaders))
	}
	return out
}

// tableLoad returns the writes and reads per second at the table, as pairs of source
// and rate with their sums, while each cell starts startsPerCell tasks a second.
func tableLoad(s map[string]slope, startsPerCell float64) (writes, reads [][2]any, totalWrites, totalReads float64) {
	l := targetLayout()
	add := func(list *[][2]any, sum *float64, name string, v float64) {
		*list = append(*list, [2]any{name, v})
		*sum += v
	}
	add(&writes, &totalWrites, "controllers: heartbeats and groups of job rows", l.cells*s["cell.writes"].measured(startsPerCell))
	add(&writes, &totalWrites, "entries: directory rows", l.entries*s["links.writes"].Slope)
	add(&writes, &totalWrites, fmt.Sprintf("edits, %d times the daily mean", peakEditFactor), peakEditFactor*l.editsPerSecond*s["edits.writes"].Slope)
	add(&writes, &totalWrites, "submissions, one transaction each, daily mean", targetJobsPerDay/secondsPerDay)
	cellsSeen := l.cells / targetRegions
	add(&reads, &totalReads, "controllers: job rows", l.cells*s["cell.reads"].at(startsPerCell))
	add(&reads, &totalReads, "entries: configuration, directory, one watched cell", l.entries*s["links.reads"].Slope)
	add(&reads, &totalReads, "entries: further watched cells of the region", l.entries*(cellsSeen-1)*readsPerWatchedCell)
	add(&reads, &totalReads, "agents: directory", targetWorkers*s["directory.reads"].Slope)
	add(&reads, &totalReads, fmt.Sprintf("edits, %d times the daily mean", peakEditFactor), peakEditFactor*l.editsPerSecond*l.entries*s["edits.reads"].Slope)
	return writes, reads, totalWrites, totalReads
}

func storeTable(s map[string]slope) string {
	l := targetLayout()
	writes, reads, totalWrites, totalReads := tableLoad(s, l.startsPerCell)
	out := tableHeader("operation", "writes/s", "reads/s")
	for _, write := range writes {
		out += tableRow(write[0].(string), formatNumber(write[1].(float64)), "")
	}
	for _, r := range reads {
		out += tableRow(r[0].(string), "", formatNumber(r[1].(float64)))
	}
	return out + tableRow("sum at 580 task starts/s", formatNumber(totalWrites), formatNumber(totalReads)) +
		tableRow("budget", formatNumber(budgetWritesPerSecond)+", "+fitsText(totalWrites <= budgetWritesPerSecond), formatNumber(budgetReadsPerSecond)+", "+fitsText(totalReads <= budgetReadsPerSecond))
}

// limitsTable states how many links of an entry each budget allows.
func limitsTable(s map[string]slope) string {
	idle := s["links.toEntry"].Slope + s["links.toAgent"].Slope
	heartbeats := 2 * heartbeatsPerSide * heartbeatBytes()
	idleSlower := idle - heartbeats*4/5 // a heartbeat every 5 s
	linksByMemory := (budgetMemoryBytes/heldRatio(s) - s["agents.entryLive"].Base - s["items.entryLive"].Slope*configItems -
		s["queue.entryLive"].Slope*queuedRequests) / s["agents.entryLive"].Slope
	out := tableHeader("budget of an entry", "for each link", "links that fit", "entries needed if each agent has 2 links")
	row := func(name, perLink string, links float64) {
		entriesNeeded := "none: the idle entry alone exceeds it"
		if links >= 1 {
			entriesNeeded = fmt.Sprintf("%.0f", 2*targetWorkers/links)
		}
		out += tableRow(name, perLink, fmt.Sprintf("%.0f", max(links, 0)), entriesNeeded)
	}
	row("11 KB/s, as it is", fmt.Sprintf("%.1f B/s", idle), budgetBytesPerSecond/idle)
	row("11 KB/s, a heartbeat every 5 s", fmt.Sprintf("%.1f B/s", idleSlower), budgetBytesPerSecond/idleSlower)
	row("1.6% of a core", fmt.Sprintf("%.1f µs/s", 1e6*s["agents.entryCPU"].Slope), (budgetCores-s["agents.entryCPU"].Base)/s["agents.entryCPU"].Slope)
	row("128 MB", fmt.Sprintf("%.1f KB", s["agents.entryLive"].Slope/1e3), linksByMemory)
	return out
}

func worstHourTable(s map[string]slope) string {
	l := targetLayout()
	configSize := configBytes()
	entryBytesPerSecond := targetRestarts * l.linksPerAgent * configSize / l.entries / secondsPerHour
	rackTasks := 20 * l.tasksPerWorker
	rejoinBytes := l.linksPerEntry * configSize
	out := tableHeader("event", "figure", "value")
	out += tableRow("1,500 agents restart in an hour", "whole configuration sent to each new link", formatMB(configSize))
	out += tableRow("", "bytes/s of an entry for it", formatKBPerSecond(entryBytesPerSecond)+", "+fitsText(entryBytesPerSecond <= budgetBytesPerSecond))
	out += tableRow("", "received by an agent at its start", formatMB(configSize*l.linksPerAgent))
	out += tableRow("", "tasks to start again, starts/s", formatNumber(targetRestarts*l.tasksPerWorker/secondsPerHour))
	out += tableRow("a rack of 20 workers is lost", "tasks to start again", formatNumber(rackTasks))
	out += tableRow("", "transactions of 120 rows, at least", fmt.Sprintf("%.0f", max(1, rackTasks/rowsPerTxn+1)))
	out += tableRow("a data centre is lost", "tasks that run nowhere", formatNumber(l.tasksPerCell))
	out += tableRow("an entry is lost or its cell moves", "processor time of the takeover", fmt.Sprintf("%.2f s", s["takeover.controllerCPU"].measured(l.workersPerCell)))
	out += tableRow("", "inventories received", formatMB(s["tasks.toEntry"].Slope*10*l.tasksPerCell))
	out += tableRow("a region is cut off for an hour", "tasks of a region", formatNumber(2*l.tasksPerCell))
	out += tableRow("", "links that return together at an entry", formatNumber(l.linksPerEntry))
	out += tableRow("", "bytes if each agent needs the whole configuration", formatMB(rejoinBytes))
	backlogRows := 2 * 600 * l.startsPerCell
	out += tableRow("the store returns after 10 minutes", "rows of a cell that waited, two for each start", formatNumber(backlogRows))
	out += tableRow("", "transactions of a cell at 120 rows", formatNumber(backlogRows/rowsPerTxn))
	return out + tableRow("", "writes/s of all cells, one at a time at 20 ms", formatNumber(l.cells/0.02)+", "+fitsText(l.cells/0.02 <= budgetWritesPerSecond))
}

func figuresTable(s map[string]slope) string {
	l := targetLayout()
	secondsPerDecision := s["placement.decisionCPU"].at(l.workersPerCell)
	p99 := s["cell.urgentP99"].measured(l.startsPerCell)
	return tableHeader("line of the target", "figure", "value") +
		tableRow("580 task starts/s", "processor time of placement decisions, of a core of each controller", formatPercent(secondsPerDecision*l.startsPerCell)) +
		tableRow("", "controller's core at that rate, leases and timers included", formatPercent(s["starts.controllerCPU"].at(l.startsPerCell))) +
		tableRow("", "transactions/s of a cell", formatNumber(s["cell.writes"].measured(l.startsPerCell))) +
		tableRow("urgent work within 1.4 s", "99% of the starts at 58/s with room, table at 10 ms", fmt.Sprintf("%.2f s", p99)) +
		tableRow("129,000 running tasks", "state of a controller", formatMB(s["tasks.entryLive"].Slope*l.tasksPerCell)) +
		tableRow("", "bytes/s to a controller for usage and inventories", formatKBPerSecond(s["tasks.toEntry"].Slope*l.tasksPerCell)) +
		tableRow("3,300 edits a day", "bytes to each agent for an edit, one link", formatNumber(s["edits.toAgent"].Slope)) +
		tableRow("", "processor time of an entry for an edit, 50 links", fmt.Sprintf("%.2f ms", 1e3*s["edits.entryCPU"].Slope)) +
		tableRow("", "processor time of an agent for an edit", fmt.Sprintf("%.3f ms", 1e3*s["edits.agentCPU"].Slope))
}

func slopesTable(s map[string]slope) string {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	sort.Strings(names)
	out := tableHeader("quantity", "x", "unit of y", "points (x, y)", "slope", "error", "y at 0", "measured by")
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
		out += tableRow(name, q.Per, q.Unit, strings.Join(points, " "), fmt.Sprintf("%g", q.Slope), fmt.Sprintf("%g", q.Error), fmt.Sprintf("%g", q.Base), by)
	}
	return out
}
