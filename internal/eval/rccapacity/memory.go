package rccapacity

import (
	"context"
	"runtime"
	"testing"

	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

func memoryBenchmarks() []benchmark {
	accounts, engines := []int{375, 750, 1500, 3000}, []int{50, 125, 250, 500}
	return []benchmark{
		{"ConfigMemory", "heap of a parsed configuration document", "account", "B", accounts, measureConfigMemory},
		{"AccountMemory", "heap of a limiter and its table", "account in use", "B", accounts,
			func(t *testing.T, n int) Point { return measureHeap(func() any { return newLimiter(t, n, nil) }) }},
		{"UpstreamMemory", "heap of the Upstreams table", "engine", "B", engines,
			func(_ *testing.T, n int) Point { return measureHeap(func() any { return newBoard(n) }) }},
		{"ReportRead", "fetch one load report, CPU time of the stand-in included", "model of the engine", "µs",
			[]int{1, 2, 4, 8}, measureReportRead},
	}
}

// measureHeap returns the heap bytes that are reachable from the result of f.
func measureHeap(f func() any) Point {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return Point{Value: float64(after.HeapAlloc) - float64(before.HeapAlloc)}
}

func measureConfigMemory(t *testing.T, accounts int) Point {
	text := newDocument(accounts)
	return measureHeap(func() any {
		doc, err := rcconfig.Parse(text)
		must(t, err)
		return doc
	})
}

func measureReportRead(t *testing.T, models int) Point {
	client := newReportClient(t, models)
	return minCost(func() {
		_, err := client.Load(context.Background())
		must(t, err)
	})
}
