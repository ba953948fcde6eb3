package rccapacity

import (
	"context"
	"runtime"
	"testing"

	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

func memoryProbes() []probe {
	accounts, engines := []int{375, 750, 1500, 3000}, []int{50, 125, 250, 500}
	return []probe{
		{"ConfigMemory", "heap of a parsed configuration document", "account", "B", accounts, configMemory},
		{"AccountMemory", "heap of a limiter and its table", "account in use", "B", accounts,
			func(t *testing.T, n int) Point { return heap(func() any { return limiterOf(t, n, nil) }) }},
		{"UpstreamMemory", "heap of the Upstreams table", "engine", "B", engines,
			func(_ *testing.T, n int) Point { return heap(func() any { return boardOf(n) }) }},
		{"ReportRead", "fetch one load report, CPU time of the stand-in included", "model of the engine", "µs",
			[]int{1, 2, 4, 8}, reportRead},
	}
}

// heap returns the bytes that the result of f keeps in use.
func heap(f func() any) Point {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return Point{Value: float64(after.HeapAlloc) - float64(before.HeapAlloc)}
}

func configMemory(t *testing.T, accounts int) Point {
	text := documentOf(accounts)
	return heap(func() any {
		doc, err := rcconfig.Parse(text)
		check(t, err)
		return doc
	})
}

func reportRead(t *testing.T, models int) Point {
	client := reportClient(t, models)
	return best(func() {
		_, err := client.Load(context.Background())
		check(t, err)
	})
}
