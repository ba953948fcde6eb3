package rccli

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/radishcrank/radishcrank/internal/cli/rcload"
	"github.com/radishcrank/radishcrank/internal/cli/rcreport"
)

type loadCommand struct {
	Addr     []string      `default:"127.0.0.1:8080" help:"Addresses of instances' listeners for callers, IP:PORT. Each request goes to a random one, as through a load balancer."`
	Key      []string      `env:"RADISHCRANK_KEYS" required:"" help:"Bearer keys, assigned to the accounts of the shape in order."`
	Model    string        `required:"" help:"Model to send requests to."`
	Shape    string        `default:"Riga" enum:"Riga,Sofia" help:"Traffic shape: Riga or Sofia."`
	Rate     float64       `default:"10" help:"Peak request rate, in requests per second."`
	For      time.Duration `default:"30s" help:"Duration of the run, for instance 2m."`
	Seed     uint64        `default:"1" help:"Seed of arrivals and prompts."`
	Calls    float64       `help:"Rate of service calls that must not be repeated, in calls per second."`
	CallPath string        `default:"/services/booking/releases" help:"Path of the service calls."`
	Out      string        `help:"File to write the result to as JSON, for the report command."`
	JSON     bool          `name:"json" help:"Print the result as JSON."`
}

// errIncomplete makes the command exit with 1 after a completed run in which the router
// truncated, reordered or corrupted streams.
var errIncomplete = errors.New("some streams were truncated, out of order or malformed")

// Run implements the load command.
func (c *loadCommand) Run(env *commandEnv) error {
	cfg := rcload.Config{
		Keys: c.Key, Model: c.Model, Shape: c.Shape, Rate: c.Rate, Duration: c.For, Seed: c.Seed,
		CallsPerSecond: c.Calls, CallPath: c.CallPath, Progress: env.err,
	}
	for _, text := range c.Addr {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("--addr: %w", err)
		}
		cfg.Addrs = append(cfg.Addrs, addr)
	}
	result, err := rcload.Run(env.ctx, cfg)
	if err != nil {
		return err
	}
	if err := c.write(env, result); err != nil {
		return err
	}
	for _, end := range result.Ends {
		switch end.End {
		case rcload.EndTruncated, rcload.EndOutOfOrder, rcload.EndMalformed:
			return errIncomplete
		}
	}
	return nil
}

func (c *loadCommand) write(env *commandEnv, result rcload.Result) error {
	if c.Out != "" {
		if err := writeFile(c.Out, result.Write); err != nil {
			return err
		}
	}
	if c.JSON {
		return result.Write(env.out)
	}
	printResult(env.out, result)
	return nil
}

func printResult(w io.Writer, r rcload.Result) {
	fmt.Fprintf(w, "%d of %d requests completed, hit rate %.3f\n", r.Completed, r.Sent, r.HitRate())
	row := func(name string, l rcload.Latency) {
		if l.Count > 0 {
			fmt.Fprintf(w, "%-16s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", name, l.P50Ms, l.P95Ms, l.P99Ms, l.MaxMs)
		}
	}
	row("first token", r.TTFT)
	row("between tokens", r.BetweenTokens)
	row("whole answer", r.Total)
	row("service calls", r.Calls)
	for _, end := range r.Ends {
		kind := "request"
		if end.Call {
			kind = "call"
		}
		fmt.Fprintf(w, "%-8s %-10s %-10s %d\n", kind, end.End, end.Outcome, end.Count)
	}
}

type reportCommand struct {
	Result string `arg:"" type:"existingfile" help:"Result file that the load command wrote."`
	Other  string `arg:"" optional:"" type:"existingfile" help:"Second result file to compare with the first."`
	Out    string `default:"report.html" help:"HTML file to write."`
}

// Run implements the report command.
func (c *reportCommand) Run(env *commandEnv) error {
	first, err := readResult(c.Result)
	if err != nil {
		return err
	}
	write := func(w io.Writer) error { return rcreport.Write(w, first) }
	if c.Other != "" {
		second, err := readResult(c.Other)
		if err != nil {
			return err
		}
		write = func(w io.Writer) error { return rcreport.WriteComparison(w, first, second) }
	}
	if err := writeFile(c.Out, write); err != nil {
		return err
	}
	fmt.Fprintln(env.out, c.Out)
	return nil
}

func readResult(name string) (rcreport.NamedResult, error) {
	f, err := os.Open(name)
	if err != nil {
		return rcreport.NamedResult{}, err
	}
	defer f.Close()
	result, err := rcload.ReadResult(f)
	if err != nil {
		return rcreport.NamedResult{}, fmt.Errorf("%s: %w", name, err)
	}
	return rcreport.NamedResult{Name: filepath.Base(name), Result: result}, nil
}

// writeFile creates a file and calls write with it. It also returns the error of Close,
// which may be the first to report a full disk.
func writeFile(name string, write func(io.Writer) error) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return write(f)
}
