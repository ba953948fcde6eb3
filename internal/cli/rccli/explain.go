package rccli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// maxAsked bounds the instances that are asked at the same time. A report has up to some MB.
const maxAsked = 32

// platformExplain holds the flags of explain on the users' platform.
type platformExplain struct {
	Platform  []string      `help:"URL of the listener for operators (Listen.Control) of an instance on the users' platform. With several, separated by commas, the differences are printed."`
	Zone      string        `help:"Ask all instances of a zone of the users' platform, as an instance at --platform knows them, and print their decisions and differences."`
	Route     string        `help:"Route, on the users' platform."`
	Service   string        `help:"Service of the route, on the users' platform. Default is the first."`
	Parts     string        `help:"Parts of the prompt as ID:TOKENS, separated by commas, in the order of the prompt; on the users' platform."`
	Remaining time.Duration `help:"Time until the caller's deadline, on the users' platform."`
	Priority  *int          `help:"Priority, on the users' platform; 0 is the most urgent. Default is that of the account or route."`
	LastEvent string        `help:"Last-Event-Id of a caller that takes up a stream, on the users' platform."`
	Resumes   string        `help:"Attempt that brought the first event of that stream, as in the caller's Resumes header."`
}

// Validate implements kong.Validatable.
func (c *explainCommand) Validate() error {
	if len(c.Platform) > 0 {
		return c.validateOnPlatform()
	}
	switch {
	case c.Zone != "":
		return errors.New("--zone needs --platform with the URL of an instance that knows the others")
	case c.LastEvent != "" || c.Resumes != "":
		return errors.New("--last-event and --resumes are for --platform")
	case c.Account == "" || c.Model == "" || c.Prompt == "":
		return errors.New("--account, --model and a file with the prompt are required, or --platform and --route")
	}
	return nil
}

func (c *explainCommand) validateOnPlatform() error {
	switch {
	case c.Route == "":
		return errors.New("--route is required with --platform")
	case c.Prompt != "" || c.Adapter != "":
		return errors.New("--platform takes --parts and no prompt or adapter: an instance on the platform routes by the parts")
	case c.Resumes != "" && c.LastEvent == "":
		return errors.New("--resumes needs --last-event")
	case c.Remaining < 0:
		return errors.New("--remaining must not be negative")
	case c.Priority != nil && *c.Priority < 0:
		return errors.New("--priority must not be negative")
	}
	for _, text := range c.Platform {
		if u, err := url.Parse(text); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("--platform: %q is no URL such as http://10.0.0.7:8081", text)
		}
	}
	if _, err := rcexplain.ParseParts(c.Parts); err != nil {
		return fmt.Errorf("--parts: %w", err)
	}
	return nil
}

// answer is what one instance answered.
type answer struct {
	URL      string            `json:",omitempty"`
	Instance string            `json:",omitempty"` // As another instance knows it, if a zone is asked.
	Report   *rcexplain.Report `json:",omitempty"`
	Error    string            `json:",omitempty"`
	err      error
}

// runOnPlatform asks all instances at the same time. It fails if one of them does not answer,
// after it has printed what the others answered.
func (c *explainCommand) runOnPlatform(env *commandEnv) error {
	parts, err := rcexplain.ParseParts(c.Parts)
	if err != nil {
		return fmt.Errorf("--parts: %w", err)
	}
	answers := make([]answer, len(c.Platform))
	for i, url := range c.Platform {
		answers[i].URL = url
	}
	if c.Zone != "" {
		if answers, err = instancesOf(env.ctx, c.Platform, c.Zone); err != nil {
			return err
		}
	}
	askAll(env.ctx, answers, rcexplain.Request{
		Account: c.Account, Route: c.Route, Service: c.Service, Model: c.Model, Parts: parts, DeadlineMS: c.Remaining.Milliseconds(), Priority: c.Priority,
		LastEvent: c.LastEvent, Resumes: c.Resumes,
	})
	if c.JSON {
		if err := printJSON(env.out, answers); err != nil {
			return err
		}
		return failures(answers)
	}
	var reports []*rcexplain.Report
	for _, a := range answers {
		if a.Report == nil {
			continue
		}
		reports = append(reports, a.Report)
		if c.Zone != "" {
			fmt.Fprintf(env.out, "%s: %s\n", a.Report.Instance, decision(a.Report))
		} else if err := printReport(env.out, a.Report); err != nil {
			return err
		}
	}
	if len(reports) > 1 {
		printDifferences(env.out, reports)
	}
	return failures(answers)
}

// instancesOf returns an answer to fill in for each instance of a zone, as the first of the
// instances at the URLs that answers knows them.
func instancesOf(ctx context.Context, urls []string, zone string) (answers []answer, err error) {
	var failed []answer
	for _, url := range urls {
		list, err := rcexplain.Instances(ctx, url)
		if err != nil {
			failed = append(failed, answer{URL: url, err: err})
			continue
		}
		var zones []string
		for _, i := range list {
			zones = append(zones, i.Zone)
			if i.Zone == zone {
				answers = append(answers, answer{Instance: i.Name, URL: i.URL})
			}
		}
		if len(answers) == 0 {
			slices.Sort(zones)
			return nil, fmt.Errorf("--zone: no instance is registered in %q; the zones are %s", zone, strings.Join(slices.Compact(zones), ", "))
		}
		return answers, nil
	}
	return nil, failures(failed)
}

// errNoListener means that an instance cannot be asked.
var errNoListener = errors.New("it has no listener for operators in its settings, could not open it, or is of an earlier version")

// askAll fills the answers in.
func askAll(ctx context.Context, answers []answer, req rcexplain.Request) {
	var wg sync.WaitGroup
	asked := make(chan struct{}, maxAsked)
	for i := range answers {
		wg.Go(func() {
			asked <- struct{}{}
			defer func() { <-asked }()
			answers[i].ask(ctx, req)
		})
	}
	wg.Wait()
}

func (a *answer) ask(ctx context.Context, req rcexplain.Request) {
	if a.URL == "" {
		a.err = fmt.Errorf("instance %s: %w", a.Instance, errNoListener)
	} else if r, err := rcexplain.Ask(ctx, a.URL, req); err != nil {
		a.err = err
	} else {
		a.Report = &r
	}
	if a.err != nil {
		a.Error = a.err.Error()
	}
}

// failures returns the errors of all answers. Those that several instances give alike, such as
// that an account does not exist, are one error.
func failures(answers []answer) error {
	by := map[string][]string{}
	var causes, texts []string
	for _, a := range answers {
		if a.err == nil {
			continue
		}
		cause := a.err.Error()
		if inner := errors.Unwrap(a.err); inner != nil {
			cause = inner.Error()
		}
		if by[cause] == nil {
			causes = append(causes, cause)
		}
		who := a.URL
		if a.Instance != "" {
			who = strings.TrimSpace(a.Instance + " " + a.URL)
		}
		by[cause] = append(by[cause], who)
	}
	for _, cause := range causes {
		where := "instance at " + by[cause][0]
		if n := len(by[cause]); n > 1 {
			where = fmt.Sprintf("%d instances (%s)", n, names(by[cause]))
		}
		texts = append(texts, where+": "+cause)
	}
	if len(texts) == 0 {
		return nil
	}
	return errors.New(strings.Join(texts, "; "))
}
