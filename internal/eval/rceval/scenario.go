package rceval

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Fault is a disturbance in the middle of a scenario.
type Fault string

// Faults of a scenario.
const (
	FaultNone        Fault = ""
	FaultHotSetShift Fault = "HotSetShift"
	FaultEngineCrash Fault = "EngineCrash"
	FaultRestartAll  Fault = "RestartAll"
)

// Scenario is one row of the evaluation: a deployment under a given load and
// fault.
type Scenario struct {
	Name       string
	Deployment Deployment
	LoadLevel  float64 // Arrival rate divided by the capacity.
	Fault      Fault
	Duration   time.Duration
	WarmUp     time.Duration // Requests that arrive during the warm-up are not measured.
	Seed       uint64
}

// Values of Scenario.LoadLevel.
const (
	levelCalm = 0.4
	levelHigh = 0.9
	levelOver = 1.3
)

// Scenarios returns the rows of the design page for a deployment. Faults occur
// in calm load.
func Scenarios(d Deployment, duration time.Duration, seed uint64) []Scenario {
	base := Scenario{Deployment: d, LoadLevel: levelCalm, Duration: duration, WarmUp: duration / 4, Seed: seed}
	row := func(name string, level float64, fault Fault) Scenario {
		s := base
		s.Name, s.LoadLevel, s.Fault = d.Name+" "+name, level, fault
		return s
	}
	return []Scenario{
		row("calm", levelCalm, FaultNone),
		row("90%", levelHigh, FaultNone),
		row("130%", levelOver, FaultNone),
		row("hot-set shift", levelCalm, FaultHotSetShift),
		row("engine crash", levelCalm, FaultEngineCrash),
		row("restart of all instances", levelCalm, FaultRestartAll),
	}
}

func (s Scenario) faultAt() time.Duration { return s.Duration / 2 }

// Trace generates the scenario's trace.
func (s Scenario) Trace(c Capacity) *Trace {
	cfg := TraceConfig{Rate: s.LoadLevel * c.RequestsPerSecond, Duration: s.Duration, Seed: s.Seed}
	if s.Fault == FaultHotSetShift {
		cfg.HotSetShiftAt = s.faultAt()
	}
	return NewTrace(s.Deployment, cfg)
}

// Outcome holds the metrics of one run.
type Outcome struct {
	Result
	AfterFault      Result // Requests that arrive after the fault.
	BeforeFault     Result // Requests of the last faultWindowSeconds before the fault.
	RightAfterFault Result // Requests of the first faultWindowSeconds after the fault.
}

func (f *fleet) outcome() Outcome {
	s := f.scenario
	result := func(from, to time.Duration) Result { return f.stats.result(f.policy.Name, from, to) }
	o := Outcome{Result: result(s.WarmUp, s.Duration)}
	o.EvictionsPerSecond = float64(f.stats.evictions) / s.Duration.Seconds() / float64(len(f.engines))
	at := s.faultAt()
	o.AfterFault = result(at, s.Duration)
	o.BeforeFault = result(at-faultWindowSeconds*time.Second, at)
	o.RightAfterFault = result(at, at+faultWindowSeconds*time.Second)
	return o
}

// IdealOutcome returns the metrics of an unlimited cache without queues on a
// trace, as a bound for comparison.
func (s Scenario) IdealOutcome(t *Trace) Outcome {
	return Outcome{
		Result:     idealResult(s.Deployment, t, s.WarmUp, s.Duration),
		AfterFault: idealResult(s.Deployment, t, s.faultAt(), s.Duration),
	}
}

// WriteTable writes a table with one row for each outcome of a scenario.
func WriteTable(w io.Writer, s Scenario, c Capacity, rows []Outcome) error {
	fmt.Fprintf(w, "%s: %.1f requests/s at the peak, %.0f%% of the capacity of %.1f requests/s at hit rate %.3f; %d requests of %.0f prompt tokens, %v after %v of warm-up, seed %d\n",
		s.Name, s.LoadLevel*c.RequestsPerSecond, 100*s.LoadLevel, c.RequestsPerSecond, c.HitRate,
		rows[0].Requests, c.MeanPrompt, s.Duration-s.WarmUp, s.WarmUp, s.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\thit rate\tp50 ms\tp95 ms\tp99 ms\twasted ktokens\trefused\texpired\tfailed\tfairness\tevictions/s\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t\n",
			r.Policy, r.HitRate, r.P50.Milliseconds(), r.P95.Milliseconds(), r.P99.Milliseconds(),
			r.WastedTokens/1000, r.Refused, r.Expired, r.Failed, r.Fairness, r.EvictionsPerSecond)
	}
	return t.Flush()
}
