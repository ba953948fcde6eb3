package rcadmission

import (
	"math"
	"time"
)

// rate is a moving average of how much happens in a second.
type rate struct {
	perSecond float64
	at        time.Time // Of the last update; zero before the first.
}

// add adds an amount. The average goes back over about the time window.
func (r *rate) add(amount float64, now time.Time, window time.Duration) {
	r.perSecond = r.value(now, window) + amount/window.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time, window time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/window.Seconds())
}
