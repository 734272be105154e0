package test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/standin"
)

// planned is one fault of a random schedule.
type planned struct {
	at, until time.Duration // since the start of the schedule
	name      string
	begin     func(s *system) error
	end       func(s *system) error
}

const (
	// A fault begins about this often and lasts at most longestFault: a frozen
	// worker must not exceed its tasks' leases of 15 s, because its log would
	// then show tasks as running that only could not note their end.
	faultEvery   = 900 * time.Millisecond
	longestFault = 6 * time.Second
)

// plan draws a schedule. It depends on the random numbers and the duration
// only; faults overlap, and the same one may be drawn again while it lasts.
func plan(r *rand.Rand, links []string, duration time.Duration) []planned {
	var list []planned
	for at := time.Duration(0); at < duration; at += time.Duration(r.Int64N(int64(2 * faultEvery))) {
		p := draw(r, links)
		p.at, p.until = at, at+time.Duration(r.Int64N(int64(longestFault)))
		list = append(list, p)
	}
	return list
}

func draw(r *rand.Rand, links []string) planned {
	pick := func(list []string) string { return list[r.IntN(len(list))] }
	daemon := pick(append(names("entry", entryCount), names("agent", agentCount)...))
	anyone := pick(slices.Concat(names("entry", entryCount), names("agent", agentCount),
		names("worker", agentCount), names("backend", agentCount), []string{"table", "objects"}))
	link, direction, store := pick(links), pick([]string{"", "to-server", "to-client"}), pick([]string{"table", "objects"})
	switch r.IntN(7) {
	case 0, 1:
		return planned{name: "kill " + daemon, begin: func(s *system) error { s.kill(daemon); return nil },
			end: func(s *system) error { return verbRestart(s, []string{daemon}) }}
	case 2:
		return planned{name: "freeze " + anyone, begin: func(s *system) error { return s.freeze(anyone) },
			end: func(s *system) error { return s.resume(anyone) }}
	case 3, 4:
		return planned{name: "cut " + link + " " + direction, begin: func(s *system) error { return s.cut(link, direction) },
			end: func(s *system) error { return s.heal(link) }}
	case 5:
		return planned{name: "reset " + link, begin: func(s *system) error { return s.reset(link) },
			end: func(*system) error { return nil }}
	}
	f := []standin.StoreFaults{{Outage: true}, {DelayMs: 800}, {LoseAnswers: -1}, {LoseRequests: -1}}[r.IntN(4)]
	return planned{name: fmt.Sprintf("%s: %+v", store, f), begin: func(s *system) error { return s.storeFault(store, f) },
		end: func(s *system) error { return s.storeFault(store, standin.StoreFaults{}) }}
}

// moment is the begin or the end of a fault.
type moment struct {
	at   time.Duration
	text string
	do   func(*system) error
}

func moments(list []planned) []moment {
	var all []moment
	for _, p := range list {
		all = append(all, moment{p.at, "begin " + p.name, p.begin}, moment{p.until, "end " + p.name, p.end})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}
