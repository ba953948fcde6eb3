package rccapacity

import (
	"math"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// runs of each operation are made, and the best counts: other processes of a
	// shared machine only make a run slower.
	runs = 10
	// runTime is the least CPU time of a run. The clock of CPU time has a
	// resolution of a microsecond, and a collection of garbage takes milliseconds.
	runTime = 40 * time.Millisecond

	seed = 20261203
)

// probe measures one series.
type probe struct {
	name, operation, sizeUnit, valueUnit string
	sizes                                []int
	run                                  func(t *testing.T, size int) Point
}

// measure makes all points of a probe and the line through them.
func (p *probe) measure(t *testing.T) Series {
	s := Series{Name: p.name, Operation: p.operation, SizeUnit: p.sizeUnit, ValueUnit: p.valueUnit}
	for _, size := range p.sizes {
		point := p.run(t, size)
		point.Size = size
		s.Points = append(s.Points, point)
	}
	s.fit()
	return s
}

// Measure makes all series.
func Measure(t *testing.T) Measurements {
	m := Measurements{
		Command: "RADISHCRANK_MEASURE=1 go test -run TestMeasure -v ./internal/eval/rccapacity",
		Date:    time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(),
		Cores: runtime.NumCPU(), LoadAverage: loadAverage(), Runs: runs, Seed: seed,
	}
	for _, p := range probes() {
		s := p.measure(t)
		t.Logf("%s: %.4g %s per %s + %.4g, R² %.3f", s.Name, s.Slope, s.ValueUnit, s.SizeUnit, s.Intercept, s.R2)
		m.Series = append(m.Series, s)
	}
	return m
}

func probes() []probe {
	var all []probe
	for _, list := range [][]probe{routingProbes(), limitProbes(), servingProbes(), recordProbes(), stateProbes(), wireProbes(), memoryProbes()} {
		all = append(all, list...)
	}
	return all
}

// loadAverage returns the machine's load, or "unknown" where it is not told.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// cpuTime returns the CPU time of this process. Unlike the wall clock it leaves
// out the time that other processes take, and it counts garbage collection.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// best returns the CPU time in µs and the allocations of one call of f, of
// which each run makes as many as take runTime.
func best(f func()) Point {
	f()
	n := 1
	for p := batch(n, f); p.Value*float64(n) < float64(runTime.Microseconds()); p = batch(n, f) {
		n *= 2
	}
	point := Point{Value: math.Inf(1)}
	for range runs {
		if p := batch(n, f); p.Value < point.Value {
			point = p
		}
	}
	return point
}

// batch calls f n times and returns the mean cost of one call.
func batch(n int, f func()) Point {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range n {
		f()
	}
	spent := cpuTime() - start
	runtime.ReadMemStats(&after)
	return Point{
		Value:          float64(spent.Nanoseconds()) / 1e3 / float64(n),
		Allocations:    float64(after.Mallocs-before.Mallocs) / float64(n),
		AllocatedBytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}
}

// check ends the measurement on an error of a set-up, which would make its figures void.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
