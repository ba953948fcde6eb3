package rcdaemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/serving/rccert"
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

// withTLS wraps the clients' and operators' listeners in TLS if the boot settings
// name a certificate. The peer listener does not use TLS; peers authenticate each
// other with the shared key.
func (l Listeners) withTLS(boot *rcconfig.BootSettings, log zerolog.Logger) (Listeners, error) {
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
