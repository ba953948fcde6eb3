package rcdaemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rccert"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
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
	// requestMemoryBytes is what the requests and responses of clients may hold. It is 0.3 of
	// the 256 MB that an instance has; the heap grows to about twice of what it holds.
	requestMemoryBytes  = 77 << 20
	operatorMemoryBytes = 16 << 20
	// maxOperatorConnections is far more than operators need. The connections of clients are
	// bounded by requestMemoryBytes, at about 2,400.
	maxOperatorConnections = 64
)

func guardConfig(bytes int64, connections int, encrypted bool, maxHead func() int, metrics *rcmetric.Set) rcguard.Config {
	return rcguard.Config{
		Budget:       rcmemory.New(rcmemory.Config{Limit: bytes, MaxConnections: connections, ConnBytes: rcguard.ConnBytes}),
		MaxHeadBytes: maxHead, Encrypted: encrypted, Metrics: metrics,
	}
}

// guarded guards the clients' and operators' listeners against clients that use up memory or
// descriptors, and wraps them in TLS if the boot settings name a certificate. maxHead returns
// the limit of the heads of clients' requests. The peer listener does not use TLS; peers
// authenticate each other with the shared key.
func (l Listeners) guarded(boot *rcconfig.BootSettings, maxHead func() int, metrics *rcmetric.Set, log zerolog.Logger) (Listeners, error) {
	encrypted := boot.Certificate != ""
	if l.Callers != nil {
		l.Callers = rcguard.Wrap(l.Callers, guardConfig(requestMemoryBytes, 0, encrypted, maxHead, metrics))
	}
	if l.Operators != nil {
		l.Operators = rcguard.Wrap(l.Operators, guardConfig(operatorMemoryBytes, maxOperatorConnections, encrypted, nil, metrics))
	}
	if !encrypted {
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
