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

// table is what the template "table" shows.
type table struct {
	Head string
	View view
	Rows []row
}

// Table is used by the template.
func (v view) Table(head string, rows []row) table { return table{Head: head, View: v, Rows: rows} }

// line is one curve of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// chart describes a plot. Its curves are drawn for each source.
type chart struct {
	title, x, y string
	percentiles bool // The x axis has percentiles at equal steps of nines.
	lines       func(rcload.Result) []line
}

var charts = []chart{
	{
		title: "Time to first token", x: "Percentile", y: "ms", percentiles: true,
		lines: func(r rcload.Result) []line { return curve(r.TTFT) },
	},
	{
		title: "Time between tokens", x: "Percentile", y: "ms", percentiles: true,
		lines: func(r rcload.Result) []line { return curve(r.BetweenTokens) },
	},
	{
		title: "Time to first token by intended second", x: "s", y: "ms",
		lines: func(r rcload.Result) []line {
			return []line{
				timeline("p50", r, func(s rcload.Second) float64 { return s.P50Ms }),
				timeline("p99", r, func(s rcload.Second) float64 { return s.P99Ms }),
			}
		},
	},
	{
		title: "Generations by intended second", x: "s", y: "generations",
		lines: func(r rcload.Result) []line {
			return []line{
				timeline("sent", r, func(s rcload.Second) float64 { return float64(s.Sent) }),
				timeline("not completed", r, func(s rcload.Second) float64 { return float64(s.NotCompleted) }),
			}
		},
	},
}

func plots(sources []NamedResult) (figures []figure, err error) {
	for _, c := range charts {
		svg, err := c.draw(sources)
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure{Title: c.title, SVG: svg})
	}
	return figures, nil
}

func (c chart) draw(sources []NamedResult) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = c.x, c.y
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, c.percentiles
	p.Add(plotter.NewGrid())
	if c.percentiles {
		p.X.Tick.Marker = nines{}
	}
	color := 0
	for _, s := range sources {
		for _, l := range c.lines(s.Result) {
			if err := addLine(p, s, l, color, len(sources) > 1); err != nil {
				return "", err
			}
			color++
		}
	}
	return render(p)
}

func addLine(p *plot.Plot, s NamedResult, l line, color int, named bool) error {
	if len(l.points) == 0 {
		return nil
	}
	drawn, err := plotter.NewLine(l.points)
	if err != nil {
		return err
	}
	drawn.Color = plotutil.Color(color)
	p.Add(drawn)
	name := l.name
	if named {
		name = s.Name + " " + l.name
	}
	if name != "" {
		p.Legend.Add(name, drawn)
	}
	return nil
}

// render returns the plot as an element that can stand inside a page, without
// the XML declaration.
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
	// The plotter escapes the texts of axes and legends.
	return template.HTML(b.Bytes()[start:]), nil
}

// maxNines bounds the percentile axis, which has no place for 100.
const maxNines = 4

// nine maps a percentile to the number of its nines: 90 to 1, 99 to 2.
func nine(percentile float64) float64 {
	return min(maxNines, -math.Log10(max(1-percentile/100, 1e-9)))
}

// nines marks the percentile axis.
type nines struct{}

// Ticks implements plot.Ticker.
func (nines) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for _, percentile := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		if x := nine(percentile); x >= low && x <= high {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprint(percentile)})
		}
	}
	return ticks
}

func curve(l rcload.Latency) []line {
	var points plotter.XYs
	for _, p := range l.Curve {
		points = append(points, plotter.XY{X: nine(p.Percentile), Y: p.Ms})
	}
	return []line{{points: points}}
}

func timeline(name string, r rcload.Result, value func(rcload.Second) float64) line {
	l := line{name: name}
	for _, s := range r.Timeline {
		l.points = append(l.points, plotter.XY{X: float64(s.Second), Y: value(s)})
	}
	return l
}
