package test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/standin"
)

// plannedFault is a fault of a random schedule.
type plannedFault struct {
	beginAt, endAt time.Duration // since the start of the schedule
	name           string
	begin          func(s *system) error
	end            func(s *system) error
}

const (
	meanFaultInterval = 900 * time.Millisecond
	// maxFaultDuration is below the tasks' leases of 15 s: a worker that is
	// frozen for longer cannot record the end of its tasks, and its log would
	// show them as running after their leases.
	maxFaultDuration = 6 * time.Second
)

// planFaults draws a schedule that depends only on the random numbers, the links
// and the duration. Faults overlap, and one may be drawn again while it is
// active.
func planFaults(random *rand.Rand, links []string, duration time.Duration) []plannedFault {
	var faults []plannedFault
	for at := time.Duration(0); at < duration; at += time.Duration(random.Int64N(int64(2 * meanFaultInterval))) {
		fault := drawFault(random, links)
		fault.beginAt, fault.endAt = at, at+time.Duration(random.Int64N(int64(maxFaultDuration)))
		faults = append(faults, fault)
	}
	return faults
}

// drawFault draws a fault without its times.
func drawFault(random *rand.Rand, links []string) plannedFault {
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	daemon := pick(append(processNames("entry", entryCount), processNames("agent", agentCount)...))
	target := pick(slices.Concat(processNames("entry", entryCount), processNames("agent", agentCount),
		processNames("worker", agentCount), processNames("backend", agentCount), []string{"table", "objects"}))
	link, direction, store := pick(links), pick([]string{"", "to-server", "to-client"}), pick([]string{"table", "objects"})
	switch random.IntN(7) {
	case 0, 1:
		return plannedFault{name: "kill " + daemon, begin: func(s *system) error { s.kill(daemon); return nil },
			end: func(s *system) error { return cmdRestart(s, []string{daemon}) }}
	case 2:
		return plannedFault{name: "freeze " + target, begin: func(s *system) error { return s.freeze(target) },
			end: func(s *system) error { return s.resume(target) }}
	case 3, 4:
		return plannedFault{name: "cut " + link + " " + direction, begin: func(s *system) error { return s.cut(link, direction) },
			end: func(s *system) error { return s.heal(link) }}
	case 5:
		return plannedFault{name: "reset " + link, begin: func(s *system) error { return s.reset(link) },
			end: func(*system) error { return nil }}
	}
	storeFaults := []standin.StoreFaults{{Outage: true}, {DelayMs: 800}, {LoseAnswers: -1}, {LoseRequests: -1}}[random.IntN(4)]
	return plannedFault{name: fmt.Sprintf("%s: %+v", store, storeFaults), begin: func(s *system) error { return s.storeFault(store, storeFaults) },
		end: func(s *system) error { return s.storeFault(store, standin.StoreFaults{}) }}
}

// scheduledAction is the begin or the end of a fault.
type scheduledAction struct {
	at          time.Duration
	description string
	run         func(*system) error
}

// scheduledActions returns the begins and ends of faults in order of time.
func scheduledActions(faults []plannedFault) []scheduledAction {
	var actions []scheduledAction
	for _, fault := range faults {
		actions = append(actions, scheduledAction{fault.beginAt, "begin " + fault.name, fault.begin}, scheduledAction{fault.endAt, "end " + fault.name, fault.end})
	}
	sort.SliceStable(actions, func(i, j int) bool { return actions[i].at < actions[j].at })
	return actions
}
