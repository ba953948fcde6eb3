package rcreport

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/radishcrank/radishcrank/internal/cli/rcload"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// table is the data of the template "table".
type table struct {
	Head string
	View view
	Rows []row
}

// Table returns the data of a table with the columns of v. It is called by the page
// template.
func (v view) Table(head string, rows []row) table { return table{Head: head, View: v, Rows: rows} }

// series is one curve of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// chart describes a plot. Its series are drawn for each result.
type chart struct {
	title, x, y string
	percentiles bool // The x axis shows percentiles, scaled by their number of nines.
	series      func(rcload.Result) []series
}

var charts = []chart{
	{
		title: "Time to first token", x: "Percentile", y: "ms", percentiles: true,
		series: func(r rcload.Result) []series { return percentileSeries(r.TTFT) },
	},
	{
		title: "Time between tokens", x: "Percentile", y: "ms", percentiles: true,
		series: func(r rcload.Result) []series { return percentileSeries(r.BetweenTokens) },
	},
	{
		title: "Time to first token by intended second", x: "s", y: "ms",
		series: func(r rcload.Result) []series {
			return []series{
				timelineSeries("p50", r, func(s rcload.Second) float64 { return s.P50Ms }),
				timelineSeries("p99", r, func(s rcload.Second) float64 { return s.P99Ms }),
			}
		},
	},
	{
		title: "Generations by intended second", x: "s", y: "generations",
		series: func(r rcload.Result) []series {
			return []series{
				timelineSeries("sent", r, func(s rcload.Second) float64 { return float64(s.Sent) }),
				timelineSeries("not completed", r, func(s rcload.Second) float64 { return float64(s.NotCompleted) }),
			}
		},
	},
}

func drawCharts(results []NamedResult) (figures []figure, err error) {
	for _, c := range charts {
		svg, err := c.draw(results)
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure{Title: c.title, SVG: svg})
	}
	return figures, nil
}

func (c chart) draw(results []NamedResult) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = c.x, c.y
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, c.percentiles
	p.Add(plotter.NewGrid())
	if c.percentiles {
		p.X.Tick.Marker = ninesTicker{}
	}
	color := 0
	for _, r := range results {
		for _, s := range c.series(r.Result) {
			if err := addSeries(p, r, s, color, len(results) > 1); err != nil {
				return "", err
			}
			color++
		}
	}
	return render(p)
}

// addSeries adds a series of r to the plot. If named, the legend includes the name of r.
func addSeries(p *plot.Plot, r NamedResult, s series, color int, named bool) error {
	if len(s.points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(s.points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(color)
	p.Add(line)
	name := s.name
	if named {
		name = r.Name + " " + s.name
	}
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// render returns the plot as an SVG element without the XML declaration, for embedding
// in an HTML page.
func render(p *plot.Plot) (template.HTML, error) {
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := to.WriteTo(&b); err != nil {
		return "", err
	}
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("plot has no svg element")
	}
	// Package plot escapes the labels of axes and legends, so the SVG is safe HTML.
	return template.HTML(b.Bytes()[start:]), nil
}

// maxNines is the end of the percentile axis. Percentile 100 would be at infinity.
const maxNines = 4

// ninesCount returns the number of nines of a percentile, for instance 1 for 90 and 2 for
// 99, at most maxNines.
func ninesCount(percentile float64) float64 {
	return min(maxNines, -math.Log10(max(1-percentile/100, 1e-9)))
}

// ninesTicker places the ticks of a percentile axis.
type ninesTicker struct{}

// Ticks implements plot.Ticker.
func (ninesTicker) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		if x := ninesCount(percentile); x >= low && x <= high {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprint(percentile)})
		}
	}
	return ticks
}

func percentileSeries(l rcload.Latency) []series {
	var points plotter.XYs
	for _, p := range l.Curve {
		points = append(points, plotter.XY{X: ninesCount(p.Percentile), Y: p.Ms})
	}
	return []series{{points: points}}
}

func timelineSeries(name string, r rcload.Result, value func(rcload.Second) float64) series {
	s := series{name: name}
	for _, second := range r.Timeline {
		s.points = append(s.points, plotter.XY{X: float64(second.Second), Y: value(second)})
	}
	return s
}
