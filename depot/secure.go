package depot

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"cuminhollow.example/portage"
)

// serverName is the DNS name in the certificate of every node. Nodes trust any
// peer whose certificate has this name and is signed by the fleet's authority.
const serverName = "cuminhollow-node"

// tlsReloadInterval is how often the key files are read again.
const tlsReloadInterval = time.Minute

// configureTLS sets up TLS between nodes unless the settings select plain TCP.
func (n *Node) configureTLS() error {
	t := n.settings.transport
	if t.Plain {
		n.log.Warn().Str("event", "plain-transport").Uint64("incarnation", n.incarnation).
			Str("detail", "connections between nodes are neither encrypted nor authenticated").Send()
		return nil
	}
	r := &tlsReloader{settings: t}
	if err := r.load(); err != nil {
		return &Error{Op: "load keys", Kind: KindSettings, Err: err}
	}
	n.linkOpts = append(n.linkOpts, portage.WithTLS(r.config))
	return nil
}

// tlsReloader holds the TLS configuration and reloads it from the key files, so
// that a certificate can be replaced without a restart. It is safe for
// concurrent use.
type tlsReloader struct {
	settings transportSettings
	current  atomic.Pointer[tls.Config]
	// loaded is when the files were last read, in Unix milliseconds.
	loaded atomic.Int64
}

// config returns the configuration for one handshake. If the files cannot be
// loaded, the last valid configuration stays in use.
func (r *tlsReloader) config() *tls.Config {
	last := r.loaded.Load()
	now := time.Now().UnixMilli()
	if now-last > tlsReloadInterval.Milliseconds() && r.loaded.CompareAndSwap(last, now) {
		_ = r.load()
	}
	return r.current.Load()
}

func (r *tlsReloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.settings.Certificate, r.settings.Key)
	if err != nil {
		return err
	}
	authority, err := os.ReadFile(r.settings.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return fmt.Errorf("authority file %q contains no PEM certificate", r.settings.Authority)
	}
	r.current.Store(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ServerName:   serverName,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
	r.loaded.Store(time.Now().UnixMilli())
	return nil
}
