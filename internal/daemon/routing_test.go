package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
)

// Guards against a class that has no effect because its service has no labels of
// its own.
func TestClassOfServiceWithoutLabels(t *testing.T) {
	table := routingTable(configstore.NewSnapshot(1, map[model.ConfigKey]model.ConfigItem{
		{Kind: model.KindClass, Name: "reads"}: {Labels: model.Labels{"service": "permit-desk", "path-prefix": "/echo", "deadline-ms": "500"}},
	}), &settings.Settings{})
	require.Len(t, table.Services["permit-desk"].Classes, 1)
	require.Equal(t, 500*time.Millisecond, table.Services["permit-desk"].Classes[0].Deadline)
	require.Empty(t, table.SharedClasses)
}
