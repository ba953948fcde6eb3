// Package rccapacity measures how the cost of each role of an instance grows, using
// the production code, and generates docs/CAPACITY.md from the committed
// measurements.
//
// To repeat the measurements and update the page:
//
//	RADISHCRANK_MEASURE=1 go test -run TestMeasure -v ./internal/eval/rccapacity
//	go test -run TestPage ./internal/eval/rccapacity -update
package rccapacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
)

// Point is the measurement of one size of a series. Value is in the unit of the
// series; the allocations are per operation.
type Point struct {
	Size           int
	Value          float64
	Allocations    float64
	AllocatedBytes float64
}

// Series is the cost of one operation at several sizes, with the least-squares
// line through the points.
type Series struct {
	Name      string
	Operation string
	SizeUnit  string
	ValueUnit string // "µs" of CPU time, "B", or what a count counts.
	Points    []Point
	Slope     float64
	Intercept float64
	R2        float64
}

// Measurements is the content of measurements.json.
type Measurements struct {
	Command     string
	Date        string
	Go          string
	Cores       int
	LoadAverage string // At the start, over 1, 5 and 15 minutes.
	Runs        int    // Runs of each operation, of which the fastest counts.
	Seed        uint64
	Series      []Series
}

//go:embed measurements.json
var committed []byte

// Committed returns the committed measurements.
func Committed() (m Measurements, err error) {
	if err := json.Unmarshal(committed, &m); err != nil {
		return m, fmt.Errorf("measurements.json: %w", err)
	}
	return m, nil
}

// series returns the series with the given name. It panics if there is none, since
// the names are constants of this package.
func (m *Measurements) series(name string) *Series {
	i := slices.IndexFunc(m.Series, func(s Series) bool { return s.Name == name })
	if i < 0 {
		panic(fmt.Sprintf("rccapacity: no series %s", name))
	}
	return &m.Series[i]
}

// at returns the value of the fitted line at a size, but at least the value of the
// smallest measured size, since no cost decreases with the size. The line of a cost
// that grows faster than linearly is too low near zero.
func (s *Series) at(size float64) float64 {
	return max(s.Points[0].Value, s.Intercept+s.Slope*size)
}

// last returns the point of the largest measured size.
func (s *Series) last() Point { return s.Points[len(s.Points)-1] }

// fit sets Slope, Intercept and R2 of the least-squares line. R2 is 1 if all values
// are equal.
func (s *Series) fit() {
	n, sumX, sumY := float64(len(s.Points)), 0.0, 0.0
	for _, p := range s.Points {
		sumX += float64(p.Size)
		sumY += p.Value
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range s.Points {
		dx, dy := float64(p.Size)-meanX, p.Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	s.Slope = xy / xx
	s.Intercept = meanY - s.Slope*meanX
	s.R2 = 1
	if yy > 0 {
		s.R2 = xy * xy / (xx * yy)
	}
}
