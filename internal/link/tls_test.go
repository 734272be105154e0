package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := template("CA")
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert, key}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

// write issues a certificate with a DNS name and writes all files of a process
// to dir.
func (a *authority) write(t *testing.T, dir, dnsName string) KeyFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := template("process")
	tmpl.DNSNames = []string{dnsName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	f := KeyFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for file, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "PRIVATE KEY", Bytes: keyDER},
		f.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	return f
}

// processKeys are the keys of a process and the directory of their files.
type processKeys struct {
	keys *Keys
	dir  string
}

// process loads keys with a new certificate of the authority.
func (a *authority) process(t *testing.T, g *actor.Group, dnsName string) processKeys {
	t.Helper()
	dir := t.TempDir()
	keys, err := LoadKeys(g, a.write(t, dir, dnsName))
	require.NoError(t, err)
	return processKeys{keys, dir}
}

func testGroup(t *testing.T) *actor.Group {
	g := actor.NewGroup(context.Background(), nil)
	t.Cleanup(g.Stop)
	return g
}

// Guards against an entry with keys that accepts a peer without TLS or a peer
// whose certificate is signed by another authority.
func TestMutualTLS(t *testing.T) {
	g, trusted, untrusted := testGroup(t), newAuthority(t), newAuthority(t)
	entry := trusted.process(t, g, DefaultEntryName)
	l, err := Listen(g, "127.0.0.1:0", Config{Keys: entry.keys})
	require.NoError(t, err)
	d := NewDialer(g, Config{Keys: trusted.process(t, g, "agent").keys})
	healthy := connect(t, d, l)
	requireUsable(t, healthy)

	rejected := map[string]struct {
		cfg  Config
		want error
	}{
		"no TLS":            {Config{}, ErrMalformed},
		"another authority": {Config{Keys: untrusted.process(t, g, "agent").keys}, ErrUntrusted},
	}
	for name, c := range rejected {
		t.Run(name, func(t *testing.T) {
			_, err := NewDialer(g, c.cfg).Dial(t.Context(), l.Addr())
			require.Error(t, err)
			_, err = accept(t, l).Receive()
			require.ErrorIs(t, err, c.want)
			requireUsable(t, healthy)
		})
	}
}

// Guards against an entry that accepts an agent that presents no certificate
// but trusts the certificate of the entry.
func TestClientCertificateIsRequired(t *testing.T) {
	g, ours := testGroup(t), newAuthority(t)
	l, err := Listen(g, "127.0.0.1:0", Config{Keys: ours.process(t, g, DefaultEntryName).keys})
	require.NoError(t, err)
	agent := ours.process(t, g, "agent")
	config, err := agent.keys.ask(t.Context(), nil)
	require.NoError(t, err)
	withoutCertificate := config.Clone()
	withoutCertificate.Certificates = nil
	_, err = agent.keys.ask(t.Context(), withoutCertificate)
	require.NoError(t, err)
	_, err = NewDialer(g, Config{Keys: agent.keys}).Dial(t.Context(), l.Addr())
	require.Error(t, err)
	_, err = accept(t, l).Receive()
	require.ErrorIs(t, err, ErrUntrusted)
}

// Guards against a dialer that accepts the certificate of an agent as that of
// an entry.
func TestDialerRejectsAgentCertificate(t *testing.T) {
	g, ours := testGroup(t), newAuthority(t)
	l, err := Listen(g, "127.0.0.1:0", Config{Keys: ours.process(t, g, "agent").keys})
	require.NoError(t, err)
	_, err = NewDialer(g, Config{Keys: ours.process(t, g, "agent").keys}).Dial(t.Context(), l.Addr())
	require.ErrorIs(t, err, ErrUntrusted)
}

// Guards against a dialer with keys that connects without TLS to a peer that
// does not use it.
func TestDialerWithKeysRejectsPeerWithoutTLS(t *testing.T) {
	g, ours := testGroup(t), newAuthority(t)
	l, err := Listen(g, "127.0.0.1:0", Config{})
	require.NoError(t, err)
	_, err = NewDialer(g, Config{Keys: ours.process(t, g, "agent").keys}).Dial(t.Context(), l.Addr())
	require.ErrorIs(t, err, ErrMalformed)
}

// Guards against a reload that ends established links, keeps the former keys
// for new links, or replaces valid keys by unusable ones.
func TestReloadKeepsLinks(t *testing.T) {
	g, formerCA, newCA := testGroup(t), newAuthority(t), newAuthority(t)
	entry, agent := formerCA.process(t, g, DefaultEntryName), formerCA.process(t, g, "agent")
	l, err := Listen(g, "127.0.0.1:0", Config{Keys: entry.keys})
	require.NoError(t, err)
	d := NewDialer(g, Config{Keys: agent.keys})
	established := connect(t, d, l)

	newCA.write(t, entry.dir, DefaultEntryName)
	require.NoError(t, entry.keys.Reload(t.Context()))
	requireUsable(t, established)
	_, err = d.Dial(t.Context(), l.Addr())
	require.ErrorIs(t, err, ErrUntrusted, "the agent still has the former CA")
	_, err = accept(t, l).Receive()
	require.Error(t, err)

	newCA.write(t, agent.dir, "agent")
	require.NoError(t, agent.keys.Reload(t.Context()))
	requireUsable(t, connect(t, d, l))

	require.NoError(t, os.WriteFile(filepath.Join(agent.dir, "key.pem"), []byte("not a key"), 0o600))
	require.NoError(t, os.Remove(filepath.Join(agent.dir, "ca.pem")))
	err = agent.keys.Reload(t.Context())
	require.ErrorContains(t, err, "cert.pem: certificate: cannot be used")
	require.ErrorContains(t, err, "ca.pem: CA: cannot be read")
	requireUsable(t, connect(t, d, l))
	requireUsable(t, established)
}

// Guards against a peer that does not finish its TLS handshake and thereby
// blocks the handshakes of others.
func TestStalledTLSHandshakeDoesNotBlockOthers(t *testing.T) {
	g, ours := testGroup(t), newAuthority(t)
	l, err := Listen(g, "127.0.0.1:0", Config{Keys: ours.process(t, g, DefaultEntryName).keys})
	require.NoError(t, err)
	_, err = io.WriteString(rawDial(t, l.Addr()), "\x16\x03\x01")
	require.NoError(t, err)
	requireUsable(t, connect(t, NewDialer(g, Config{Keys: ours.process(t, g, "agent").keys}), l))
}
