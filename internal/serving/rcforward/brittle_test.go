package rcforward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcslots"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
)

// newBrittleForwarder returns a forwarder of an instance among 100, with two brittle upstreams
// of one slot each. The instance owns that of the first one, or none.
func newBrittleForwarder(s radishcrank.Sender, others *scriptedDetours, owner bool) *Forwarder {
	f := newThrottlingForwarder(s)
	var all []radishcrank.InstanceID
	for i := range 100 {
		all = append(all, radishcrank.InstanceID(fmt.Sprint("i", i)))
	}
	self := radishcrank.InstanceID("i0")
	owners := rcslots.New(rcslots.Config{Instance: "outside", Others: func() ([]radishcrank.InstanceID, bool) { return all, true }}).Owners("u0", 1)
	if owner {
		self = owners[0]
	}
	f.cfg.Slots = rcslots.New(rcslots.Config{Instance: self, Others: func() (others []radishcrank.InstanceID, ok bool) {
		for _, i := range all {
			if i != self {
				others = append(others, i)
			}
		}
		return others, true
	}})
	f.cfg.DetourSender = others
	f.cfg.Detours = rcdetour.New(rcdetour.Config{Others: func() (found []rcdetour.Instance) {
		for _, i := range all {
			found = append(found, rcdetour.Instance{ID: i})
		}
		return found
	}})
	f.cfg.Fleet.SetBrittle("s", 3, time.Now())
	return f
}

// TestInstanceWithoutSlotsSends guards against an instance that sends to brittle upstreams of
// which it owns no slots, against one that never learns that they no longer are, and against a
// request that instances without slots pass on to each other.
func TestInstanceWithoutSlotsSends(t *testing.T) {
	answer := step{reply: okReply(), body: strings.NewReader("ok")}
	brittle := answer
	brittle.reply.Brittle = 3
	noSlots := step{reply: radishcrank.Reply{Class: radishcrank.ReplyMisdirected, Status: http.StatusServiceUnavailable, Brittle: 3, Header: http.Header{rcdetour.Header: {rcdetour.NoSlotsValue}}}}
	synctest.Test(t, func(t *testing.T) {
		upstreams := &scriptedSender{steps: []step{answer}}
		others := &scriptedDetours{steps: []step{noSlots, brittle, answer}}
		f := newBrittleForwarder(upstreams, others, false)
		for sent := 2; sent <= 3; sent++ {
			time.Sleep(time.Second)
			w, err := serveOne(t, f, nonIdempotent())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, w.Code)
			require.Equal(t, sent, others.sent, "the first one refused it for want of slots")
			require.Empty(t, upstreams.sent)
		}
		w, err := serveOne(t, f, nonIdempotent())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, upstreams.sent, 1, "the last reply did not say that they are brittle")
	})
	synctest.Test(t, func(t *testing.T) {
		f := newBrittleForwarder(&scriptedSender{}, &scriptedDetours{}, false)
		x := nonIdempotent()
		x.Detoured = true
		w, err := serveOne(t, f, x)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, rcdetour.NoSlotsValue, w.Header().Get(rcdetour.Header))
		require.Equal(t, 3, rcdetour.TakeBrittle(w.Header()))
	})
}

// TestOwnerOfSlotsIsSkipped guards against the owner of a slot that does not use it, and
// against a detoured request whose sender is not told that the upstreams are brittle.
func TestOwnerOfSlotsIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := step{reply: okReply(), body: strings.NewReader("ok")}
		answer.reply.Brittle = 3
		upstreams := &scriptedSender{steps: []step{answer}}
		f := newBrittleForwarder(upstreams, &scriptedDetours{}, true)
		x := nonIdempotent()
		x.Detoured = true
		w, err := serveOne(t, f, x)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, upstreams.sent, 1)
		require.Equal(t, 3, rcdetour.TakeBrittle(w.Header()))
	})
}
