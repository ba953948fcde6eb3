package rccli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

const operatorKey = "operator-key"

// fakeConfigStore holds one committed document.
type fakeConfigStore struct {
	current rcops.ConfigRevision
}

func (f *fakeConfigStore) Show(_ context.Context, revision uint64) (rcops.ConfigRevision, error) {
	if revision != 0 && revision != f.current.Revision {
		return rcops.ConfigRevision{}, radishcrank.ErrNotFound
	}
	return f.current, nil
}

func (f *fakeConfigStore) Push(_ context.Context, req rcops.PushRequest) (rcops.ConfigRevision, error) {
	if req.Base != f.current.Revision {
		return rcops.ConfigRevision{}, &rcops.ConflictError{Newest: f.current.Revision, Diff: "~ [Defaults] MaxTokens"}
	}
	f.current = rcops.ConfigRevision{Revision: req.Base + 1, Author: req.Author, Note: req.Note, Text: req.Text}
	return f.current, nil
}

func (f *fakeConfigStore) History(context.Context, int) ([]rcops.ConfigRevision, error) {
	return []rcops.ConfigRevision{f.current}, nil
}

type fixture struct {
	url         string
	configStore *fakeConfigStore
	drainCalls  int
}

func newFixture(t *testing.T) *fixture {
	text := string((&rcconfig.Document{Defaults: rcconfig.DefaultSettings()}).Render())
	f := &fixture{configStore: &fakeConfigStore{current: rcops.ConfigRevision{Revision: 7, Text: text}}}
	server := httptest.NewServer(rcops.New(rcops.Config{
		Authorize: func(key string) bool { return key == operatorKey },
		Status: func() rcops.Status {
			return rcops.Status{Instance: "i-1", StartedAt: time.Now(), Ready: f.drainCalls == 0}
		},
		Dump: func() any { return struct{ Streams int }{3} },
		Explain: func(_ context.Context, req rcops.ExplainRequest) (rcops.Explanation, error) {
			return rcops.Explanation{PromptBlocks: len(req.Prompt), Candidates: []rcops.Candidate{{Upstream: "engine-9", Chosen: true}}}, nil
		},
		Drain:       func() { f.drainCalls++ },
		ConfigStore: f.configStore,
		Metrics:     &rcmetric.Set{},
		Log:         zerolog.Nop(),
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// run executes a command against the fixture's instance.
func (f *fixture) run(t *testing.T, key string, args ...string) (code int, stdout, stderr string) {
	t.Setenv("RADISHCRANK_URL", f.url)
	t.Setenv("RADISHCRANK_OPERATOR_KEY", key)
	var out, errOut bytes.Buffer
	code = Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeTempFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "config.ini")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// Guards against commands that report success without the instance's response.
func TestInstanceCommands(t *testing.T) {
	f := newFixture(t)
	code, out, _ := f.run(t, operatorKey, "status", "--json")
	require.Equal(t, ExitOK, code)
	var status rcops.Status
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	require.True(t, status.Ready)

	code, out, _ = f.run(t, operatorKey, "status")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "i-1")

	_, out, _ = f.run(t, operatorKey, "dump")
	require.Contains(t, out, `"Streams": 3`)

	prompt := writeTempFile(t, "12345")
	_, out, _ = f.run(t, operatorKey, "explain", "--account", "a", "--model", "m", prompt)
	require.Contains(t, out, "5 full blocks")
	require.Contains(t, out, "engine-9")

	code, _, _ = f.run(t, operatorKey, "drain")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 1, f.drainCalls)
}

// Guards against a listener for operators that serves requests without the operator key.
func TestWrongKey(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{{"status"}, {"dump"}, {"drain"}, {"config", "show"}, {"config", "history"}} {
		code, out, errOut := f.run(t, "wrong", args...)
		require.Equal(t, ExitError, code)
		require.Empty(t, out)
		require.Contains(t, errOut, rcops.ErrUnauthorized.Error())
	}
	require.Zero(t, f.drainCalls)
	resp, err := http.Get(f.url + rcops.PathMetrics)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}

// Guards against a push that commits an invalid document or overwrites the revision of
// another operator.
func TestConfigPush(t *testing.T) {
	f := newFixture(t)
	good := writeTempFile(t, "[Defaults]\nMaxTokens = 10\n")
	bad := writeTempFile(t, "[Defaults]\nMaxTokens = ten\n")

	code, out, _ := f.run(t, operatorKey, "config", "check", bad)
	require.Equal(t, ExitError, code)
	require.Contains(t, out, bad+":2:")
	code, _, _ = f.run(t, operatorKey, "config", "push", bad, "--note", "n")
	require.Equal(t, ExitError, code)
	require.EqualValues(t, 7, f.configStore.current.Revision)

	_, out, _ = f.run(t, operatorKey, "config", "diff", good)
	require.Contains(t, out, "MaxTokens = 10")

	code, _, errOut := f.run(t, operatorKey, "config", "push", good, "--base", "6", "--note", "n")
	require.Equal(t, ExitError, code)
	require.Contains(t, errOut, "--base 7")
	require.EqualValues(t, 7, f.configStore.current.Revision)

	code, _, _ = f.run(t, operatorKey, "config", "push", good, "--note", "shorter answers", "--author", "ana")
	require.Equal(t, ExitOK, code)
	_, out, _ = f.run(t, operatorKey, "config", "history")
	require.Contains(t, out, "shorter answers")
	_, out, _ = f.run(t, operatorKey, "config", "show")
	require.Contains(t, out, "MaxTokens = 10")
}

// Guards against ambiguous failures: a usage error must exit with 2, and an occupied
// port with 1 and one line of output.
func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	code, _, _ := f.run(t, operatorKey, "no-such-command")
	require.Equal(t, ExitUsage, code)
	occupied := f.url[len("http://"):]
	code, _, errOut := f.run(t, operatorKey, "demo", "--listen", occupied)
	require.Equal(t, ExitError, code)
	require.Equal(t, 1, bytes.Count([]byte(errOut), []byte("\n")), errOut)
	require.Contains(t, errOut, "address already in use")
}

// TestCheckTOML guards against a TOML file being checked as a document, and against a
// successful exit code for a file with errors.
func TestCheckTOML(t *testing.T) {
	f := newFixture(t)
	code, out, errOut := f.run(t, "", "config", "check", "../../../deploy/system.toml")
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, "deploy, no faults")

	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := "NodeName = \"e\"\nZone = \"z\"\nIp = \"10.1.0.1\"\nPortRange = [1,2]\nNew = 1\n" +
		"[Listen]\nFront = \"10.1.0.1:3\"\nReady = \"10.1.0.1:4\"\n[Provider]\nAddress = \"10.2.0.1:5\"\nRowBytes = 0\n"
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	code, out, errOut = f.run(t, "", "config", "check", settings)
	require.Equal(t, ExitError, code)
	require.Equal(t, settings+":11: Provider.RowBytes: expected a number above 0; used instead: 65536\n", out)
	require.Contains(t, errOut, "has 1 faults")

	code, _, errOut = f.run(t, "", "config", "check", "--kind", "settings", writeTempFile(t, "NodeName = "))
	require.Equal(t, ExitError, code)
	require.Contains(t, errOut, "line 1")
}
