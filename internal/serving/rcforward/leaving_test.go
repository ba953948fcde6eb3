package rcforward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
)

// TestLeavingUpstreamGetsNoRequests guards against requests to an upstream that has said
// in a reply of any kind that it leaves, and against a reply from another server at its
// address that takes it out of use.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	answered, busy := okReply(), radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}
	misdirected := radishcrank.Reply{Class: radishcrank.ReplyMisdirected, Status: http.StatusMisdirectedRequest}
	foreign, invalid := misdirected, radishcrank.Reply{Class: radishcrank.ReplyInvalid, Status: http.StatusOK}
	foreign.Instance = "another"
	for _, c := range []struct {
		name    string
		reply   radishcrank.Reply
		leaving bool
	}{{"answer", answered, true}, {"refusal", busy, true}, {"misdirected", misdirected, true}, {"foreign", foreign, false}, {"invalid", invalid, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{}
				f := newThrottlingForwarder(s)
				serve := func() radishcrank.UpstreamID {
					s.steps = append(s.steps, step{reply: okReply()})
					_, err := serveOne(t, f, nonIdempotent())
					require.NoError(t, err)
					return s.sent[len(s.sent)-1].up
				}
				preferred, ok := f.cfg.Fleet.Get(serve())
				require.True(t, ok)
				reply := c.reply
				reply.Leaving = true
				if c.name == "misdirected" {
					reply.Instance = preferred.ID
				}
				d := &dispatch{f: f, x: &radishcrank.Exchange{}}
				d.updateFleet(preferred.Upstream, rcaffinity.Choice{}, &reply)
				require.Equal(t, c.leaving, serve() != preferred.ID)
				f.cfg.Fleet.Put(preferred.Entry)
				require.Equal(t, c.leaving, serve() != preferred.ID, "the list says that it is ready")
			})
		})
	}
}
