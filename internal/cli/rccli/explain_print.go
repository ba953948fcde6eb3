package rccli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// decision returns what would become of the request, on one line.
func decision(r *rcexplain.Report) string {
	switch r.Outcome {
	case rcexplain.Sent:
		return "sent to " + r.Upstream
	case rcexplain.Waits:
		return fmt.Sprintf("waits about %.0f ms: %s", r.ExpectedWaitMS, r.Why)
	case rcexplain.Detoured:
		return "sent through another instance: " + r.Why
	case rcexplain.RefusedFinally:
		return "rejected with 400: " + r.Why
	}
	text := "rejected with 503: " + r.Why
	if r.RetryAfterMS[1] > 0 {
		text += fmt.Sprintf(" (Retry-After between %.2f and %.2f s)", r.RetryAfterMS[0]/1000, r.RetryAfterMS[1]/1000)
	}
	return text
}

func printReport(w io.Writer, r *rcexplain.Report) error {
	fmt.Fprintf(w, "%s in zone %s: %s\n", r.Instance, r.Zone, decision(r))
	fmt.Fprintf(w, "  Route %s, service %s, model %s, account %s, priority %d.\n", r.Route, r.Service, orNone(r.Model), orNone(r.Account), r.Priority)
	if r.MaxWaitMS > 0 { // It is 0 if the request is rejected before a place is looked for.
		fmt.Fprintf(w, "  Expected wait %.0f ms of at most %.0f ms; it may wait %d ms for an upstream to become usable.\n", r.ExpectedWaitMS, r.MaxWaitMS, r.QueueMS)
	}
	if s := r.Resumes; s != nil {
		fmt.Fprintf(w, "  The caller takes up the stream of attempt %s after event %s. %s\n", orNone(s.Attempt), s.LastEvent, origin(s))
	}
	if r.AccountFraction < 1 {
		fmt.Fprintf(w, "  The rate limit of the account admits %.0f%% of such requests.\n", 100*r.AccountFraction)
	}
	if r.Deferred != "" {
		fmt.Fprintf(w, "  It would yield to other requests at the engine: %s.\n", r.Deferred)
	}
	if r.Convicted > 0 {
		fmt.Fprintf(w, "  The prompt holds %d combinations of parts that are known to crash upstreams.\n", r.Convicted)
	}
	if r.LinksCut {
		fmt.Fprintln(w, "  This instance reaches no upstream of the service.")
	}
	i := r.Information
	source := "the store, which it reads itself"
	if i.StoreReader != "" {
		source = "the store, through " + i.StoreReader
	}
	if !i.StoreReachable {
		source += " (out of reach now)"
	}
	fmt.Fprintf(w, "  Configuration %d from %s. %d of %d other instances do not answer.\n", i.ConfigVersion, source, i.NotReached, i.Instances-1)
	if i.Draining {
		fmt.Fprintln(w, "  This instance is about to stop.")
	}
	return printUpstreams(w, r)
}

// origin says where a stream may go on.
func origin(s *rcexplain.Resumes) string {
	if !s.Known {
		return "It goes on nowhere: " + s.Why + "."
	}
	return fmt.Sprintf("It began at service %s, software %s, and goes on only there, on any weights that are not outdated.", s.Service, s.Software)
}

// printUpstreams prints the upstreams, with their software and weights if a stream is taken up.
func printUpstreams(w io.Writer, r *rcexplain.Report) error {
	sorted := slices.Clone(r.Upstreams)
	slices.SortStableFunc(sorted, func(a, b rcexplain.Upstream) int {
		switch {
		case (a.Obstacle == "") != (b.Obstacle == ""):
			if a.Obstacle == "" {
				return -1
			}
			return 1
		case a.CostMS < b.CostMS:
			return -1
		case a.CostMS > b.CostMS:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	tw := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	versions := func(string, string) string { return "" }
	if r.Resumes != nil {
		versions = func(software, weights string) string { return software + "\t" + weights + "\t" }
	}
	fmt.Fprintf(tw, "  Upstream\tZone\t%sCost\tRunning\tOthers\tReport\tWhy\n", versions("Software", "Weights"))
	for _, u := range sorted {
		cost, why := fmt.Sprintf("%.0f ms", u.CostMS), terms(u)
		if u.Obstacle != "" {
			cost, why = "-", u.Obstacle
			if u.ObstacleMS > 0 {
				why += fmt.Sprintf(" for %d ms", u.ObstacleMS)
			}
		}
		if u.Chosen {
			why = "chosen: " + why
		}
		report := "none"
		if u.ReportAgeMS >= 0 {
			report = fmt.Sprintf("%d ms ago", u.ReportAgeMS)
		}
		fmt.Fprintf(tw, "  %s\t%s\t%s%s\t%d\t%d\t%s\t%s\n", u.ID, u.Zone, versions(orNone(u.Software), orNone(u.Weights)), cost, u.Running, u.OthersRunning, report, why)
	}
	return tw.Flush()
}

func terms(u rcexplain.Upstream) string {
	var parts []string
	for _, t := range u.Terms {
		parts = append(parts, fmt.Sprintf("%s %.0f", t.Name, t.MS))
	}
	if !u.Listed {
		parts = append(parts, "removal doubted")
	}
	return strings.Join(parts, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
