// Package jobdaemon assembles the processes of the job scheduler: the entry,
// which serves callers and may own the jobs, and the agent, which starts and
// stops runs on a host. Packages jobs, hostagent, ownership and
// policy/hostselect make the decisions.
package jobdaemon

import (
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Keys of rows have the form table/part/key. All rows of a transaction must be
// in the same part.
const (
	ownerKey        = "owner/main/owner"
	progressPrefix  = "progress/main/"
	hostsPrefix     = "hosts/main/"
	hostsKey        = hostsPrefix + "known"
	interferenceKey = hostsPrefix + "harms"
	membersPrefix   = "members//"
	cancelSuffix    = ".cancel"
	partSeparator   = "." // between a job and the number of a row of its attempts
)

// jobParts are the parts of the jobs table. The table service runs the
// transactions of one part one after another, so the jobs are spread over
// several. Two values of the last hexadecimal digit of a job's id share a part.
const jobParts = "02468ace"

func jobPart(id workload.JobID) string {
	i := strings.IndexByte("0123456789abcdef", lower(id[len(id)-1]))
	return jobParts[i/2 : i/2+1]
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'F' {
		return b - 'A' + 'a'
	}
	return b
}

func jobKey(id workload.JobID) string      { return "jobs/" + jobPart(id) + "/" + string(id) }
func cancelKey(id workload.JobID) string   { return jobKey(id) + cancelSuffix }
func progressKey(id workload.JobID) string { return progressPrefix + string(id) }

// attemptsKey is the key of a row with the attempts of some tasks of a large job.
func attemptsKey(id workload.JobID, part int) string {
	return progressKey(id) + partSeparator + strconv.Itoa(part)
}

// parseProgressKey returns the job of a row of the progress table, and whether the row
// has the attempts of some of its tasks only.
func parseProgressKey(key string) (id workload.JobID, attempts bool) {
	name, _, attempts := strings.Cut(strings.TrimPrefix(key, progressPrefix), partSeparator)
	return workload.JobID(name), attempts
}

// parseJobKey returns the job of a row of the jobs table, and whether the row
// is the job's cancellation.
func parseJobKey(key string) (id workload.JobID, cancel bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	name, cancel = strings.CutSuffix(name, cancelSuffix)
	return workload.JobID(name), cancel
}
