package rccert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func writeKeyPair(t *testing.T, cfg Config, serial int64, modified time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, data []byte) {
		block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
		require.NoError(t, os.WriteFile(name, block, 0o600))
		require.NoError(t, os.Chtimes(name, modified, modified))
	}
	write(cfg.CertFile, "CERTIFICATE", cert)
	write(cfg.KeyFile, "EC PRIVATE KEY", der)
}

func serial(t *testing.T, s *Reloader) int64 {
	cert, err := x509.ParseCertificate(s.current().Certificate[0])
	require.NoError(t, err)
	return cert.SerialNumber.Int64()
}

// Checks that a rotated certificate is served without a restart, and that a
// partially written certificate file leaves the previous certificate in use.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	cfg := Config{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), Log: zerolog.Nop()}
	synctest.Test(t, func(t *testing.T) {
		writeKeyPair(t, cfg, 1, time.Now())
		s, err := New(cfg)
		require.NoError(t, err)
		require.EqualValues(t, 1, serial(t, s))

		require.NoError(t, os.WriteFile(cfg.CertFile, []byte("half"), 0o600))
		time.Sleep(checkInterval)
		require.EqualValues(t, 1, serial(t, s))

		writeKeyPair(t, cfg, 2, time.Now())
		require.EqualValues(t, 1, serial(t, s), "files are checked once per interval")
		time.Sleep(checkInterval)
		require.EqualValues(t, 2, serial(t, s))
	})
}
