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
	Check   checkCommand   `cmd:"" help:"Check a configuration document, a settings file of the users' platform or deploy/system.toml without an instance. Exits with 1 if it has faults."`
	Diff    diffCommand    `cmd:"" help:"Print what changes between a document and the one in force, or another document."`
	Push    pushCommand    `cmd:"" help:"Commit a document, which is then in force on every reachable instance within 5 s."`
	Show    showCommand    `cmd:"" help:"Print the document in force or an earlier revision."`
	History historyCommand `cmd:"" help:"List the committed revisions, newest first."`
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"File, or - for standard input."`
	Kind string `enum:"auto,document,settings,deploy" default:"auto" help:"What the file is: document, settings or deploy. By default a TOML file with roles is a deploy file, another TOML file holds settings, and all else is a document."`
	JSON bool   `name:"json" help:"Print the faults as JSON."`
}

// kind returns what the file is.
func (c *checkCommand) kind(text string) string {
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

// checkTOML prints the faults of a settings file or a deploy file.
func (c *checkCommand) checkTOML(s *streams, kind, text string) error {
	var faults []rctoml.Diagnostic
	var err error
	if kind == "deploy" {
		faults, err = platform.CheckDeploy(text)
	} else {
		_, faults, err = platform.CheckSettings(text)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	switch {
	case c.JSON:
		if err := printJSON(s.out, append([]rctoml.Diagnostic{}, faults...)); err != nil {
			return err
		}
	case len(faults) == 0:
		fmt.Fprintf(s.out, "%s: %s, no faults\n", c.File, kind)
	default:
		for _, f := range faults {
			fmt.Fprintf(s.out, "%s:%d: %s\n", c.File, f.Line, f)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%s has %d faults", c.File, len(faults))
	}
	return nil
}

// Run implements config check.
func (c *checkCommand) Run(s *streams) error {
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	if kind := c.kind(string(text)); kind != "document" {
		return c.checkTOML(s, kind, string(text))
	}
	doc, err := rcconfig.Parse(text)
	if err == nil {
		if c.JSON {
			return printJSON(s.out, rcconfig.Errors{})
		}
		fmt.Fprintf(s.out, "%s: %d accounts, %d services, %d models, %d exceptions, no faults\n",
			c.File, len(doc.Accounts), len(doc.Services), len(doc.Models), len(doc.Exceptions))
		return nil
	}
	var faults rcconfig.Errors
	if !errors.As(err, &faults) {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, faults); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintf(s.out, "%s:%d: %s\n", c.File, f.Line, f.Message)
		}
	}
	return fmt.Errorf("%s has %d faults", c.File, len(faults))
}

type diffCommand struct {
	target
	File  string `arg:"" type:"existingfile" help:"Document, or - for standard input."`
	Other string `arg:"" optional:"" type:"existingfile" help:"Document to compare with instead of the one in force."`
}

// Run implements config diff.
func (c *diffCommand) Run(s *streams) error {
	newText, err := readInput(c.File)
	if err != nil {
		return err
	}
	oldText, err := c.oldText(s)
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
		return printJSON(s.out, changes)
	}
	for _, change := range changes {
		fmt.Fprintln(s.out, change)
	}
	return nil
}

func (c *diffCommand) oldText(s *streams) ([]byte, error) {
	if c.Other != "" {
		return readInput(c.Other)
	}
	shown, err := c.client().Show(s.ctx, 0)
	if err != nil {
		return nil, err
	}
	return []byte(shown.Text), nil
}

type pushCommand struct {
	target
	File   string `arg:"" type:"existingfile" help:"Document, or - for standard input."`
	Base   uint64 `help:"Revision that the document was made from; the one in force by default. The push is refused if another operator committed since."`
	Note   string `required:"" help:"What changes and why, for the history."`
	Author string `help:"Name for the history; the login name by default."`
}

// Run implements config push.
func (c *pushCommand) Run(s *streams) error {
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := rcconfig.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Base == 0 {
		shown, err := c.client().Show(s.ctx, 0)
		if err != nil {
			return err
		}
		c.Base = shown.Revision
	}
	committed, err := c.client().Push(s.ctx, rcops.PushRequest{
		Base: c.Base, Author: c.author(), Note: c.Note, Text: string(text),
	})
	var conflict *rcops.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintln(s.err, conflict.Diff)
		return fmt.Errorf("not committed: %w; merge these changes and push with --base %d", conflict, conflict.Newest)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, committed)
	}
	fmt.Fprintf(s.out, "revision %d committed\n", committed.Revision)
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

// Run implements config show.
func (c *showCommand) Run(s *streams) error {
	shown, err := c.client().Show(s.ctx, c.Revision)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, shown)
	}
	_, err = io.WriteString(s.out, shown.Text)
	return err
}

type historyCommand struct {
	target
	Limit int `default:"20" help:"Most revisions to list."`
}

// Run implements config history.
func (c *historyCommand) Run(s *streams) error {
	list, err := c.client().History(s.ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, list)
	}
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "Revision\tCommittedAt\tAuthor\tNote\n")
	for _, r := range list {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\n", r.Revision, r.CommittedAt.Format(time.RFC3339), r.Author, r.Note)
	}
	return tw.Flush()
}
