package rcconfig

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

var update = flag.Bool("update", false, "write generated pages")

var keyHash = HashKey("secret-bearer-key")

// Guards against a setting in the table without a field in Settings, and a field
// without an entry in the table.
func TestTableCoversSettings(t *testing.T) {
	fields := reflect.VisibleFields(reflect.TypeFor[Settings]())
	require.Len(t, settingTable, len(fields))
	for i, f := range fields {
		require.Equal(t, f.Name, settingTable[i].Name)
		require.NotEmpty(t, settingTable[i].Doc)
	}
	require.Equal(t, 2000, DefaultSettings().BlockTokens)
	require.EqualValues(t, 8<<20, DefaultSettings().MaxBodyBytes)
	require.Equal(t, 72*time.Hour, DefaultSettings().RecordRetention)
}

// Guards against a reference page that differs from the settings table.
func TestSettingsPage(t *testing.T) {
	const file = "../../../docs/operators/settings.md"
	if *update {
		require.NoError(t, os.WriteFile(file, SettingsPage(), 0o644))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(SettingsPage()), string(page), "run: go test ./internal/state/rcconfig -run TestSettingsPage -update")
}

// Guards against errors that are not detected, that are reported without their line,
// or that suppress later ones.
func TestParseReportsEveryError(t *testing.T) {
	text := `Stray = 1
[Defaults]
BlockTokens = 0
FirstTokenDeadline = 5
ProgressTimeout = 0
MaxBodyBytes = 1000
MaxTokens = 10 # comment
Unknown = 1
QueueLength = 10
QueueLength = 10
RecomputeWeight = NaN
no delimiter
[Exception.NoReason]
Account = a
Concurrency = 5
[Exception.Nothing]
Account = a
Reason = equal to the default
QueueLength = 10
[Exception.Empty]
Reason = no scope and no setting
[Exception.Scope]
Zone = z
Account = a
Reason = two scopes and a setting of another scope
MaxTokens = 5
[Exception.Target]
Account = missing
Reason = names an unknown account
Concurrency = 7
[Exception.Again]
Account = a
Reason = same target and setting as the first
Concurrency = 6
[Account.a]
KeyHashes = secret-bearer-key
Leaving = yes
Weight = 0
[Account.a]
KeyHashes = ` + keyHash + `
[Account.]
[Service.s]
NonRepeatable = POST releases, post /a, POST /a/../b
[Model.m]
[Other]
[Defaults.x]
[broken
Reason = in a broken section
`
	_, err := Parse([]byte(text))
	var list Errors
	require.ErrorAs(t, err, &list)
	var lines []int
	for _, e := range list {
		lines = append(lines, e.Line)
	}
	require.Equal(t, []int{1, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13, 19, 20, 20, 24, 26, 28, 34, 36, 37, 38, 39, 41, 43, 43, 43, 44, 45, 46, 47}, lines, err)
	require.NotContains(t, err.Error(), "secret-bearer-key")
	require.Contains(t, err.Error(), "line 10: QueueLength repeats line 9")
	require.Contains(t, err.Error(), "line 34: Concurrency of Account \"a\" is already overridden by exception NoReason in line 13")
}

// Guards against values that are valid alone but violate a constraint between
// settings.
func TestParseChecksConstraintsBetweenSettings(t *testing.T) {
	_, err := Parse([]byte("[Defaults]\nLeaseMargin = 5s\n"))
	require.ErrorContains(t, err, "LeaseMargin")
}

// Guards against a wrong precedence of exceptions, which would give an account the
// limits of another one.
func TestSettingsPrecedence(t *testing.T) {
	doc, err := Parse([]byte(`[Account.big-1]
KeyHashes = ` + keyHash + `
[Model.m]
Weights = w
[Exception.Zone]
Zone = z
Reason = r
ProgressTimeout = 1s
[Exception.Upstream]
Upstream = e-*
Reason = r
ProgressTimeout = 2s
[Exception.OneUpstream]
Upstream = e-1
Reason = r
ProgressTimeout = 3s
[Exception.Model]
Model = m
Reason = r
ProgressTimeout = 4s
[Exception.Default]
Account = big-*
Reason = Restores the default against the other exceptions.
ProgressTimeout = 5s
`))
	require.NoError(t, err)
	scope := Scope{}
	for _, step := range []struct {
		add  func()
		want time.Duration
	}{
		{func() {}, 5 * time.Second},
		{func() { scope.Zone = "z" }, time.Second},
		{func() { scope.Upstream = "e-2" }, 2 * time.Second},
		{func() { scope.Upstream = "e-1" }, 3 * time.Second},
		{func() { scope.Model = "m" }, 4 * time.Second},
		{func() { scope.Account = "big-1" }, 5 * time.Second},
	} {
		step.add()
		require.Equal(t, step.want, doc.EffectiveSettings(scope).ProgressTimeout, "%+v", scope)
	}
	require.Equal(t, DefaultSettings(), doc.AccountSettings("other"))
}

// Guards against a rendered document with a different meaning, and a diff that misses
// a change or reports one that does not exist.
func TestRenderAndDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Document{Defaults: DefaultSettings()}
		a.Defaults.QueueLength = rapid.IntRange(0, 100000).Draw(t, "queue")
		a.Defaults.ProgressTimeout = time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(5*time.Minute)).Draw(t, "progress"))
		a.Defaults.MaxBodyBytes = rapid.Int64Range(1<<10, 64<<20).Draw(t, "body")
		a.Defaults.RecomputeWeight = rapid.Float64Range(0, 100).Draw(t, "weight")
		for i := range rapid.IntRange(0, 5).Draw(t, "accounts") {
			id := fmt.Sprintf("account.%d", i)
			a.Accounts = append(a.Accounts, Account{ID: radishcrank.ClientAccountID(id), KeyHashes: []string{HashKey(id)}, Weight: float64(i + 1)})
		}
		b, err := Parse(a.Render())
		require.NoError(t, err)
		require.Equal(t, string(a.Render()), string(b.Render()))
		require.Empty(t, Diff(a, b))
		require.Equal(t, a.Defaults, b.Defaults)
		b.Defaults.MaxTokens++
		b.Models = append(b.Models, Model{ID: "new", Weights: "1"})
		require.Equal(t, []Change{
			{Section: "Defaults", Key: "MaxTokens", Old: "4096", New: "4097"},
			{Section: "Model.new", Key: "Weights", New: "1"},
		}, Diff(a, b))
		require.Len(t, Diff(b, a), 2)
	})
}

// Guards against example files that an instance would not accept, or whose number of
// accounts and block size differ from the design page.
func TestExamples(t *testing.T) {
	for city, account := range map[string]string{"riga": "carrier-baltic", "sofia": "gate-stewards"} {
		text, err := os.ReadFile("../../../examples/" + city + "/config.ini")
		require.NoError(t, err)
		doc, err := Parse(text)
		require.NoError(t, err)
		require.Len(t, doc.Accounts, 8)
		require.Equal(t, 2000, doc.Defaults.BlockTokens)
		got, ok := doc.Authenticate(city + "-" + account + "-example-key")
		require.True(t, ok)
		require.EqualValues(t, account, got.ID)
		again, err := Parse(doc.Render())
		require.NoError(t, err)
		require.Empty(t, Diff(doc, again))
		boot, err := os.ReadFile("../../../examples/" + city + "/boot.ini")
		require.NoError(t, err)
		_, err = ParseBootSettings(boot)
		require.NoError(t, err)
	}
}

// Guards against panics on malicious input, and against accepted documents that
// change when they are rendered and parsed again.
func FuzzParse(f *testing.F) {
	for _, city := range []string{"riga", "sofia"} {
		text, err := os.ReadFile("../../../examples/" + city + "/config.ini")
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte("[Model.a]\nWeights = `x\n[Model.a.b]\nWeights=%(Weights)s"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		var list Errors
		if err != nil {
			require.True(t, errors.As(err, &list) && len(list) > 0)
			return
		}
		again, err := Parse(doc.Render())
		require.NoError(t, err, "%s", doc.Render())
		require.Empty(t, Diff(doc, again))
	})
}

const bootText = `[Instance]
ID = i-1
Region = r
Zone = z
[Listeners]
Callers = 127.0.0.1:1
Peers = 127.0.0.1:2
Operators = [::1]:3
[Platform]
Table = 127.0.0.1:4
Objects = 127.0.0.1:5
Instances = 127.0.0.1:6
Weights = 127.0.0.1:7
[Peers]
Bootstrap = 127.0.0.1:8, 127.0.0.1:9
Key = KEY
[Operators]
KeyHashes = HASH
`

// Guards against secrets in dumps and errors, and against missing settings that are
// not reported.
func TestParseBootSettings(t *testing.T) {
	key := strings.Repeat("5ec7e7", 11)
	text := strings.NewReplacer("KEY", key, "HASH", keyHash).Replace(bootText)
	boot, err := ParseBootSettings([]byte(text))
	require.NoError(t, err)
	require.Len(t, boot.Bootstrap, 2)
	require.Len(t, boot.PeerKey, 33)
	for _, verb := range []string{"%v", "%+v", "%#v", "%x", "%s", "%d", "%q"} {
		require.NotContains(t, fmt.Sprintf(verb, boot), "5ec7e7")
		require.NotContains(t, fmt.Sprintf(verb, boot), "94 199")
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if strings.HasPrefix(line, "Bootstrap") || strings.HasPrefix(line, "[") {
			continue
		}
		_, err := ParseBootSettings([]byte(strings.Replace(text, line+"\n", "", 1)))
		require.ErrorContains(t, err, "is missing", line)
	}
	for _, bad := range []string{"Key = " + key + "!", key, "Key = `" + key, "Key = " + key[:20], "[" + key, "OldKey = =" + key, "Table = " + key} {
		_, err := ParseBootSettings([]byte(text + "[TLS]\n[Peers]\n" + bad + "\n" + strings.Replace(text, "Key = "+key, bad, 1)))
		require.Error(t, err)
		require.NotContains(t, err.Error(), key[:20])
	}
}
