package rccli

import (
	"errors"
	"fmt"
	"io"
	"os/user"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rctoml"
	"github.com/radishcrank/radishcrank/platform"
)

type configCommand struct {
	Check   checkCommand   `cmd:"" help:"Check a configuration document, a settings file of the users' platform or deploy/system.toml without an instance. Exits with 1 if it has errors."`
	Diff    diffCommand    `cmd:"" help:"Print the differences between a document and the one in force, or another document."`
	Push    pushCommand    `cmd:"" help:"Commit a document. It takes effect on every reachable instance within 5 s."`
	Show    showCommand    `cmd:"" help:"Print the document in force or an earlier revision."`
	History historyCommand `cmd:"" help:"List the committed revisions, newest first."`
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"File, or - for standard input."`
	Kind string `enum:"auto,document,settings,deploy" default:"auto" help:"Kind of the file: document, settings or deploy. By default, a TOML file with roles is a deploy file, any other TOML file is a settings file, and any other file is a document."`
	JSON bool   `name:"json" help:"Print the errors as JSON."`
}

// fileKind returns the kind that the user gave, or one derived from the file's name and
// contents.
func (c *checkCommand) fileKind(text string) string {
	switch {
	case c.Kind != "auto":
		return c.Kind
	case filepath.Ext(c.File) != ".toml":
		return "document"
	case strings.Contains(text, "[roles"):
		return "deploy"
	}
	return "settings"
}

// checkTOML prints the errors in a settings or deploy file.
func (c *checkCommand) checkTOML(env *commandEnv, kind, text string) error {
	var diagnostics []rctoml.Diagnostic
	var err error
	if kind == "deploy" {
		diagnostics, err = platform.CheckDeploy(text)
	} else {
		_, diagnostics, err = platform.CheckSettings(text)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	switch {
	case c.JSON:
		if err := printJSON(env.out, append([]rctoml.Diagnostic{}, diagnostics...)); err != nil {
			return err
		}
	case len(diagnostics) == 0:
		fmt.Fprintf(env.out, "%s: %s, no faults\n", c.File, kind)
	default:
		for _, d := range diagnostics {
			fmt.Fprintf(env.out, "%s:%d: %s\n", c.File, d.Line, d)
		}
	}
	if len(diagnostics) > 0 {
		return fmt.Errorf("%s has %d faults", c.File, len(diagnostics))
	}
	return nil
}

// Run implements the config check command.
func (c *checkCommand) Run(env *commandEnv) error {
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	if kind := c.fileKind(string(text)); kind != "document" {
		return c.checkTOML(env, kind, string(text))
	}
	doc, err := rcconfig.Parse(text)
	if err == nil {
		if c.JSON {
			return printJSON(env.out, rcconfig.Errors{})
		}
		fmt.Fprintf(env.out, "%s: %d accounts, %d services, %d models, %d exceptions, no faults\n",
			c.File, len(doc.Accounts), len(doc.Services), len(doc.Models), len(doc.Exceptions))
		return nil
	}
	var diagnostics rcconfig.Errors
	if !errors.As(err, &diagnostics) {
		return err
	}
	if c.JSON {
		if err := printJSON(env.out, diagnostics); err != nil {
			return err
		}
	} else {
		for _, d := range diagnostics {
			fmt.Fprintf(env.out, "%s:%d: %s\n", c.File, d.Line, d.Message)
		}
	}
	return fmt.Errorf("%s has %d faults", c.File, len(diagnostics))
}

type diffCommand struct {
	target
	File  string `arg:"" type:"existingfile" help:"Document, or - for standard input."`
	Other string `arg:"" optional:"" type:"existingfile" help:"Document to compare with, instead of the one in force."`
}

// Run implements the config diff command.
func (c *diffCommand) Run(env *commandEnv) error {
	newText, err := readInput(c.File)
	if err != nil {
		return err
	}
	oldText, err := c.oldText(env)
	if err != nil {
		return err
	}
	next, err := rcconfig.Parse(newText)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	old, err := rcconfig.Parse(oldText)
	if err != nil {
		return err
	}
	changes := rcconfig.Diff(old, next)
	if c.JSON {
		return printJSON(env.out, changes)
	}
	for _, change := range changes {
		fmt.Fprintln(env.out, change)
	}
	return nil
}

// oldText returns the document to compare with.
func (c *diffCommand) oldText(env *commandEnv) ([]byte, error) {
	if c.Other != "" {
		return readInput(c.Other)
	}
	current, err := c.client().Show(env.ctx, 0)
	if err != nil {
		return nil, err
	}
	return []byte(current.Text), nil
}

type pushCommand struct {
	target
	File   string `arg:"" type:"existingfile" help:"Document, or - for standard input."`
	Base   uint64 `help:"Revision that the document is based on; by default, the one in force. The push is refused if a newer revision has been committed."`
	Note   string `required:"" help:"Description of the change and its reason, for the history."`
	Author string `help:"Author's name for the history; by default, the login name."`
}

// Run implements the config push command.
func (c *pushCommand) Run(env *commandEnv) error {
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := rcconfig.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Base == 0 {
		current, err := c.client().Show(env.ctx, 0)
		if err != nil {
			return err
		}
		c.Base = current.Revision
	}
	committed, err := c.client().Push(env.ctx, rcops.PushRequest{
		Base: c.Base, Author: c.author(), Note: c.Note, Text: string(text),
	})
	var conflict *rcops.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintln(env.err, conflict.Diff)
		return fmt.Errorf("not committed: %w; merge these changes and push with --base %d", conflict, conflict.Newest)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, committed)
	}
	fmt.Fprintf(env.out, "revision %d committed\n", committed.Revision)
	return nil
}

func (c *pushCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type showCommand struct {
	target
	Revision uint64 `help:"Revision to print; 0 is the one in force."`
}

// Run implements the config show command.
func (c *showCommand) Run(env *commandEnv) error {
	revision, err := c.client().Show(env.ctx, c.Revision)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, revision)
	}
	_, err = io.WriteString(env.out, revision.Text)
	return err
}

type historyCommand struct {
	target
	Limit int `default:"20" help:"Maximum number of revisions to list."`
}

// Run implements the config history command.
func (c *historyCommand) Run(env *commandEnv) error {
	list, err := c.client().History(env.ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, list)
	}
	tw := tabwriter.NewWriter(env.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "Revision\tCommittedAt\tAuthor\tNote\n")
	for _, r := range list {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\n", r.Revision, r.CommittedAt.Format(time.RFC3339), r.Author, r.Note)
	}
	return tw.Flush()
}
