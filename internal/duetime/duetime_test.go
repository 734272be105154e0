package duetime

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against timeouts that are lost, expire early, or expire in an order that
// differs between equal inputs.
func TestQueueReturnsItemsAsASortedListDoes(t *testing.T) {
	type listed struct {
		item int
		at   time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var list []listed
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			item := rapid.IntRange(0, 9).Draw(t, "item")
			without := slices.DeleteFunc(slices.Clone(list), func(l listed) bool { return l.item == item })
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				at := now + time.Duration(rapid.IntRange(0, 5).Draw(t, "delay"))
				q.Set(item, at)
				list = append(without, listed{item, at})
			case 1:
				q.Remove(item)
				list = without
			case 2:
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))
				slices.SortStableFunc(list, func(a, b listed) int { return cmp.Compare(a.at, b.at) })
				for len(list) > 0 && list[0].at <= now {
					got, ok := q.Next(now)
					require.True(t, ok)
					require.Equal(t, list[0].item, got)
					list = list[1:]
				}
				_, ok := q.Next(now)
				require.False(t, ok)
			}
			require.Equal(t, len(list), q.Len())
		}
	})
}
