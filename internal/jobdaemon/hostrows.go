package jobdaemon

import (
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// hostRowKey returns the key of a row with a part of the list of hosts.
func hostRowKey(number int) string {
	if number == 0 {
		return hostsKey
	}
	return hostsKey + partSeparator + strconv.Itoa(number)
}

// isHostRow reports whether a row has a part of the list of hosts.
func isHostRow(key string) bool {
	return key == hostsKey || strings.HasPrefix(key, hostsKey+partSeparator)
}

// hostRows returns the list of hosts as rows of at most maxBytes. There is one at least,
// since an empty list replaces a former one.
func hostRows(hosts []workload.HostName, maxBytes int) []table.Put {
	var rows []table.Put
	var row []byte
	next := func() {
		rows = append(rows, table.Put{Key: hostRowKey(len(rows)), Value: row})
		row = nil
	}
	for _, h := range hosts {
		if len(row) > 0 && len(row)+len(h)+1 > maxBytes {
			next()
		}
		row = append(append(row, h...), '\n')
	}
	if len(hosts) == 0 {
		row = []byte{'\n'}
	}
	next()
	return rows
}

// parseHostRow is the inverse of hostRows for one row.
func parseHostRow(value []byte) []workload.HostName {
	var hosts []workload.HostName
	for _, name := range strings.Fields(string(value)) {
		hosts = append(hosts, workload.HostName(name))
	}
	return hosts
}

// addHosts adds the list of hosts to a transaction, and deletes rows of a former, longer
// list. It returns the number of rows.
func addHosts(txn *table.Txn, hosts []workload.HostName, formerRows int) int {
	rows := hostRows(hosts, jobs.MaxRowBytes)
	txn.Puts = append(txn.Puts, rows...)
	for n := len(rows); n < formerRows; n++ {
		txn.Deletes = append(txn.Deletes, hostRowKey(n))
	}
	return len(rows)
}
