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
	// runs is the number of runs of each operation. The fastest one counts, since
	// other processes on a shared machine only slow a run down.
	runs = 10
	// minRunCPUTime is the minimum CPU time of a run. The CPU clock has a resolution of
	// one microsecond, and a garbage collection takes milliseconds.
	minRunCPUTime = 40 * time.Millisecond

	seed = 20261203
)

// benchmark describes the measurement of one series.
type benchmark struct {
	name, operation, sizeUnit, valueUnit string
	sizes                                []int
	run                                  func(t *testing.T, size int) Point
}

// measure measures all points of the series and fits the line through them.
func (b *benchmark) measure(t *testing.T) Series {
	s := Series{Name: b.name, Operation: b.operation, SizeUnit: b.sizeUnit, ValueUnit: b.valueUnit}
	for _, size := range b.sizes {
		point := b.run(t, size)
		point.Size = size
		s.Points = append(s.Points, point)
	}
	s.fit()
	return s
}

// Measure measures all series.
func Measure(t *testing.T) Measurements {
	m := Measurements{
		Command: "RADISHCRANK_MEASURE=1 go test -run TestMeasure -v ./internal/eval/rccapacity",
		Date:    time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(),
		Cores: runtime.NumCPU(), LoadAverage: loadAverage(), Runs: runs, Seed: seed,
	}
	for _, b := range benchmarks() {
		s := b.measure(t)
		t.Logf("%s: %.4g %s per %s + %.4g, R² %.3f", s.Name, s.Slope, s.ValueUnit, s.SizeUnit, s.Intercept, s.R2)
		m.Series = append(m.Series, s)
	}
	return m
}

func benchmarks() []benchmark {
	var all []benchmark
	for _, list := range [][]benchmark{routingBenchmarks(), limitBenchmarks(), servingBenchmarks(), recordBenchmarks(), stateBenchmarks(), wireBenchmarks(), memoryBenchmarks()} {
		all = append(all, list...)
	}
	return all
}

// loadAverage returns the load averages of the machine, or "unknown" on systems
// without /proc/loadavg.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// cpuTime returns the CPU time of this process. Unlike wall-clock time it excludes
// other processes and includes concurrent garbage collection.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// minCost returns the CPU time in µs and the allocations of one call of f in the
// fastest run. Each run makes enough calls to take minRunCPUTime.
func minCost(f func()) Point {
	f()
	n := 1
	for p := meanCost(n, f); p.Value*float64(n) < float64(minRunCPUTime.Microseconds()); p = meanCost(n, f) {
		n *= 2
	}
	point := Point{Value: math.Inf(1)}
	for range runs {
		if p := meanCost(n, f); p.Value < point.Value {
			point = p
		}
	}
	return point
}

// meanCost calls f n times and returns the mean CPU time and allocations of one call.
func meanCost(n int, f func()) Point {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range n {
		f()
	}
	elapsed := cpuTime() - start
	runtime.ReadMemStats(&after)
	return Point{
		Value:          float64(elapsed.Nanoseconds()) / 1e3 / float64(n),
		Allocations:    float64(after.Mallocs-before.Mallocs) / float64(n),
		AllocatedBytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}
}

// must aborts the measurement on an error, which would invalidate its figures.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
