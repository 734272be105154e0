// Package jobdaemon assembles the processes of the job scheduler: the entry,
// which serves submitters and may own the jobs, and the agent, which guards a
// host. Decisions are made in jobs, hostagent, ownership and policy/hostselect.
package jobdaemon

import (
	"strings"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Keys of rows have the form table/part/key. A transaction stays within a part.
const (
	ownerKey       = "owner/main/owner"
	progressPrefix = "progress/main/"
	hostsPrefix    = "hosts/main/"
	hostsKey       = hostsPrefix + "known"
	harmsKey       = hostsPrefix + "harms"
	membersPrefix  = "members//"
	cancelSuffix   = ".cancel"
)

// jobParts spreads the jobs over parts, whose transactions run one after
// another. A part is the last hexadecimal digit of the job's id, halved.
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

// idOfKey returns the job of a row of the jobs table, and whether the row is
// its cancellation.
func idOfKey(key string) (id workload.JobID, cancel bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	name, cancel = strings.CutSuffix(name, cancelSuffix)
	return workload.JobID(name), cancel
}
