package rccli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// platformExplain holds the flags of explain on the users' platform.
type platformExplain struct {
	Platform  []string      `help:"URL of the listener for operators (Listen.Control) of an instance on the users' platform. With several, separated by commas, the differences are printed."`
	Route     string        `help:"Route, on the users' platform."`
	Service   string        `help:"Service of the route, on the users' platform. Default is the first."`
	Parts     string        `help:"Parts of the prompt as ID:TOKENS, separated by commas, in the order of the prompt; on the users' platform."`
	Remaining time.Duration `help:"Time until the caller's deadline, on the users' platform."`
	Priority  *int          `help:"Priority, on the users' platform; 0 is the most urgent. Default is that of the account or route."`
}

// Validate implements kong.Validatable.
func (c *explainCommand) Validate() error {
	switch {
	case len(c.Platform) > 0 && c.Route == "":
		return errors.New("--route is required with --platform")
	case len(c.Platform) > 0 && (c.Prompt != "" || c.Adapter != ""):
		return errors.New("--platform takes --parts and no prompt or adapter: an instance on the platform routes by the parts")
	case len(c.Platform) > 0:
		return nil
	case c.Account == "" || c.Model == "" || c.Prompt == "":
		return errors.New("--account, --model and a file with the prompt are required, or --platform and --route")
	}
	return nil
}

// answer is what one instance answered.
type answer struct {
	URL    string
	Report *rcexplain.Report `json:",omitempty"`
	Error  string            `json:",omitempty"`
}

// runOnPlatform asks all instances at the same time. It fails if one of them does not answer,
// after it has printed what the others answered.
func (c *explainCommand) runOnPlatform(env *commandEnv) error {
	parts, err := rcexplain.ParseParts(c.Parts)
	if err != nil {
		return fmt.Errorf("--parts: %w", err)
	}
	req := rcexplain.Request{
		Account: c.Account, Route: c.Route, Service: c.Service, Model: c.Model, Parts: parts, DeadlineMS: c.Remaining.Milliseconds(), Priority: c.Priority,
	}
	answers, errs := askAll(env.ctx, c.Platform, req)
	if c.JSON {
		if err := printJSON(env.out, answers); err != nil {
			return err
		}
		return errors.Join(errs...)
	}
	var reports []*rcexplain.Report
	for _, a := range answers {
		if a.Report != nil {
			reports = append(reports, a.Report)
			if err := printReport(env.out, a.Report); err != nil {
				return err
			}
		}
	}
	if len(reports) > 1 {
		printDifferences(env.out, reports)
	}
	return errors.Join(errs...)
}

func askAll(ctx context.Context, urls []string, req rcexplain.Request) (answers []answer, errs []error) {
	answers, errs = make([]answer, len(urls)), make([]error, len(urls))
	var wg sync.WaitGroup
	for n, url := range urls {
		wg.Go(func() {
			answers[n].URL = url
			r, err := rcexplain.Ask(ctx, url, req)
			if err != nil {
				answers[n].Error, errs[n] = err.Error(), err
				return
			}
			answers[n].Report = &r
		})
	}
	wg.Wait()
	return answers, errs
}

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
	fmt.Fprintf(w, "  Expected wait %.0f ms of at most %.0f ms; it may wait %d ms for an upstream to become usable.\n", r.ExpectedWaitMS, r.MaxWaitMS, r.QueueMS)
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
	return printUpstreams(w, r.Upstreams)
}

func printUpstreams(w io.Writer, upstreams []rcexplain.Upstream) error {
	sorted := slices.Clone(upstreams)
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
	fmt.Fprint(tw, "  Upstream\tZone\tCost\tRunning\tOthers\tReport\tWhy\n")
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
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%d\t%d\t%s\t%s\n", u.ID, u.Zone, cost, u.Running, u.OthersRunning, report, why)
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

// printDifferences prints what the instances do not agree on.
func printDifferences(w io.Writer, reports []*rcexplain.Report) {
	fmt.Fprintln(w, "Differences:")
	same := true
	compare := func(what string, of func(r *rcexplain.Report) string) {
		by := map[string][]string{}
		var values []string
		for _, r := range reports {
			v := of(r)
			if by[v] == nil {
				values = append(values, v)
			}
			by[v] = append(by[v], r.Instance)
		}
		if len(values) < 2 {
			return
		}
		same = false
		for _, v := range values {
			fmt.Fprintf(w, "  %s: %s at %s\n", what, v, strings.Join(by[v], ", "))
		}
	}
	compare("Outcome", func(r *rcexplain.Report) string { return r.Outcome })
	compare("Chosen", func(r *rcexplain.Report) string { return orNone(r.Upstream) })
	compare("Configuration", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.ConfigVersion) })
	compare("Instances", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.Instances) })
	compare("Store reachable", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.StoreReachable) })
	var ids []string
	for _, r := range reports {
		for _, u := range r.Upstreams {
			if !slices.Contains(ids, u.ID) {
				ids = append(ids, u.ID)
			}
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		compare(id, func(r *rcexplain.Report) string {
			n := slices.IndexFunc(r.Upstreams, func(u rcexplain.Upstream) bool { return u.ID == id })
			switch {
			case n < 0:
				return "not known"
			case r.Upstreams[n].Obstacle != "":
				return r.Upstreams[n].Obstacle
			}
			return "usable"
		})
	}
	if same {
		fmt.Fprintln(w, "  none")
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
