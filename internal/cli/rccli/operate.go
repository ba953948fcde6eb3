package rccli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
)

// target says which instance a command talks to.
type target struct {
	URL  string `name:"url" env:"RADISHCRANK_URL" default:"http://127.0.0.1:8081" help:"Operators' listener of an instance, for instance http://10.0.0.7:8081."`
	Key  string `env:"RADISHCRANK_OPERATOR_KEY" help:"Operator key. Prefer the environment variable, which other users of the machine can't see."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (t *target) client() *rcops.Client {
	return rcops.NewClient(rcops.ClientConfig{URL: t.URL, Key: t.Key})
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type statusCommand struct {
	target
}

// Run implements the status command.
func (c *statusCommand) Run(s *streams) error {
	status, err := c.client().Status(s.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, status)
	}
	return printStatus(s.out, status)
}

func printStatus(w io.Writer, status rcops.Status) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(tw, "%s\t%v\n", name, value) }
	row("Instance", status.Instance)
	row("Zone", status.Zone)
	row("Up", time.Since(status.StartedAt).Round(time.Second))
	row("Ready", status.Ready)
	row("Draining", status.Draining)
	row("Warm", status.Warm)
	row("ConfigRevision", status.ConfigRevision)
	row("ConfigAge", status.ConfigAge.Round(time.Second))
	if status.ConfigProblem != "" {
		row("ConfigProblem", status.ConfigProblem)
	}
	row("Instances", status.Instances)
	row("Engines", status.Engines)
	row("Services", status.Services)
	row("Streams", status.Streams)
	row("OpenRecords", status.OpenRecords)
	return tw.Flush()
}

type dumpCommand struct {
	target
}

// Run implements the dump command.
func (c *dumpCommand) Run(s *streams) error {
	dump, err := c.client().Dump(s.ctx)
	if err != nil {
		return err
	}
	return printJSON(s.out, dump)
}

type drainCommand struct {
	target
}

// Run implements the drain command.
func (c *drainCommand) Run(s *streams) error {
	status, err := c.client().Drain(s.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, status)
	}
	return printStatus(s.out, status)
}

type explainCommand struct {
	target
	Account string `required:"" help:"Client account."`
	Model   string `required:"" help:"Model."`
	Adapter string `help:"Adapter."`
	Prompt  string `arg:"" type:"existingfile" help:"File with the prompt's text, or - for standard input."`
}

// Run implements the explain command.
func (c *explainCommand) Run(s *streams) error {
	prompt, err := readInput(c.Prompt)
	if err != nil {
		return err
	}
	explanation, err := c.client().Explain(s.ctx, rcops.ExplainRequest{
		Account: radishcrank.ClientAccountID(c.Account),
		Model:   radishcrank.ModelID(c.Model),
		Adapter: c.Adapter,
		Prompt:  string(prompt),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, explanation)
	}
	return printExplanation(s.out, explanation)
}

func printExplanation(w io.Writer, e rcops.Explanation) error {
	fmt.Fprintf(w, "The prompt has %d full blocks.\n", e.PromptBlocks)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "Upstream\tChosen\tCachedBlocks\tPredictedTTFT\tScore\tTerms\n")
	for _, c := range e.Candidates {
		fmt.Fprintf(tw, "%s\t%v\t%d\t%v\t%v\t", c.Upstream, c.Chosen, c.CachedBlocks, c.PredictedTTFT, c.Score)
		for _, t := range c.Terms {
			fmt.Fprintf(tw, "%s=%v ", t.Name, t.Value)
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
