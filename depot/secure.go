package depot

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"cuminhollow.example/portage"
)

// serverName is the DNS name that the certificate of every node carries. Nodes
// trust whoever holds a certificate of the fleet's authority with that name.
const serverName = "cuminhollow-node"

// reloadInterval is how often the key files are read again.
const tlsReloadInterval = time.Minute

// secure prepares TLS between nodes unless the settings ask for plain TCP.
func (n *Node) configureTLS() error {
	t := n.settings.transport
	if t.Plain {
		n.log.Warn().Str("event", "plain-transport").Uint64("incarnation", n.incarnation).
			Str("detail", "connections between nodes are neither encrypted nor authenticated").Send()
		return nil
	}
	k := &tlsReloader{settings: t}
	if err := k.load(); err != nil {
		return &Error{Op: "load keys", Kind: KindSettings, Err: err}
	}
	n.linkOpts = append(n.linkOpts, portage.WithTLS(k.config))
	return nil
}

// keys holds the TLS configuration and renews it from the files, so that a
// certificate is replaced without a restart. It is safe for concurrent use.
type tlsReloader struct {
	settings transportSettings
	current  atomic.Pointer[tls.Config]
	// loaded is when the files were last read, in Unix milliseconds.
	loaded atomic.Int64
}

// config returns the configuration for one handshake. Files that cannot be
// read leave the last good one in use.
func (k *tlsReloader) config() *tls.Config {
	last := k.loaded.Load()
	now := time.Now().UnixMilli()
	if now-last > tlsReloadInterval.Milliseconds() && k.loaded.CompareAndSwap(last, now) {
		_ = k.load()
	}
	return k.current.Load()
}

func (k *tlsReloader) load() error {
	certificate, err := tls.LoadX509KeyPair(k.settings.Certificate, k.settings.Key)
	if err != nil {
		return err
	}
	authority, err := os.ReadFile(k.settings.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("the authority file holds no certificate")
	}
	k.current.Store(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ServerName:   serverName,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
	k.loaded.Store(time.Now().UnixMilli())
	return nil
}
