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

// UpstreamActivityConfig says whose surroundings are asked for.
type UpstreamActivityConfig struct {
	Request string
	// Margin is added before the first and after the last line of the request.
	Margin time.Duration
}

// upstreamActivity is what the instances did with one upstream and wrote of its upstreamActivity.
type upstreamActivity struct {
	placed, own, failed int
	least               map[string]float64 // By field; fields that no line had are missing.
}

// loadFields are the fields of placements whose least value tells how much room an
// upstream had.
var loadFields = []string{"Running", "OthersRunning", "ReportedWaiting", "CostMS"}

// PrintUpstreamActivity writes what all instances did with the upstreams of a request's service
// while it lasted. It shows whether another upstream had room, and whether the
// request's instance used it.
func PrintUpstreamActivity(w io.Writer, cfg UpstreamActivityConfig, inputs ...io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "surroundings of request %s", cfg.Request)
		}
	}()
	s := newSummary()
	var service, self string
	var from, to time.Time
	for _, in := range inputs {
		err := scan(in, func(l line) {
			s.add(SummaryConfig{}, l)
			if l.text("Request") != cfg.Request {
				return
			}
			if v := l.text("Service"); v != "" {
				service = v
			}
			self = l.instance
			begun := l.at.Add(-milliseconds(l, "AgeMS"))
			if from.IsZero() || begun.Before(from) {
				from = begun
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
		return trace.NotFound("no log line names the request's service")
	}
	from, to = from.Add(-cfg.Margin), to.Add(cfg.Margin)
	within := func(l line) bool { return !l.at.Before(from) && !l.at.After(to) }

	serves := map[string]bool{}
	loads := map[string]*upstreamActivity{}
	at := func(l line) *upstreamActivity {
		if loads[upstream(l)] == nil {
			loads[upstream(l)] = &upstreamActivity{least: map[string]float64{}}
		}
		return loads[upstream(l)]
	}
	for _, l := range s.placed {
		if l.text("Service") != service {
			continue
		}
		serves[upstream(l)] = true
		if !within(l) {
			continue
		}
		u := at(l)
		u.placed++
		if l.instance == self {
			u.own++
		}
		for _, field := range loadFields {
			v, ok := l.fields[field].(float64)
			if least, seen := u.least[field]; ok && (!seen || v < least) {
				u.least[field] = v
			}
		}
	}
	for _, l := range s.failures {
		if serves[upstream(l)] && within(l) {
			at(l).failed++
		}
	}
	return s.printLoads(w, loads, service, self, from, to)
}

func (s *summary) printLoads(w io.Writer, loads map[string]*upstreamActivity, service, self string, from, to time.Time) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	const clockFormat = "15:04:05.000"
	fmt.Fprintf(tw, "\nupstreams of %s from %s to %s\tPlaced\tby %s\tFailed", service, from.Format(clockFormat), to.Format(clockFormat), self)
	for _, field := range loadFields {
		fmt.Fprintf(tw, "\tLeast %s", field)
	}
	fmt.Fprintln(tw)
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		u := loads[id]
		fmt.Fprintf(tw, "  %s in %s\t%d\t%d\t%d", id, s.zoneOf(id), u.placed, u.own, u.failed)
		for _, field := range loadFields {
			if v, ok := u.least[field]; ok {
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
