// Package rows defines the keys of the rows in the table service and encodes
// their values. Each row has one kind of writer, given in docs/design.md
// section 5.1.
package rows

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
)

// CellEpoch is the value of the row that names the owner of a cell. The row
// changes only with the owner, so a transaction that checks its version is
// fenced: it fails after a change of owner.
type CellEpoch struct {
	Epoch   model.Epoch   `json:"epoch"`
	Owner   model.EntryID `json:"owner"`
	Boot    model.Boot    `json:"boot"`
	Address string        `json:"address"` // where agents reach the owner
}

// CellHeartbeat is the value of the row that the owner of a cell renews to keep
// the cell.
type CellHeartbeat struct {
	Owner   model.EntryID `json:"owner"`
	Boot    model.Boot    `json:"boot"`
	Counter uint64        `json:"counter"`
}

// Entry is the value of the row by which agents and other entries find an
// entry.
type Entry struct {
	ID         model.EntryID    `json:"id"`
	Boot       model.Boot       `json:"boot"`
	Address    string           `json:"address"`  // for agents
	Operator   string           `json:"operator"` // the operators' API
	DataCentre model.DataCentre `json:"dataCentre"`
	Region     model.Region     `json:"region"`
	Counter    uint64           `json:"counter"` // incremented at intervals while the entry runs
}

// ConfigHead is the value of the row that holds the configuration's version.
type ConfigHead struct {
	Version model.ConfigVersion `json:"version"`
}

// Prefixes of rows that are scanned.
const (
	EntryPrefix     = "entry/"
	ConfigKeyPrefix = "config/key/"
	ConfigLogPrefix = "config/log/"
	ConfigHeadKey   = "config/head"
)

// CellEpochKey is the key of a CellEpoch.
func CellEpochKey(c model.Cell) string { return "cell/" + string(c) + "/epoch" }

// CellHeartbeatKey is the key of a CellHeartbeat.
func CellHeartbeatKey(c model.Cell) string { return "cell/" + string(c) + "/beat" }

// JobPrefix is the prefix of the job rows of a cell.
func JobPrefix(c model.Cell) string { return "job/" + string(c) + "/" }

// JobKey is the key of a model.JobRow.
func JobKey(c model.Cell, id model.JobID) string { return JobPrefix(c) + string(id) }

// WorkerPrefix is the prefix of the worker rows of a cell.
func WorkerPrefix(c model.Cell) string { return "worker/" + string(c) + "/" }

// WorkerKey is the key of a model.Worker.
func WorkerKey(c model.Cell, id model.WorkerID) string { return WorkerPrefix(c) + string(id) }

// EntryKey is the key of an Entry.
func EntryKey(id model.EntryID) string { return EntryPrefix + string(id) }

// ConfigKey is the key of the newest model.ConfigChange of a configuration item.
func ConfigKey(k model.ConfigKey) string { return ConfigKeyPrefix + k.String() }

// ConfigLogKey is the key of the ConfigLog with this version. The
// version is padded so that keys sort in version order.
func ConfigLogKey(v model.ConfigVersion) string {
	return ConfigLogPrefix + fmt.Sprintf("%020d", uint64(v))
}

// ParseConfigLogKey is the inverse of ConfigLogKey.
func ParseConfigLogKey(key string) (model.ConfigVersion, bool) {
	digits, ok := strings.CutPrefix(key, ConfigLogPrefix)
	v, err := strconv.ParseUint(digits, 10, 64)
	return model.ConfigVersion(v), ok && err == nil
}

// WriterKey is the key of the row in which a writer records its last
// operation.
func WriterKey(writer string) string { return "writer/" + writer }

// Encode encodes the value of a row.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("row value %T cannot be encoded: %v", v, err)) // the row types above are always encodable
	}
	return raw
}

// Decode decodes the value of a row.
func Decode[T any](raw []byte) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}
