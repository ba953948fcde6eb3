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

// target holds the flags that select an instance and the output format.
type target struct {
	URL  string `name:"url" env:"RADISHCRANK_URL" default:"http://127.0.0.1:8081" help:"URL of an instance's listener for operators, for instance http://10.0.0.7:8081."`
	Key  string `env:"RADISHCRANK_OPERATOR_KEY" help:"Operator key. Prefer the environment variable, because other users of the machine can see command lines."`
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
func (c *statusCommand) Run(env *commandEnv) error {
	status, err := c.client().Status(env.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, status)
	}
	return printStatus(env.out, status)
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
func (c *dumpCommand) Run(env *commandEnv) error {
	dump, err := c.client().Dump(env.ctx)
	if err != nil {
		return err
	}
	return printJSON(env.out, dump)
}

type drainCommand struct {
	target
}

// Run implements the drain command.
func (c *drainCommand) Run(env *commandEnv) error {
	status, err := c.client().Drain(env.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, status)
	}
	return printStatus(env.out, status)
}

type explainCommand struct {
	target
	Account string `help:"Client account."`
	Model   string `help:"Model. On the users' platform, none for plain services."`
	Adapter string `help:"Adapter."`
	Prompt  string `arg:"" optional:"" type:"existingfile" help:"File with the prompt's text, or - for standard input. Not on the users' platform."`
	platformExplain
}

// Run implements the explain command.
func (c *explainCommand) Run(env *commandEnv) error {
	if len(c.Platform) > 0 {
		return c.runOnPlatform(env)
	}
	prompt, err := readInput(c.Prompt)
	if err != nil {
		return err
	}
	explanation, err := c.client().Explain(env.ctx, rcops.ExplainRequest{
		Account: radishcrank.ClientAccountID(c.Account),
		Model:   radishcrank.ModelID(c.Model),
		Adapter: c.Adapter,
		Prompt:  string(prompt),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, explanation)
	}
	return printExplanation(env.out, explanation)
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
