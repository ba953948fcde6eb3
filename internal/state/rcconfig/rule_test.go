package rcconfig

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
)

var booking = Service{Name: "booking", NonRepeatable: []string{"POST /releases", "* /transfers/now"}}

// Guards against calls that run twice because their path or method was written in an
// unusual but equivalent form.
func TestRunsAtMostOnceMatchesEquivalentForms(t *testing.T) {
	for _, target := range []string{
		"/releases", "releases", "/releases/7", "//releases", "/./releases", "/x/../releases", "/releases/../stock",
		"/%72eleases", "/%2572eleases", "/releases?x=1", "/releases#x", "/RELEASES", "/releaſes", `\releases`, "/;a/releases",
		"/releases;v=1", "/x%2f..%2freleases", "/%2e/releases", "/..;/releases", "/releases%00", "/%", "/%c0%afreleases",
		"/%2525252525252572eleases", "/stock/%0a", "/.//releases", "", "?", "/stock?x",
	} {
		want := target != "" && target != "?" && target != "/stock?x"
		for _, method := range []string{"POST", "post", "Post", " POST"} {
			require.Equal(t, want, booking.RunsAtMostOnce(method, target), "%q %q", method, target)
		}
	}
	require.True(t, booking.RunsAtMostOnce("BREW", "/transfers//now"))
	require.False(t, booking.RunsAtMostOnce("GET", "/releases"))
	require.False(t, booking.RunsAtMostOnce("POST", "/transfers/later"))
	require.False(t, booking.RunsAtMostOnce("POST", "/stock/releases"))
	require.False(t, Service{}.RunsAtMostOnce("POST", "/%"))
}

// Guards against combinations of equivalent forms that are not matched, although
// each form alone is.
func TestRunsAtMostOnceProperty(t *testing.T) {
	steps := []func(t *rapid.T, p string) string{
		func(_ *rapid.T, p string) string { return strings.Replace(p, "/", "//", 1) },
		func(_ *rapid.T, p string) string { return "/." + p },
		func(_ *rapid.T, p string) string { return "/a/.." + p },
		func(_ *rapid.T, p string) string { return p + "?q=/../stock" },
		func(_ *rapid.T, p string) string { return strings.ReplaceAll(p, "/", `\`) },
		func(_ *rapid.T, p string) string { return strings.ToUpper(p) },
		func(t *rapid.T, p string) string {
			i := rapid.IntRange(0, len(p)-1).Draw(t, "encoded")
			return fmt.Sprintf("%s%%%02x%s", p[:i], p[i], p[i+1:])
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		p := "/releases/" + rapid.StringMatching(`[a-z0-9]{0,8}`).Draw(t, "rest")
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			p = steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t, p)
		}
		require.True(t, booking.RunsAtMostOnce("POST", p), "%q", p)
	})
}

func largeDocument(t testing.TB, accounts int) *Document {
	doc := &Document{Defaults: DefaultSettings()}
	for i := range accounts {
		id := fmt.Sprintf("account-%d", i)
		doc.Accounts = append(doc.Accounts, Account{
			ID: radishcrank.ClientAccountID(id), KeyHashes: []string{HashKey(id), HashKey(id + "-new")}, Weight: 1,
		})
	}
	parsed, err := Parse(doc.Render())
	require.NoError(t, err)
	return parsed
}

// Guards against an index that is inconsistent with the accounts.
func TestAuthenticate(t *testing.T) {
	parsed := largeDocument(t, 100)
	literal := &Document{Accounts: parsed.Accounts}
	for _, doc := range []*Document{parsed, literal} {
		a, ok := doc.Authenticate("account-42-new")
		require.True(t, ok)
		require.EqualValues(t, "account-42", a.ID)
		_, ok = doc.Authenticate("")
		require.False(t, ok)
		_, ok = doc.Authenticate(HashKey("account-42"))
		require.False(t, ok)
	}
}

// Guards against effective settings that are recomputed for each of 500 candidates,
// which would take most of the 100 us of a routing decision.
func TestBoundEffectiveSettings(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	doc, err := Parse([]byte("[Exception.a]\nZone = zone-1\nReason = r\nCrossZoneCost = 5ms\n"))
	require.NoError(t, err)
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			doc.EffectiveSettings(Scope{Zone: "zone-1"})
		}
	})
	t.Logf("EffectiveSettings: %s", r)
	require.Less(t, r.NsPerOp(), int64(200))
}

// Guards against an authentication cost that grows with the number of accounts. At
// 38 requests/s, it must be negligible within an instance's 28 ms of CPU time per
// second.
func TestBoundAuthenticate(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	doc := largeDocument(t, 3000)
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			doc.Authenticate("account-2999")
		}
	})
	t.Logf("Authenticate among 3000 accounts: %s", r)
	require.Less(t, r.NsPerOp(), int64(5000))
}
