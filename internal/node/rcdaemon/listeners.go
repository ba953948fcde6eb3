package rcdaemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/serving/rccert"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Listeners are the open listeners of one instance.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if listener != nil {
			listener.Close()
		}
	}
}

// withTLS puts TLS on the callers' and operators' listeners if the boot
// settings name a certificate. Peers authenticate each other by the shared key.
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
