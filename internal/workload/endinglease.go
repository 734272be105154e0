package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// EndingLease says that the leases of a host, which are not extended, end within a time
// from when the owner's row was written.
type EndingLease struct {
	Host      HostName
	Remaining time.Duration // 0: they have ended
	Listed    bool          // Runs has all runs that may go on there
	Runs      []RunID
}

// FormatEndingLeases returns the list as Owner.EndingLeases has it: host:milliseconds,
// separated by spaces. The runs of a host, if they are listed, follow it as =run,run. The
// result is not longer than maxBytes; leases that do not fit are omitted from the end of
// the list, and then lists of runs that do not fit beside the leases.
func FormatEndingLeases(list []EndingLease, maxBytes int) string {
	size := 0
	var items []string
	for _, l := range list {
		item := string(l.Host) + ":" + strconv.FormatInt(ceilMilliseconds(l.Remaining), 10)
		if size+separated(item, size) > maxBytes {
			break
		}
		size += separated(item, size)
		items = append(items, item)
	}
	for i := range items {
		if runs := list[i].formatRuns(); runs != "" && size+separated(runs, size) <= maxBytes {
			size += separated(runs, size)
			items[i] += " " + runs
		}
	}
	return strings.Join(items, " ")
}

// separated returns the bytes that an item adds to a text of a size.
func separated(item string, size int) int {
	if size == 0 {
		return len(item)
	}
	return len(item) + 1
}

// formatRuns returns the runs as =run,run, or "" if they are not listed. A program that
// does not know of lists omits it as an item that it cannot parse, and keeps the host.
func (l *EndingLease) formatRuns() string {
	if !l.Listed {
		return ""
	}
	texts := make([]string, len(l.Runs))
	for i, id := range l.Runs {
		texts[i] = id.String()
	}
	return "=" + strings.Join(texts, ",")
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// ParseEndingLeases is the inverse of FormatEndingLeases. It omits what it cannot parse,
// as if the row did not have it: every owner reads the row alike.
func ParseEndingLeases(s string) []EndingLease {
	var list []EndingLease
	hostParsed := false // the last item was a host
	for _, item := range strings.Fields(s) {
		if runs, ok := strings.CutPrefix(item, "="); ok {
			if hostParsed {
				list[len(list)-1].parseRuns(runs)
			}
			hostParsed = false
			continue
		}
		lease, ok := parseEndingLease(item)
		if hostParsed = ok; ok {
			list = append(list, lease)
		}
	}
	return list
}

func parseEndingLease(item string) (EndingLease, bool) {
	i := strings.LastIndexByte(item, ':')
	if i <= 0 {
		return EndingLease{}, false
	}
	ms, err := strconv.ParseUint(item[i+1:], 10, 31)
	return EndingLease{Host: HostName(item[:i]), Remaining: time.Duration(ms) * time.Millisecond}, err == nil
}

// parseRuns sets the runs. A list of which a part cannot be parsed is not complete.
func (l *EndingLease) parseRuns(s string) {
	var runs []RunID
	for text := range strings.SplitSeq(s, ",") {
		if s == "" {
			break
		}
		id, err := ParseRunID(text)
		if err != nil {
			return
		}
		runs = append(runs, id)
	}
	l.Listed, l.Runs = true, runs
}

// ParseRunID is the inverse of RunID.String.
func ParseRunID(s string) (RunID, error) {
	name, number, ok := strings.Cut(s, "#")
	if !ok {
		return RunID{}, fmt.Errorf("run name %q has no number", s)
	}
	task, err := ParseTaskID(name)
	if err != nil {
		return RunID{}, err
	}
	n, err := strconv.ParseUint(number, 10, 64)
	return RunID{task, n}, err
}
