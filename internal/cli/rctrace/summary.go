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

// zoneBits is the length in bits of the network that an availability zone is
// taken to have when a log line names no zone of its upstream.
const zoneBits = 16

// callerGone is the outcome of what the caller ended, which is no failure.
const callerGone = "CallerGone"

// SummaryConfig bounds what a summary tells.
type SummaryConfig struct {
	// Top is the number of groups that each table shows.
	Top int
	// From and To bound the time of the lines; a zero time is no bound.
	From, To time.Time
}

// Summarize writes which requests and attempts failed, in groups by cause, pair
// of availability zones, upstream and second.
func Summarize(w io.Writer, cfg SummaryConfig, inputs ...io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "summary of logs")
		}
	}()
	s := newSummary()
	for _, in := range inputs {
		if err := scan(in, func(l line) { s.add(cfg, l) }); err != nil {
			return err
		}
	}
	if s.lines == 0 {
		return trace.NotFound("no log line of an instance in the time asked for")
	}
	return s.print(w, cfg.Top)
}

type summary struct {
	lines    int
	leftOut  int
	gone     struct{ requests, attempts int } // What callers ended.
	requests []line
	failures []line
	placed   []line

	zones         map[string]string       // Zones of instances.
	networks      map[netip.Prefix]string // Zones of the networks that instances are in.
	addrs         map[string]netip.Addr   // Addresses of upstreams.
	upstreamZones map[string]string       // Zones of upstreams that lines name.
}

func newSummary() *summary {
	return &summary{zones: map[string]string{}, networks: map[netip.Prefix]string{}, addrs: map[string]netip.Addr{}, upstreamZones: map[string]string{}}
}

func (s *summary) add(cfg SummaryConfig, l line) {
	if l.event == "Start" { // The zones hold beyond the time asked for.
		zone := l.text("Zone")
		s.zones[l.instance] = zone
		if a, err := netip.ParseAddrPort(l.text("Callers")); err == nil {
			s.networks[network(a.Addr())] = zone
		}
	}
	if zone := l.text("UpstreamZone"); zone != "" {
		s.upstreamZones[l.text("Upstream")] = zone
	}
	if l.event == "AttemptEnded" {
		if found := address.FindAllStringSubmatch(l.text("Cause"), -1); len(found) > 0 {
			if a, err := netip.ParseAddr(found[len(found)-1][1]); err == nil {
				s.addrs[l.text("Upstream")] = a
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
		s.leftOut += int(n)
	case l.event == "Placed":
		s.placed = append(s.placed, l)
	case l.event == "RequestEnded" && l.text("Outcome") == callerGone:
		s.gone.requests++
	case l.event == "RequestEnded":
		s.requests = append(s.requests, l)
	case l.event == "AttemptEnded" && l.text("Outcome") == callerGone:
		s.gone.attempts++
	case l.event == "AttemptEnded":
		s.failures = append(s.failures, l)
	}
}

func network(a netip.Addr) netip.Prefix {
	p, _ := a.Prefix(zoneBits) // An address that is not valid is in no network.
	return p
}

// zoneOf returns the zone of an upstream, or "?".
func (s *summary) zoneOf(upstream string) string {
	return cmp.Or(s.upstreamZones[upstream], s.networks[network(s.addrs[upstream])], "?")
}

// zonePair names the zones of the instance and of the upstream of a line.
func (s *summary) zonePair(l line) string {
	return cmp.Or(s.zones[l.instance], "?") + " -> " + s.zoneOf(upstream(l))
}

func instance(l line) string { return l.instance }

func upstream(l line) string { return l.text("Upstream") }

func (s *summary) print(w io.Writer, top int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d lines, %d requests and %d attempts failed", s.lines, len(s.requests), len(s.failures))
	if s.gone.requests+s.gone.attempts > 0 {
		fmt.Fprintf(tw, "; %d requests and %d attempts that callers ended are not counted", s.gone.requests, s.gone.attempts)
	}
	if s.leftOut > 0 {
		fmt.Fprintf(tw, "; %d lines were left out under load", s.leftOut)
	}
	fmt.Fprintln(tw)

	ended := func(l line) string { return fmt.Sprintf("%s %v: %s", l.text("Outcome"), l.fields["Status"], cause(l)) }
	from := func(l line) string { return cmp.Or(s.zones[l.instance], "?") }
	table(tw, "requests by outcome and cause", "Failed\tFirst\tLast\tExample", ended, s.requests, nil, top, func(g *group) string {
		return fmt.Sprintf("%d\t%s\t%s\t%s", len(g.failed), clock(g.failed[0]), clock(g.failed[len(g.failed)-1]), g.failed[0].text("Request"))
	})
	table(tw, "attempts by cause", "Failed\tInstances\tUpstreams\tFirst\tLast\tMost in a second\tExample", cause, s.failures, nil, top, func(g *group) string {
		return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s\t%s", len(g.failed), distinct(g.failed, instance), distinct(g.failed, upstream),
			clock(g.failed[0]), clock(g.failed[len(g.failed)-1]), peak(g.failed), g.failed[0].text("Request"))
	})
	attempts := func(title string, key func(line) string) {
		table(tw, title, "Failed\tPlaced\tShare\tInstance zones\tFirst\tLast\tMost in a second\tMost frequent cause\tExample", key, s.failures, s.placed, top, func(g *group) string {
			why, times := frequent(g.failed, cause)
			return fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d %s\t%s", len(g.failed), g.placed, g.percent(), distinct(g.failed, from), clock(g.failed[0]),
				clock(g.failed[len(g.failed)-1]), peak(g.failed), times, why, g.failed[0].text("Request"))
		})
	}
	attempts("attempts by availability zones, instance -> upstream", s.zonePair)
	attempts("attempts by upstream", func(l line) string { return fmt.Sprintf("%s in %s", upstream(l), s.zoneOf(upstream(l))) })
	table(tw, "attempts by second, availability zones and cause", "Failed\tInstances\tUpstreams\tExample",
		func(l line) string { return l.at.Format(time.TimeOnly) + " " + s.zonePair(l) + ": " + cause(l) },
		s.failures, nil, top, func(g *group) string {
			return fmt.Sprintf("%d\t%s\t%s\t%s", len(g.failed), distinct(g.failed, instance), distinct(g.failed, upstream), g.failed[0].text("Request"))
		})
	return tw.Flush()
}

// group holds failed lines with the same key, in the order of time.
type group struct {
	key    string
	failed []line
	placed int
}

// fewFailures is the number of failures up to which the share of a group says
// little. Such groups come last.
const fewFailures = 2

// share returns which part of the group's placements failed, as far as the lines
// tell. An upstream that is dead has few placements, since it is soon avoided, and
// is found by its share, not by the number of its failures.
func (g *group) share() float64 {
	if g.placed == 0 || len(g.failed) <= fewFailures {
		return 0
	}
	return min(1, float64(len(g.failed))/float64(g.placed))
}

func (g *group) percent() string {
	switch {
	case g.share() == 0:
		return "-"
	case len(g.failed) > g.placed: // Some were placed before the first line.
		return ">100%"
	}
	return fmt.Sprintf("%.0f%%", 100*g.share())
}

// table prints the groups of failed lines: by the share that failed where
// placements are given, and then by number.
func table(w io.Writer, title, columns string, key func(line) string, failed, placed []line, top int, row func(*group) string) {
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
		slices.SortStableFunc(g.failed, byTime)
		fmt.Fprintf(w, "  %s\t%s\n", g.key, row(g))
	}
	if rest := len(sorted) - top; rest > 0 {
		fmt.Fprintf(w, "  and %d more\n", rest)
	}
}

// frequent returns the most frequent value of a key, and how often it occurs.
func frequent(lines []line, key func(line) string) (value string, times int) {
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

// peak tells how many lines fall into the second that has most of them.
func peak(lines []line) string {
	second, n := frequent(lines, func(l line) string { return l.at.Format(time.TimeOnly) })
	return fmt.Sprintf("%d at %s", n, second)
}

// distinct returns the value of a key if all lines have the same, and otherwise
// the number of its values.
func distinct(lines []line, key func(line) string) string {
	values := map[string]bool{}
	for _, l := range lines {
		values[key(l)] = true
	}
	if len(values) == 1 {
		return key(lines[0])
	}
	return fmt.Sprint(len(values))
}

var address = regexp.MustCompile(`(\d+\.\d+\.\d+\.\d+):\d+`)

// cause returns the kind of a failure without the addresses, so that the same
// failures of different upstreams fall into one group.
func cause(l line) string {
	text := l.text("Cause")
	if text == "" {
		return fmt.Sprintf("answered %v", l.fields["Status"])
	}
	what := text[strings.LastIndex(text, ": ")+1:]
	what = address.ReplaceAllString(strings.TrimSpace(what), "ADDRESS")
	for _, stage := range []struct{ mark, name string }{
		{"was not sent", "not sent"}, {"read tcp", "read"}, {"write tcp", "write"},
	} {
		if strings.Contains(text, stage.mark) {
			return stage.name + ": " + what
		}
	}
	return what
}

func clock(l line) string { return l.at.Format("15:04:05.000") }
