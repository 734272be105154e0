package jobdaemon

import (
	"os"
	"strconv"
	"strings"
)

// HostMemory returns the memory of this host in bytes, or 0 if it is not known.
func HostMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return totalMemory(string(text))
}

// totalMemory returns the bytes of the line MemTotal of /proc/meminfo, or 0.
func totalMemory(meminfo string) int64 {
	for line := range strings.Lines(meminfo) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "MemTotal:" && fields[2] == "kB" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if it is malformed
			return kilobytes << 10
		}
	}
	return 0
}
