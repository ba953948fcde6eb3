package rccli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// maxNames bounds the instances that are named for one value.
const maxNames = 8

// names lists instances.
func names(list []string) string {
	if len(list) <= maxNames {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d others", strings.Join(list[:maxNames], ", "), len(list)-maxNames)
}

// comparison prints what instances do not agree on.
type comparison struct {
	w       io.Writer
	reports []*rcexplain.Report
	differ  bool
}

// compare compares one value of all reports.
func (c *comparison) compare(what string, of func(r *rcexplain.Report) string) {
	by := map[string][]string{}
	var values []string
	for _, r := range c.reports {
		v := of(r)
		if by[v] == nil {
			values = append(values, v)
		}
		by[v] = append(by[v], r.Instance)
	}
	if len(values) < 2 {
		return
	}
	c.differ = true
	for _, v := range values {
		fmt.Fprintf(c.w, "  %s: %s at %s\n", what, v, names(by[v]))
	}
}

// printDifferences prints what the instances do not agree on.
func printDifferences(w io.Writer, reports []*rcexplain.Report) {
	fmt.Fprintln(w, "Differences:")
	c := &comparison{w: w, reports: reports}
	c.compare("Outcome", func(r *rcexplain.Report) string { return r.Outcome })
	c.compare("Chosen", func(r *rcexplain.Report) string { return orNone(r.Upstream) })
	c.compare("Stream began at", func(r *rcexplain.Report) string {
		switch {
		case r.Resumes == nil:
			return "none taken up"
		case !r.Resumes.Known:
			return "unknown"
		}
		return r.Resumes.Service + ", software " + r.Resumes.Software
	})
	c.compare("Configuration", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.ConfigVersion) })
	c.compare("Instances", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.Instances) })
	c.compare("Store reachable", func(r *rcexplain.Report) string { return fmt.Sprint(r.Information.StoreReachable) })
	c.compareUpstreams()
	if !c.differ {
		fmt.Fprintln(w, "  none")
	}
}

// compareUpstreams compares whether upstreams are usable, and their software and weights.
func (c *comparison) compareUpstreams() {
	byInstance := make(map[*rcexplain.Report]map[string]*rcexplain.Upstream, len(c.reports))
	var ids []string
	for _, r := range c.reports {
		byID := make(map[string]*rcexplain.Upstream, len(r.Upstreams))
		for i := range r.Upstreams {
			byID[r.Upstreams[i].ID] = &r.Upstreams[i]
			ids = append(ids, r.Upstreams[i].ID)
		}
		byInstance[r] = byID
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		c.compare(id, func(r *rcexplain.Report) string {
			u := byInstance[r][id]
			switch {
			case u == nil:
				return "not known"
			case u.Obstacle != "":
				return u.Obstacle
			}
			return "usable"
		})
		// Instances that do not know the upstream have been named.
		known := &comparison{w: c.w}
		for _, r := range c.reports {
			if byInstance[r][id] != nil {
				known.reports = append(known.reports, r)
			}
		}
		known.compare(id+", software", func(r *rcexplain.Report) string { return orNone(byInstance[r][id].Software) })
		known.compare(id+", weights", func(r *rcexplain.Report) string { return orNone(byInstance[r][id].Weights) })
		c.differ = c.differ || known.differ
	}
}
