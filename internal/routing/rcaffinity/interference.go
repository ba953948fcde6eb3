package rcaffinity

import (
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// An engine reads prompts in chunks and makes one decode step of all its streams after each
// chunk, so a prompt delays the next events of all streams there, and the first events of the
// requests behind it. The cost is designed for a mix of short prompts with long answers and
// long prompts with short answers: long prompts move to engines with fewer streams, each in
// the order of its own part, and move back as the mix changes. No engine belongs to a class.

// maxInterferenceWeight bounds the weight for routes with an unusually small MaxEventGap.
const maxInterferenceWeight = 4

// interferenceWeight returns how much a delay of an engine's streams counts in relation to
// the same delay of the request: delays count by the part of the target that they use up.
func interferenceWeight(req Request) float64 {
	if req.MaxEventGap <= 0 || req.LatencyTarget <= 0 {
		return 0
	}
	return min(maxInterferenceWeight, float64(req.LatencyTarget)/float64(req.MaxEventGap))
}

// interferenceCost returns what prefilling a number of tokens costs the requests in flight at
// an engine, from all instances. The requests of a full engine count as one request of the
// same weight: all of them are delayed, but few of them so much that they miss their targets.
func (c capacity) interferenceCost(s *rcfleet.State, f fleetCapacity, tokens int) time.Duration {
	if f.interference == 0 || s.Slots <= 0 {
		return 0
	}
	load := min(1, float64(s.Running+s.PeerLoad.Running)/float64(s.Slots))
	return time.Duration(f.interference * load * float64(c.prefillTime(tokens)))
}
