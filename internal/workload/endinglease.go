package workload

import (
	"strconv"
	"strings"
	"time"
)

// EndingLease says that the leases of a host, which are not extended, end within a time
// from when the owner's row was written.
type EndingLease struct {
	Host      HostName
	Remaining time.Duration // 0: they have ended
}

// FormatEndingLeases returns the list as Owner.EndingLeases has it: host:milliseconds,
// separated by spaces. The result is not longer than maxBytes; leases that do not fit are
// omitted from the end of the list.
func FormatEndingLeases(list []EndingLease, maxBytes int) string {
	var b []byte
	for _, l := range list {
		item := string(l.Host) + ":" + strconv.FormatInt(ceilMilliseconds(l.Remaining), 10)
		if len(b) > 0 {
			item = " " + item
		}
		if len(b)+len(item) > maxBytes {
			break
		}
		b = append(b, item...)
	}
	return string(b)
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// ParseEndingLeases is the inverse of FormatEndingLeases. It omits what it cannot parse,
// as if the row did not have it: every owner reads the row alike.
func ParseEndingLeases(s string) []EndingLease {
	var list []EndingLease
	for _, item := range strings.Fields(s) {
		i := strings.LastIndexByte(item, ':')
		if i <= 0 {
			continue
		}
		ms, err := strconv.ParseUint(item[i+1:], 10, 31)
		if err != nil {
			continue
		}
		list = append(list, EndingLease{HostName(item[:i]), time.Duration(ms) * time.Millisecond})
	}
	return list
}
