package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/finding"
)

// ErrUntrusted is returned when a TLS handshake fails, on either side.
var ErrUntrusted = errors.New("TLS handshake failed")

// DefaultEntryName is the DNS name in the certificates of entries, unless
// KeyFiles.EntryName sets another.
const DefaultEntryName = "entry.bambooscale"

// KeyFiles names the PEM files for mutual TLS. Both sides need a certificate
// that the CA has signed. Hosts can be replaced at any time and are dialled by
// IP address, so the dialer identifies an entry by EntryName in its
// certificate. The certificates of agents must not contain this name.
type KeyFiles struct {
	Certificate string
	Key         string
	CA          string // file with one or more certificates
	EntryName   string // empty: DefaultEntryName
}

// Keys is an actor that holds the TLS configuration in use.
type Keys struct {
	files KeyFiles
	addr  actor.Address[keysMessage]
}

// keysMessage requests the configuration in use, after replacing it by next
// unless next is nil.
type keysMessage struct {
	next    *tls.Config
	current actor.Reply[*tls.Config]
}

// LoadKeys reads the files and starts the actor in g. The error is a
// finding.List.
func LoadKeys(g *actor.Group, files KeyFiles) (*Keys, error) {
	config, err := files.load()
	if err != nil {
		return nil, err
	}
	run := func(ctx context.Context, in <-chan keysMessage) error {
		for {
			select {
			case m := <-in:
				if m.next != nil {
					config = m.next
				}
				m.current.Put(config)
			case <-ctx.Done():
				return nil
			}
		}
	}
	return &Keys{files: files, addr: actor.Spawn(g, actor.Spec[keysMessage]{Name: "link-keys", Mailbox: 16, Run: run})}, nil
}

// Reload reads the files again and uses them for later handshakes.
// Established links are not affected. If a file is unusable, the error is a
// finding.List and the former keys stay in use.
func (k *Keys) Reload(ctx context.Context) error {
	next, err := k.files.load()
	if err != nil {
		return err
	}
	_, err = k.ask(ctx, next)
	return err
}

// ask returns the configuration in use, after replacing it by next unless next
// is nil.
func (k *Keys) ask(ctx context.Context, next *tls.Config) (*tls.Config, error) {
	return actor.Ask(ctx, k.addr, func(r actor.Reply[*tls.Config]) keysMessage {
		return keysMessage{next: next, current: r}
	})
}

// load reads the files. The error is a finding.List.
func (f KeyFiles) load() (*tls.Config, error) {
	var findings finding.List
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		findings.Add(f.Certificate, 0, "certificate", "cannot be used with key %s: %v", f.Key, err)
	}
	pool := x509.NewCertPool()
	if pem, err := os.ReadFile(f.CA); err != nil {
		findings.Add(f.CA, 0, "CA", "cannot be read: %v", err)
	} else if !pool.AppendCertsFromPEM(pem) {
		findings.Add(f.CA, 0, "CA", "holds no certificate in PEM form")
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	name := f.EntryName
	if name == "" {
		name = DefaultEntryName
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   name,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would not check the peer against a reloaded CA.
		SessionTicketsDisabled: true,
	}, nil
}

// secure wraps sock in TLS if c has keys. It takes ownership of sock and closes
// it on an error.
func (c Config) secure(ctx context.Context, sock net.Conn, wrap func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, error) {
	if c.Keys == nil {
		return sock, nil
	}
	config, err := c.Keys.ask(ctx, nil)
	if err != nil {
		_ = sock.Close()
		return nil, handshakeError(ctx, err)
	}
	secured := wrap(sock, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = sock.Close()
		return nil, handshakeError(ctx, err)
	}
	return secured, nil
}

// handshakeError wraps the error of a handshake in ErrMalformed if the peer
// speaks another protocol, in ErrClosed if the connection was lost or ctx is
// done, and in ErrUntrusted otherwise.
func handshakeError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: handshake: %w", ErrClosed, ctx.Err())
	}
	var record tls.RecordHeaderError
	var verify *tls.CertificateVerificationError
	var op *net.OpError
	switch {
	case errors.As(err, &record):
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	case errors.As(err, &verify), errors.As(err, &op) && op.Op == "remote error":
		return fmt.Errorf("%w: %v", ErrUntrusted, err)
	case errors.As(err, &op), isEOF(err):
		return fmt.Errorf("%w: handshake: %w", ErrClosed, err)
	}
	return fmt.Errorf("%w: %v", ErrUntrusted, err) // for example a peer without a certificate
}
