// Package rccert provides a TLS configuration whose certificate is reloaded when
// its files change, so that rotation needs no restart.
package rccert

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// checkInterval is the minimum time between two checks of the files' modification
// times.
const checkInterval = 10 * time.Second

// Config configures a Reloader.
type Config struct {
	CertFile string // PEM file with the certificate chain, leaf first.
	KeyFile  string // PEM file with the private key.
	Log      zerolog.Logger
}

// Reloader holds the current certificate and reloads it when its files change.
type Reloader struct {
	cfg Config

	mu        sync.Mutex
	cert      *tls.Certificate
	modTimes  modTimes
	lastCheck time.Time
}

// modTimes holds the modification times of the certificate and key files.
type modTimes struct {
	cert, key time.Time
}

// New returns a Reloader after loading the certificate.
func New(cfg Config) (r *Reloader, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "certificate %s", cfg.CertFile)
		}
	}()
	r = &Reloader{cfg: cfg, lastCheck: time.Now()}
	if r.modTimes, err = r.readModTimes(); err != nil {
		return nil, err
	}
	if r.cert, err = r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// TLSConfig returns a server configuration that always uses the current certificate.
func (r *Reloader) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// current returns the latest certificate that could be loaded. If the files cannot
// be loaded, for example because a rotation has replaced only one of them, the
// previous certificate stays in use.
func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) < checkInterval {
		return r.cert
	}
	r.lastCheck = time.Now()
	newest, err := r.readModTimes()
	if err != nil || newest == r.modTimes {
		return r.cert
	}
	cert, err := r.load()
	if err != nil {
		r.cfg.Log.Error().Err(err).Str("File", r.cfg.CertFile).Msg("certificate was not reloaded")
		return r.cert
	}
	r.cert, r.modTimes = cert, newest
	r.cfg.Log.Info().Str("File", r.cfg.CertFile).Msg("certificate reloaded")
	return r.cert
}

func (r *Reloader) readModTimes() (modTimes, error) {
	cert, err := os.Stat(r.cfg.CertFile)
	if err != nil {
		return modTimes{}, err
	}
	key, err := os.Stat(r.cfg.KeyFile)
	if err != nil {
		return modTimes{}, err
	}
	return modTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (r *Reloader) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(r.cfg.CertFile, r.cfg.KeyFile)
	if err != nil {
		return nil, err
	}
	return &cert, nil
}
