// Package rccert serves TLS with a certificate that is read again when its
// files change, so that rotation needs no restart.
package rccert

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// checkInterval bounds how often the files' times are read.
const checkInterval = 10 * time.Second

// Config names the files of a certificate.
type Config struct {
	CertFile string // PEM file with the chain, leaf first.
	KeyFile  string // PEM file.
	Log      zerolog.Logger
}

// Reloader holds the certificate in use.
type Reloader struct {
	cfg Config

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   stamp
	checked time.Time
}

// stamp identifies a state of the files.
type stamp struct {
	cert, key time.Time
}

// New reads the certificate.
func New(cfg Config) (s *Reloader, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "certificate %s", cfg.CertFile)
		}
	}()
	s = &Reloader{cfg: cfg, checked: time.Now()}
	if s.stamp, err = s.readStamp(); err != nil {
		return nil, err
	}
	if s.cert, err = s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// TLSConfig returns a server configuration that uses the newest certificate.
func (s *Reloader) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// current returns the newest certificate that could be read. Files that do not
// fit together, as in the middle of a rotation, leave the old one in use.
func (s *Reloader) current() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.cert
	}
	s.checked = time.Now()
	newest, err := s.readStamp()
	if err != nil || newest == s.stamp {
		return s.cert
	}
	cert, err := s.load()
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("File", s.cfg.CertFile).Msg("certificate was not reloaded")
		return s.cert
	}
	s.cert, s.stamp = cert, newest
	s.cfg.Log.Info().Str("File", s.cfg.CertFile).Msg("certificate reloaded")
	return s.cert
}

func (s *Reloader) readStamp() (stamp, error) {
	cert, err := os.Stat(s.cfg.CertFile)
	if err != nil {
		return stamp{}, err
	}
	key, err := os.Stat(s.cfg.KeyFile)
	if err != nil {
		return stamp{}, err
	}
	return stamp{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (s *Reloader) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(s.cfg.CertFile, s.cfg.KeyFile)
	if err != nil {
		return nil, err
	}
	return &cert, nil
}
