package rctrace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// UpstreamActivityConfig selects the request and the time range to report.
type UpstreamActivityConfig struct {
	Request string
	// Margin extends the time range before the start of the request and after its last
	// log line.
	Margin time.Duration
}

// upstreamActivity holds the placements and failures on one upstream, and the lowest
// load values that the log lines report for it.
type upstreamActivity struct {
	placements, ownPlacements, failures int
	lowest                              map[string]float64 // By field name. Fields that no placement logged are absent.
}

// loadFields are the fields of "Placed" events whose minimum shows how much spare
// capacity an upstream had.
var loadFields = []string{"Running", "OthersRunning", "ReportedWaiting", "CostMS"}

// PrintUpstreamActivity writes the placements and failures that all instances logged
// for the upstreams of a request's service during the request. It shows whether
// another upstream had spare capacity, and whether the instance that handled the
// request used it.
func PrintUpstreamActivity(w io.Writer, cfg UpstreamActivityConfig, inputs ...io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "upstream activity during request %s", cfg.Request)
		}
	}()
	s := newSummary()
	var service, ownInstance string
	var from, to time.Time
	for _, in := range inputs {
		err := scanLines(in, func(l line) {
			s.add(SummaryConfig{}, l)
			if l.text("Request") != cfg.Request {
				return
			}
			if v := l.text("Service"); v != "" {
				service = v
			}
			ownInstance = l.instance
			startedAt := l.at.Add(-milliseconds(l, "AgeMS"))
			if from.IsZero() || startedAt.Before(from) {
				from = startedAt
			}
			if l.at.After(to) {
				to = l.at
			}
		})
		if err != nil {
			return err
		}
	}
	if service == "" {
		return trace.NotFound("no log line of the request names its service")
	}
	from, to = from.Add(-cfg.Margin), to.Add(cfg.Margin)
	inRange := func(l line) bool { return !l.at.Before(from) && !l.at.After(to) }

	isServiceUpstream := map[string]bool{}
	activities := map[string]*upstreamActivity{}
	activityOf := func(l line) *upstreamActivity {
		if activities[upstreamOf(l)] == nil {
			activities[upstreamOf(l)] = &upstreamActivity{lowest: map[string]float64{}}
		}
		return activities[upstreamOf(l)]
	}
	for _, l := range s.placements {
		if l.text("Service") != service {
			continue
		}
		isServiceUpstream[upstreamOf(l)] = true
		if !inRange(l) {
			continue
		}
		activity := activityOf(l)
		activity.placements++
		if l.instance == ownInstance {
			activity.ownPlacements++
		}
		for _, field := range loadFields {
			v, ok := l.fields[field].(float64)
			if lowest, known := activity.lowest[field]; ok && (!known || v < lowest) {
				activity.lowest[field] = v
			}
		}
	}
	for _, l := range s.failedAttempts {
		if isServiceUpstream[upstreamOf(l)] && inRange(l) {
			activityOf(l).failures++
		}
	}
	return s.printActivity(w, activities, service, ownInstance, from, to)
}

func (s *summary) printActivity(w io.Writer, activities map[string]*upstreamActivity, service, ownInstance string, from, to time.Time) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	const clockFormat = "15:04:05.000"
	fmt.Fprintf(tw, "\nupstreams of %s from %s to %s\tPlaced\tby %s\tFailed", service, from.Format(clockFormat), to.Format(clockFormat), ownInstance)
	for _, field := range loadFields {
		fmt.Fprintf(tw, "\tLeast %s", field)
	}
	fmt.Fprintln(tw)
	for _, id := range slices.Sorted(maps.Keys(activities)) {
		activity := activities[id]
		fmt.Fprintf(tw, "  %s in %s\t%d\t%d\t%d", id, s.zoneOf(id), activity.placements, activity.ownPlacements, activity.failures)
		for _, field := range loadFields {
			if v, ok := activity.lowest[field]; ok {
				fmt.Fprintf(tw, "\t%.0f", v)
			} else {
				fmt.Fprint(tw, "\t-")
			}
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

func milliseconds(l line, field string) time.Duration {
	n, _ := l.fields[field].(float64)
	return time.Duration(n * float64(time.Millisecond))
}
