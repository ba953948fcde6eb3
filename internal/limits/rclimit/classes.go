package rclimit

import "time"

// classTime is the time over which the demand of urgent requests is averaged.
const classTime = 3 * time.Second

// classes divide what an account may use between its urgent requests and the others.
//
// It addresses an account that asks for several times its limit, for short urgent requests
// and long deferrable ones: rejected alike, most of the urgent ones would fail for the cost
// of the deferrable ones, although the limit has room for all of them.
type classes struct {
	urgent, all classDemand
}

// classDemand is a moving average of the cost that requests ask for.
type classDemand struct {
	cost float64
	at   time.Time
}

func (c *classDemand) add(cost float64, now time.Time) {
	if age := now.Sub(c.at); age > 0 {
		c.cost *= max(0, 1-age.Seconds()/classTime.Seconds())
		c.at = now
	}
	c.cost += cost
}

// record records a request of an account at its limit.
func (c *classes) record(cost float64, urgent bool, now time.Time) {
	c.all.add(cost, now)
	if urgent {
		c.urgent.add(cost, now)
	}
}

// fraction returns the fraction of the requests of one class that is admitted if the limit
// allows a fraction of all. Urgent ones take what they need first.
func (c *classes) fraction(all float64, urgent bool) float64 {
	if all <= 0 || all >= 1 || c.all.cost <= 0 {
		return all
	}
	part := min(1, c.urgent.cost/c.all.cost)
	first := 1.0
	if part > 0 {
		first = min(1, all/part)
	}
	if urgent {
		return first
	}
	if part >= 1 {
		return 0
	}
	return max(0, (all-part*first)/(1-part))
}
