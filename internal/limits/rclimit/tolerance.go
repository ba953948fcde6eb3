package rclimit

// toleratedFraction is the part of the permitted excess that is granted in regular
// operation. Instances know each other's usage some hundred milliseconds late: without it
// they reject requests that are within a limit whenever an account comes close to it. The
// rest covers what is admitted unknowingly, as after a network partition.
const toleratedFraction = 0.6

// Raise returns a limit with the granted part of the excess that the bounds permit.
func (b FleetBounds) Raise(limit FleetRate) FleetRate {
	if limit.Rate <= 0 {
		return limit
	}
	factor := 1 + toleratedFraction*b.Over
	return FleetRate{Rate: limit.Rate * factor, Burst: limit.Burst*factor + toleratedFraction*b.Slack}
}

// Remaining returns the bounds of raised limits, which permit as much in a window as b does
// of the original ones.
func (b FleetBounds) Remaining() FleetBounds {
	over := (1+b.Over)/(1+toleratedFraction*b.Over) - 1
	return FleetBounds{Window: b.Window, Over: over, Slack: b.Slack * (1 - toleratedFraction*(1+over))}
}
