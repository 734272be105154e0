package capacity

import (
	"fmt"
	"strings"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// The target size of docs/design.md section 1.4, and the assumptions of
// docs/CAPACITY.md where the target does not state a number.
const (
	targetWorkers         = 6900
	targetDataCentres     = 10
	targetRegions         = 5
	targetTasks           = 19_000 + 110_000
	targetStartsPerSecond = 580.0
	targetJobsPerDay      = 46_000
	targetEditsPerDay     = 3300
	targetRestarts        = 1500 // agents that restart in the worst hour

	entriesPerDataCentre = 3
	cellsPerDataCentre   = 1
	configItems          = 7500 // 6,900 workers, 180 teams, services, classes and selectors
	waitingJobs          = 2000 // for each cell
	queuedRequests       = 1000 // for each entry
	peakEditFactor       = 10   // peak rate of edits, as a multiple of the daily mean

	budgetCores           = 0.016 // of a daemon, as the memory and the traffic
	budgetMemoryBytes     = 128e6
	budgetBytesPerSecond  = 11e3
	budgetWritesPerSecond = 400.0 // of the table, as the reads
	budgetReadsPerSecond  = 2000.0
	secondsPerDay         = 86_400.0
	secondsPerHour        = 3600.0
	readsPerWatchedCell   = 2.0 // reads/s of an entry for each cell that it watches: two rows a second
	packetHeaderBytes     = 52  // bytes of TCP with timestamps and of IP, for a segment and again for its acknowledgement
	muxHeaderBytes        = 12
	rowsPerTxn            = 120.0
	linksOfEditBenchmark  = 50  // agents of BenchmarkEdits; the time of an edit is assumed to be proportional to them
	heartbeatsPerSide     = 1.0 // heartbeats/s of each end of a link
)

// layout is the division of the target into cells, entries and links.
type layout struct {
	workersPerCell, tasksPerCell, tasksPerWorker float64
	entries, cells                               float64
	linksPerAgent, linksPerEntry                 float64
	startsPerCell, editsPerSecond                float64
}

// targetLayout returns the layout of the target size.
func targetLayout() layout {
	l := layout{entries: targetDataCentres * entriesPerDataCentre, cells: targetDataCentres * cellsPerDataCentre}
	l.workersPerCell = targetWorkers / l.cells
	l.tasksPerWorker = float64(targetTasks) / targetWorkers
	l.tasksPerCell = targetTasks / l.cells
	l.linksPerAgent = l.entries / targetRegions
	l.linksPerEntry = targetWorkers / targetRegions
	l.startsPerCell = targetStartsPerSecond / l.cells
	l.editsPerSecond = targetEditsPerDay / secondsPerDay
	return l
}

// cost is the use of resources by a daemon: memory in bytes, processor time in
// cores, network traffic per second.
type cost struct{ memory, heldMemory, cores, bytesPerSecond, bytesWithHeaders, messagesPerSecond float64 }

// agentCost returns the cost of an agent with its share of the tasks.
func agentCost(s map[string]slope, l layout) (c cost) {
	c.memory = s["agents.agentLive"].Base + s["links.agentLive"].at(l.linksPerAgent) +
		s["tasks.agentLive"].Slope*l.tasksPerWorker + s["items.agentLive"].Slope*configItems
	c.heldMemory = c.memory * heldRatio(s)
	c.cores = s["links.agentCPU"].at(l.linksPerAgent) + s["tasks.agentCPU"].Slope*l.tasksPerWorker +
		s["edits.agentCPU"].Slope*l.editsPerSecond
	c.bytesPerSecond = s["links.toEntry"].at(l.linksPerAgent) + s["links.toAgent"].at(l.linksPerAgent) +
		s["tasks.toEntry"].Slope*l.tasksPerWorker + s["edits.toAgent"].Slope*l.editsPerSecond
	c.messagesPerSecond = s["links.segmentsToEntry"].at(l.linksPerAgent) + s["links.segmentsToAgent"].at(l.linksPerAgent)
	c.bytesWithHeaders = c.bytesPerSecond + 2*packetHeaderBytes*c.messagesPerSecond
	return c
}

// entryCost returns the cost of an entry. An owner controls a cell as well.
func entryCost(s map[string]slope, l layout, owner bool) (c cost) {
	links := l.linksPerEntry
	c.memory = s["agents.entryLive"].at(links) + s["items.entryLive"].Slope*configItems + s["queue.entryLive"].Slope*queuedRequests
	c.cores = s["agents.entryCPU"].at(links) + s["edits.entryCPU"].Slope*l.editsPerSecond*links/linksOfEditBenchmark
	c.bytesPerSecond = links * (s["links.toEntry"].Slope + s["links.toAgent"].Slope + s["edits.toAgent"].Slope*l.editsPerSecond)
	c.messagesPerSecond = links * (s["links.segmentsToEntry"].Slope + s["links.segmentsToAgent"].Slope)
	if owner {
		c.memory += s["tasks.entryLive"].Slope*l.tasksPerCell + s["jobs.waitingLive"].Slope*waitingJobs
		// The processor time of the tasks' usage reports, tasks.entryCPU, is
		// left out, because it is smaller than its standard error.
		c.cores += s["starts.controllerCPU"].at(l.startsPerCell)
		c.bytesPerSecond += s["tasks.toEntry"].Slope*l.tasksPerCell + l.workersPerCell*
			(s["agents.toEntry"].Slope+s["agents.toAgent"].Slope-s["links.toEntry"].Slope-s["links.toAgent"].Slope)
		c.messagesPerSecond += l.workersPerCell * (s["agents.segmentsToEntry"].Slope + s["agents.segmentsToAgent"].Slope -
			s["links.segmentsToEntry"].Slope - s["links.segmentsToAgent"].Slope)
	}
	c.heldMemory = c.memory * heldRatio(s)
	c.bytesWithHeaders = c.bytesPerSecond + 2*packetHeaderBytes*c.messagesPerSecond
	return c
}

// heldRatio returns the bytes that the runtime has obtained from the operating
// system for each live byte.
func heldRatio(s map[string]slope) float64 {
	return s["agents.entryHeld"].Slope / s["agents.entryLive"].Slope
}

// heartbeatBytes returns the size of a heartbeat on the wire.
func heartbeatBytes() float64 {
	b, err := wire.AppendControl(nil, &msg.Heartbeat{})
	if err != nil {
		panic(err)
	}
	return float64(len(b) + muxHeaderBytes)
}

// configBytes returns the size of the whole configuration on the wire.
func configBytes() float64 {
	d := &msg.ConfigDelta{Full: true, To: 1}
	for i := range configItems {
		d.Changes = append(d.Changes, configChange(i))
	}
	b, err := wire.AppendControl(nil, d)
	if err != nil {
		panic(err)
	}
	return float64(len(b))
}

func fitsText(ok bool) string {
	if ok {
		return "fits"
	}
	return "**does not fit**"
}

func tableRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

func tableHeader(cells ...string) string {
	return tableRow(cells...) + "|" + strings.Repeat(" --- |", len(cells)) + "\n"
}

// formatNumber formats a number with the precision that suits its size.
func formatNumber(v float64) string {
	switch {
	case v >= 10_000:
		return fmt.Sprintf("%.0fk", v/1000)
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

func formatMB(v float64) string          { return fmt.Sprintf("%.1f MB", v/1e6) }
func formatPercent(v float64) string     { return fmt.Sprintf("%.2f%%", 100*v) }
func formatKBPerSecond(v float64) string { return fmt.Sprintf("%.2f KB/s", v/1e3) }
