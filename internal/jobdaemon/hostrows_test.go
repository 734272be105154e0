package jobdaemon

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// namesOf returns names of hosts that take a number of bytes in a row.
func namesOf(bytes int) []workload.HostName {
	const length = 24
	var names []workload.HostName
	for ; bytes > 2*length; bytes -= length {
		names = append(names, workload.HostName(fmt.Sprintf("side-cairo-maadi-%06d", len(names))))
	}
	return append(names, workload.HostName(strings.Repeat("x", bytes-1)))
}

// Guards against a list of hosts that exceeds its row: the table service refuses it, and
// no host that is not in the list is used. With names of 23 letters that happened at 2,048
// hosts.
func TestListOfHostsIsDividedIntoRows(t *testing.T) {
	for bytes, rows := range map[int]int{
		100: 1, storeRowBytes - 1: 1, storeRowBytes: 1, storeRowBytes + 1: 2, 5 * storeRowBytes: 5,
	} {
		hosts := namesOf(bytes)
		c := &controller{writer: writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 1}}
		txn, err := c.batchTxn(c.writer.owner, &jobs.Batch{Hosts: hosts})
		require.NoError(t, err)
		require.Equal(t, 1+rows, len(txn.Puts), "%d bytes", bytes)
		state := &storedState{}
		for _, put := range txn.Puts[1:] {
			require.LessOrEqual(t, len(put.Value), storeRowBytes)
			require.NoError(t, state.addRow(table.Row{Key: put.Key, Value: put.Value}))
		}
		require.ElementsMatch(t, hosts, state.hosts)
		require.Equal(t, rows, state.hostRows)
	}
}

// Guards against hosts of a former, longer list for which each new owner waits.
func TestRowsOfALongerListOfHostsAreDeleted(t *testing.T) {
	c := &controller{writer: writer{owner: workload.Owner{Name: "a", Epoch: 1}, version: 1, hostRows: 3}}
	txn, err := c.batchTxn(c.writer.owner, &jobs.Batch{Hosts: []workload.HostName{"a"}})
	require.NoError(t, err)
	require.Equal(t, []string{hostsKey + ".1", hostsKey + ".2"}, txn.Deletes)
	txn, err = c.batchTxn(c.writer.owner, &jobs.Batch{Hosts: []workload.HostName{}})
	require.NoError(t, err)
	require.Equal(t, hostsKey, txn.Puts[1].Key, "an empty list replaces the former one")
	require.Empty(t, parseHostRow(txn.Puts[1].Value))
	require.NotEmpty(t, txn.Puts[1].Value, "a row without a value may be refused")
}
