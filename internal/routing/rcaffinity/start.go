package rcaffinity

import (
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// startWait returns the part of a queue wait that is left if requests that wait at an engine
// count only once: their prompts are part of the tokens that are to be read, and they are
// part of the queue that the engine reports, for up to 2 s. The sum of both keeps placement
// away from engines with a queue, but as a time it is too long.
func startWait(req Request, s *rcfleet.State, limits capacity, queueWait time.Duration) time.Duration {
	if req.Model == "" {
		return 0
	}
	_, prefilling, waiting := s.Ahead(req.Deferred)
	return queueWait - min(limits.prefillTime(prefilling), limits.time(time.Duration(waiting)*queuedRequestCost))
}
