package rcsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

// breakOffProbability is the share of answers that an upstream breaks off while it does.
const breakOffProbability = 0.3

// deliveries decides how an upstream delivers its answers.
type deliveries struct {
	actions  atomic.Int32 // Actions because of which answers come in all framings and some are broken off.
	answers  atomic.Int64 // Answers that were delivered so.
	breakOff atomic.Int64 // Those that were broken off.
}

// next returns how the next answer is delivered. Without framing, nothing tells a stream
// that is finished between two events from a whole one, so that such cuts are left out.
func (d *deliveries) next(string) rcfakeupstream.Delivery {
	if d.actions.Load() == 0 {
		return rcfakeupstream.Delivery{}
	}
	d.answers.Add(1)
	framings := []rcfakeupstream.Framing{rcfakeupstream.Chunked, rcfakeupstream.Sized, rcfakeupstream.Unframed}
	delivery := rcfakeupstream.Delivery{Framing: framings[rand.IntN(len(framings))], JSON: true}
	if rand.Float64() >= breakOffProbability {
		return delivery
	}
	d.breakOff.Add(1)
	delivery.Closing = rcfakeupstream.Closing(rand.IntN(3))
	delivery.Cut = rcfakeupstream.InsideEvent
	if delivery.Framing != rcfakeupstream.Unframed || delivery.Closing != rcfakeupstream.Finish {
		delivery.Cut += rcfakeupstream.Cut(rand.IntN(2))
	}
	return delivery
}

// breakOffAnswers makes the upstreams in use break off some of their answers, in all
// framings.
func (s *soak) breakOffAnswers(later func(func())) {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	for _, u := range s.env.upstreams {
		u.deliveries.actions.Add(1)
		later(func() { u.deliveries.actions.Add(-1) })
	}
}

// plainAnswer returns the answer of a plain service, of which r.Body begins.
func plainAnswer(id, body string) string {
	if strings.HasPrefix(body, "{") {
		return fmt.Sprintf(`{"Done":%q}`, "done "+id)
	}
	return "done " + id
}

// logDeliveries logs how many answers were broken off.
func (s *soak) logDeliveries() {
	answers, broken := int64(0), int64(0)
	s.env.mu.Lock()
	for _, u := range s.env.upstreams {
		answers, broken = answers+u.deliveries.answers.Load(), broken+u.deliveries.breakOff.Load()
	}
	s.env.mu.Unlock()
	s.logf("%d of %d answers in all framings were broken off", broken, answers)
}
