package rctrace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// zonePrefixBits is the assumed prefix length of an availability zone's network. It
// infers the zone of an upstream from its address if no log line names the zone.
const zonePrefixBits = 16

// callerGone is the outcome of requests and attempts that the caller cancelled. They
// are not counted as failures.
const callerGone = "CallerGone"

// SummaryConfig limits the contents of a summary.
type SummaryConfig struct {
	// Top is the maximum number of groups in each table.
	Top int
	// From and To limit the lines by their timestamps. The zero time means no limit.
	From, To time.Time
}

// Summarize writes tables of failed requests and attempts, grouped by cause, pair of
// availability zones, upstream and second.
func Summarize(w io.Writer, cfg SummaryConfig, inputs ...io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "summarizing logs")
		}
	}()
	s := newSummary()
	for _, in := range inputs {
		if err := scanLines(in, func(l line) { s.add(cfg, l) }); err != nil {
			return err
		}
	}
	if s.lines == 0 {
		return trace.NotFound("no log line of an instance in the requested time range")
	}
	return s.print(w, cfg.Top)
}

type summary struct {
	lines          int
	droppedLines   int
	cancelled      struct{ requests, attempts int } // Ended by their callers.
	failedRequests []line
	failedAttempts []line
	placements     []line

	instanceZones map[string]string       // Zones by instance.
	networkZones  map[netip.Prefix]string // Zones by network, from the addresses of instances.
	upstreamAddrs map[string]netip.Addr   // Addresses by upstream, parsed from failure causes.
	upstreamZones map[string]string       // Zones by upstream, as logged by instances.
}

func newSummary() *summary {
	return &summary{instanceZones: map[string]string{}, networkZones: map[netip.Prefix]string{}, upstreamAddrs: map[string]netip.Addr{}, upstreamZones: map[string]string{}}
}

func (s *summary) add(cfg SummaryConfig, l line) {
	if l.event == "Start" { // Recorded regardless of the time range, because zones do not change.
		zone := l.text("Zone")
		s.instanceZones[l.instance] = zone
		if a, err := netip.ParseAddrPort(l.text("Callers")); err == nil {
			s.networkZones[zoneNetwork(a.Addr())] = zone
		}
	}
	if zone := l.text("UpstreamZone"); zone != "" {
		s.upstreamZones[l.text("Upstream")] = zone
	}
	if l.event == "AttemptEnded" {
		if matches := addressPattern.FindAllStringSubmatch(l.text("Cause"), -1); len(matches) > 0 {
			if a, err := netip.ParseAddr(matches[len(matches)-1][1]); err == nil {
				s.upstreamAddrs[l.text("Upstream")] = a
			}
		}
	}
	if !cfg.From.IsZero() && l.at.Before(cfg.From) || !cfg.To.IsZero() && l.at.After(cfg.To) {
		return
	}
	s.lines++
	switch {
	case l.event == "LinesLeftOut":
		n, _ := l.fields["Lines"].(float64)
		s.droppedLines += int(n)
	case l.event == "Placed":
		s.placements = append(s.placements, l)
	case l.event == "RequestEnded" && l.text("Outcome") == callerGone:
		s.cancelled.requests++
	case l.event == "RequestEnded":
		s.failedRequests = append(s.failedRequests, l)
	case l.event == "AttemptEnded" && l.text("Outcome") == callerGone:
		s.cancelled.attempts++
	case l.event == "AttemptEnded":
		s.failedAttempts = append(s.failedAttempts, l)
	}
}

func zoneNetwork(a netip.Addr) netip.Prefix {
	p, _ := a.Prefix(zonePrefixBits) // The zero Prefix for an invalid address.
	return p
}

// zoneOf returns the zone of an upstream, or "?" if it is unknown.
func (s *summary) zoneOf(upstream string) string {
	return cmp.Or(s.upstreamZones[upstream], s.networkZones[zoneNetwork(s.upstreamAddrs[upstream])], "?")
}

// zonePair returns the zones of a line's instance and upstream as "from -> to".
func (s *summary) zonePair(l line) string {
	return cmp.Or(s.instanceZones[l.instance], "?") + " -> " + s.zoneOf(upstreamOf(l))
}

func instanceOf(l line) string { return l.instance }

func upstreamOf(l line) string { return l.text("Upstream") }

func (s *summary) print(w io.Writer, top int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d lines, %d requests and %d attempts failed", s.lines, len(s.failedRequests), len(s.failedAttempts))
	if s.cancelled.requests+s.cancelled.attempts > 0 {
		fmt.Fprintf(tw, "; %d requests and %d attempts that callers ended are not counted", s.cancelled.requests, s.cancelled.attempts)
	}
	if s.droppedLines > 0 {
		fmt.Fprintf(tw, "; %d lines were left out under load", s.droppedLines)
	}
	fmt.Fprintln(tw)

	outcomeAndCause := func(l line) string {
		return fmt.Sprintf("%s %v: %s", l.text("Outcome"), l.fields["Status"], normalizedCause(l))
	}
	instanceZone := func(l line) string { return cmp.Or(s.instanceZones[l.instance], "?") }
	printGroups(tw, "requests by outcome and cause", "Failed\tFirst\tLast\tExample", outcomeAndCause, s.failedRequests, nil, top, func(g *group) string {
		return fmt.Sprintf("%d\t%s\t%s\t%s", len(g.failed), formatClock(g.failed[0]), formatClock(g.failed[len(g.failed)-1]), g.failed[0].text("Request"))
	})
	printGroups(tw, "attempts by cause", "Failed\tInstances\tUpstreams\tFirst\tLast\tMost in a second\tExample", normalizedCause, s.failedAttempts, nil, top, func(g *group) string {
		return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s", len(g.failed), valueOrCount(g.failed, instanceOf), valueOrCount(g.failed, upstreamOf),
			formatClock(g.failed[0]), formatClock(g.failed[len(g.failed)-1]), peakSecond(g.failed), g.failed[0].text("Request"))
	})
	printAttempts := func(title string, key func(line) string) {
		printGroups(tw, title, "Failed\tPlaced\tShare\tInstance zones\tFirst\tLast\tMost in a second\tMost frequent cause\tExample", key, s.failedAttempts, s.placements, top, func(g *group) string {
			cause, count := mostFrequent(g.failed, normalizedCause)
			return fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d %s\t%s", len(g.failed), g.placed, g.formatShare(), valueOrCount(g.failed, instanceZone), formatClock(g.failed[0]),
				formatClock(g.failed[len(g.failed)-1]), peakSecond(g.failed), count, cause, g.failed[0].text("Request"))
		})
	}
	printAttempts("attempts by availability zones, instance -> upstream", s.zonePair)
	printAttempts("attempts by upstream", func(l line) string { return fmt.Sprintf("%s in %s", upstreamOf(l), s.zoneOf(upstreamOf(l))) })
	printGroups(tw, "attempts by second, availability zones and cause", "Failed\tInstances\tUpstreams\tExample",
		func(l line) string {
			return l.at.Format(time.TimeOnly) + " " + s.zonePair(l) + ": " + normalizedCause(l)
		},
		s.failedAttempts, nil, top, func(g *group) string {
			return fmt.Sprintf("%d\t%s\t%s\t%s", len(g.failed), valueOrCount(g.failed, instanceOf), valueOrCount(g.failed, upstreamOf), g.failed[0].text("Request"))
		})
	return tw.Flush()
}

// group holds the failures with the same key, ordered by time.
type group struct {
	key    string
	failed []line
	placed int
}

// maxInsignificantFailures is the number of failures up to which a group's failure
// share is not meaningful. Such groups are listed last.
const maxInsignificantFailures = 2

// share returns the fraction of the group's logged placements that failed, or 0 if it
// is unknown or not meaningful. Groups are ranked by it because a dead upstream is
// soon avoided: it has few placements and few failures, but a high share of them.
func (g *group) share() float64 {
	if g.placed == 0 || len(g.failed) <= maxInsignificantFailures {
		return 0
	}
	return min(1, float64(len(g.failed))/float64(g.placed))
}

func (g *group) formatShare() string {
	switch {
	case g.share() == 0:
		return "-"
	case len(g.failed) > g.placed: // Some were placed before the first line of the logs.
		return ">100%"
	}
	return fmt.Sprintf("%.0f%%", 100*g.share())
}

// printGroups prints a table of the failed lines grouped by key. Groups are sorted by
// the share of placements that failed, if placed is given, and then by the number of
// failures.
func printGroups(w io.Writer, title, columns string, key func(line) string, failed, placed []line, top int, row func(*group) string) {
	groups := map[string]*group{}
	for _, l := range failed {
		k := key(l)
		if groups[k] == nil {
			groups[k] = &group{key: k}
		}
		groups[k].failed = append(groups[k].failed, l)
	}
	for _, l := range placed {
		if g := groups[key(l)]; g != nil {
			g.placed++
		}
	}
	sorted := slices.SortedFunc(maps.Values(groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), len(b.failed)-len(a.failed), strings.Compare(a.key, b.key))
	})
	if len(sorted) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\t%s\n", title, columns)
	for _, g := range sorted[:min(top, len(sorted))] {
		slices.SortStableFunc(g.failed, compareTime)
		fmt.Fprintf(w, "  %s\t%s\n", g.key, row(g))
	}
	if rest := len(sorted) - top; rest > 0 {
		fmt.Fprintf(w, "  and %d more\n", rest)
	}
}

// mostFrequent returns the most frequent value of a key and its number of occurrences.
func mostFrequent(lines []line, key func(line) string) (value string, times int) {
	counts := map[string]int{}
	for _, l := range lines {
		counts[key(l)]++
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		if counts[k] > times {
			value, times = k, counts[k]
		}
	}
	return value, times
}

// peakSecond returns the second with the most lines, and their number.
func peakSecond(lines []line) string {
	second, n := mostFrequent(lines, func(l line) string { return l.at.Format(time.TimeOnly) })
	return fmt.Sprintf("%d at %s", n, second)
}

// valueOrCount returns the value of a key if it is the same in all lines, and otherwise
// the number of distinct values.
func valueOrCount(lines []line, key func(line) string) string {
	values := map[string]bool{}
	for _, l := range lines {
		values[key(l)] = true
	}
	if len(values) == 1 {
		return key(lines[0])
	}
	return fmt.Sprint(len(values))
}

var addressPattern = regexp.MustCompile(`(\d+\.\d+\.\d+\.\d+):\d+`)

// normalizedCause returns the last part of an error with addresses replaced by a
// placeholder, so that the same failure of different upstreams forms one group. It
// is prefixed with the stage of the request if the error names one.
func normalizedCause(l line) string {
	text := l.text("Cause")
	if text == "" {
		return fmt.Sprintf("answered %v", l.fields["Status"])
	}
	cause := text[strings.LastIndex(text, ": ")+1:]
	cause = addressPattern.ReplaceAllString(strings.TrimSpace(cause), "ADDRESS")
	for _, stage := range []struct{ substring, name string }{
		{"was not sent", "not sent"}, {"read tcp", "read"}, {"write tcp", "write"},
	} {
		if strings.Contains(text, stage.substring) {
			return stage.name + ": " + cause
		}
	}
	return cause
}

func formatClock(l line) string { return l.at.Format("15:04:05.000") }
