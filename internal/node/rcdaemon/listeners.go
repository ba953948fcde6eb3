package rcdaemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rccert"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Close closes all listeners that are not nil.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if listener != nil {
			listener.Close()
		}
	}
}

const (
	// memoryBytes is what an instance has.
	memoryBytes = 256 << 20
	// SoftMemoryBytes is the soft limit of the garbage collector, beyond which it runs more
	// often. Without one, a crowd of chats of very short messages took 473 MB in 1 of 3 runs
	// on a machine with a load of 33, and 176 and 216 MB in the others.
	SoftMemoryBytes = memoryBytes * 7 / 10
	// requestMemoryFraction is the fraction of it that the requests and responses of clients
	// may hold. The heap grows to about twice of what it holds.
	requestMemoryFraction = 0.3
	operatorMemoryBytes   = 16 << 20
	// maxOperatorConnections is far more than operators need. The connections of clients are
	// bounded by their memory, at about 2,400, and by the descriptors of the process.
	maxOperatorConnections = 64
)

// newClientGuard returns the limits of the clients' listener.
func (d *Daemon) newClientGuard() rcguard.Config {
	cfg := rcguard.Machine{MemoryBytes: memoryBytes, MaxFDs: rcguard.MaxFDs()}.ClientConfig(requestMemoryFraction, d.metrics)
	// The handler refuses heads beyond the limit with a JSON response, up to twice its size.
	cfg.MaxHeadBytes = func() int { return int(2 * d.document().Defaults.MaxHeaderBytes) }
	cfg.Encrypted = d.cfg.BootSettings.Certificate != ""
	return cfg
}

// operatorGuard returns the limits of the operators' listener.
func (d *Daemon) operatorGuard() rcguard.Config {
	return rcguard.Config{
		Budget:    rcmemory.New(rcmemory.Config{Limit: operatorMemoryBytes, MaxConnections: maxOperatorConnections, ConnBytes: rcguard.ConnBytes}),
		Encrypted: d.cfg.BootSettings.Certificate != "", Metrics: d.metrics,
	}
}

// logLimitedClients logs how many clients met the limits.
func (d *Daemon) logLimitedClients(ctx context.Context) error {
	return rcguard.LogLimited(ctx, d.cfg.Log, d.metrics, d.clientGuard.Budget)
}

// guarded guards the clients' and operators' listeners against clients that use up memory or
// descriptors, and wraps them in TLS if the boot settings name a certificate. The peer listener
// does not use TLS; peers authenticate each other with the shared key.
func (l Listeners) guarded(boot *rcconfig.BootSettings, clients, operators rcguard.Config, log zerolog.Logger) (Listeners, error) {
	if l.Callers != nil {
		l.Callers = rcguard.Wrap(l.Callers, clients)
	}
	if l.Operators != nil {
		l.Operators = rcguard.Wrap(l.Operators, operators)
	}
	if boot.Certificate == "" {
		return l, nil
	}
	certs, err := rccert.New(rccert.Config{CertFile: boot.Certificate, KeyFile: boot.PrivateKey, Log: log})
	if err != nil {
		return l, err
	}
	l.Callers = tls.NewListener(l.Callers, certs.TLSConfig())
	l.Operators = tls.NewListener(l.Operators, certs.TLSConfig())
	return l, nil
}
