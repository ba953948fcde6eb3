// Package rcload is an open-loop load generator for a running fleet. Arrivals
// follow a generated trace and never wait for answers, and latency is measured
// from the intended send time. A fleet that stalls therefore shows in every
// request that should have been sent meanwhile (no coordinated omission).
package rcload

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank/internal/eval/rceval"
)

// Shapes of traffic.
const (
	ShapeRiga  = "Riga"
	ShapeSofia = "Sofia"
)

// Defaults of Config.
const (
	DefaultMaxInFlight      = 4096
	DefaultRequestTimeout   = time.Minute
	DefaultBytesPerToken    = 4
	DefaultProgressInterval = time.Second
)

// Config holds the parameters of a run.
type Config struct {
	Addrs         []netip.AddrPort // Callers' listeners, used at random as a balancer would.
	Keys          []string         // Bearer keys; the accounts of the shape share them in order.
	Model         string
	Shape         string  // ShapeRiga or ShapeSofia.
	Rate          float64 // Generations a second at the peak.
	Duration      time.Duration
	Seed          uint64
	BytesPerToken int // Prompt bytes counted as one token; 0 means DefaultBytesPerToken.

	CallsPerSecond float64 // Non-repeatable calls of a plain service; 0 is none.
	CallPath       string  // Where they are posted, such as /services/booking/releases.

	// MaxInFlight bounds the requests under way. Those beyond it wait, and their
	// wait counts as latency. 0 means DefaultMaxInFlight.
	MaxInFlight    int
	RequestTimeout time.Duration // From the actual send to the end of the answer; 0 means DefaultRequestTimeout.

	TLS       *tls.Config       // nil: plain HTTP.
	Transport http.RoundTripper // nil: one that keeps connections open.

	Progress         io.Writer     // nil: no progress lines.
	ProgressInterval time.Duration // 0 means DefaultProgressEvery.
}

// check fills in defaults and rejects what cannot run.
func (c *Config) check() error {
	switch {
	case len(c.Addrs) == 0:
		return fmt.Errorf("no address of a callers' listener")
	case len(c.Keys) == 0:
		return fmt.Errorf("no bearer key")
	case c.Model == "":
		return fmt.Errorf("no model")
	case !(c.Rate > 0):
		return fmt.Errorf("rate %v is not positive", c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("duration %v is not positive", c.Duration)
	case c.CallsPerSecond < 0:
		return fmt.Errorf("call rate %v is negative", c.CallsPerSecond)
	case c.CallsPerSecond > 0 && c.CallPath == "":
		return fmt.Errorf("no path for calls of a plain service")
	}
	if _, err := c.deployment(); err != nil {
		return err
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.BytesPerToken <= 0 {
		c.BytesPerToken = DefaultBytesPerToken
	}
	if c.ProgressInterval <= 0 {
		c.ProgressInterval = DefaultProgressInterval
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{
			MaxIdleConnsPerHost: c.MaxInFlight,
			TLSClientConfig:     c.TLS,
			DisableCompression:  true,
		}
	}
	return nil
}

func (c *Config) deployment() (rceval.Deployment, error) {
	switch c.Shape {
	case ShapeRiga:
		return rceval.Riga(), nil
	case ShapeSofia:
		return rceval.Sofia(), nil
	}
	return rceval.Deployment{}, fmt.Errorf("shape %q is neither %s nor %s", c.Shape, ShapeRiga, ShapeSofia)
}

func (c *Config) url(n uint64, path string) string {
	scheme := "http"
	if c.TLS != nil {
		scheme = "https"
	}
	return fmt.Sprintf("%s://%s%s", scheme, c.Addrs[n%uint64(len(c.Addrs))], path)
}
