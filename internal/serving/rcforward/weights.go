package rcforward

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// recordBeginning records the age of replaced weights on which an upstream has
// just begun the exchange, and logs a beginning that is later than placement
// allows.
func (d *dispatch) recordBeginning(choice rcaffinity.Choice, reply *radishcrank.Reply) {
	if !d.x.Generates() {
		return
	}
	at, replaced := d.f.cfg.Weights(d.x.Model).ReplacedAt(choice.Weights)
	if !replaced {
		return
	}
	age := time.Since(at)
	d.f.cfg.Metrics.Record(rcmetric.ReplacedWeightsAge, age)
	if ttl := d.f.cfg.OldWeightsTTL(); ttl <= 0 || age < ttl {
		return
	}
	up := choice.Upstream.Upstream
	d.f.cfg.Log.Warn().Str("Event", "BegunLate").Str("Request", string(d.x.ID)).
		Str("Upstream", string(up.ID)).Str("UpstreamZone", string(up.Zone)).
		Str("Weights", string(choice.Weights)).Str("AnswerWeights", string(reply.Weights)).
		Int64("ReplacedAgeMS", age.Milliseconds()).Int64("PlacedAgeMS", choice.ReplacedFor.Milliseconds()).
		Int64("CostMS", choice.Cost.Milliseconds()).Int64("WaitedMS", time.Since(d.sentAt).Milliseconds()).Send()
}
