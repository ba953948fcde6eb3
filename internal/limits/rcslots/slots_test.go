package rcslots

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
)

func instances(n int) (ids []radishcrank.InstanceID) {
	for i := range n {
		ids = append(ids, radishcrank.InstanceID(fmt.Sprint("i", i)))
	}
	return ids
}

func dividerOf(self radishcrank.InstanceID, all []radishcrank.InstanceID) *Divider {
	others := slices.DeleteFunc(slices.Clone(all), func(i radishcrank.InstanceID) bool { return i == self })
	return New(Config{Instance: self, Others: func() ([]radishcrank.InstanceID, bool) { return others, true }})
}

// TestSharesExceedSlots guards against instances that together use more slots of an upstream
// than there are, against slots that nobody uses, and against owners that have no share.
func TestSharesExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(rapid.IntRange(1, 100).Draw(t, "instances"))
		slots := rapid.IntRange(0, 80).Draw(t, "slots")
		up := radishcrank.UpstreamID(rapid.StringN(1, 8, 8).Draw(t, "upstream"))
		sum, owners := 0, dividerOf("elsewhere", all)
		for _, i := range all {
			share := dividerOf(i, all).Share(up, slots)
			sum += share
			require.GreaterOrEqual(t, share, slots/len(all))
		}
		require.Equal(t, slots, sum)
		for _, o := range dividerOf(all[0], all).Owners(up, slots) {
			require.Positive(t, dividerOf(o, all).Share(up, slots))
		}
		require.LessOrEqual(t, len(owners.Owners(up, slots)), slots)
	})
}

// TestShareMovesWithFleet guards against slots of most instances that change hands when one
// instance leaves, and against a share that is used before the other instances are known.
func TestShareMovesWithFleet(t *testing.T) {
	all := instances(72)
	moved := 0
	for n := range 60 {
		up := radishcrank.UpstreamID(fmt.Sprint("u", n))
		for _, i := range all[:71] {
			if dividerOf(i, all).Share(up, 6) != dividerOf(i, all[:71]).Share(up, 6) {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 60)
	synctest.Test(t, func(t *testing.T) {
		known := false
		d := New(Config{Instance: "i0", Others: func() ([]radishcrank.InstanceID, bool) { return nil, known }})
		require.Zero(t, d.Share("u", 6))
		known = true
		time.Sleep(membersMaxAge)
		require.Equal(t, 6, d.Share("u", 6))
	})
}
