package depot

import (
	"bytes"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
)

// operatorSettings say who may change a node through the operator API.
type operatorSettings struct {
	// TokenFile is the path of a file with a token. Without one, only clients on
	// the same machine may change the node.
	TokenFile string `yaml:"token_file"`
}

// bearer is the scheme of the header field Authorization.
const bearer = "Bearer "

// minTokenLength is the minimum length of a token, in bytes.
const minTokenLength = 16

// readToken reads the file again at each request, so that a token can be replaced
// without a restart.
func (s operatorSettings) readToken() ([]byte, error) {
	content, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return nil, err
	}
	token := bytes.TrimSpace(content)
	if len(token) < minTokenLength {
		return nil, errors.New("token too short")
	}
	return token, nil
}

// authorize returns the status with which a request that changes the node is
// refused; 0 if it is allowed.
func (s operatorSettings) authorize(q *http.Request) (status int, cause error) {
	if s.TokenFile == "" {
		if host, _, err := net.SplitHostPort(q.RemoteAddr); err == nil && net.ParseIP(host).IsLoopback() {
			return 0, nil
		}
		return http.StatusForbidden, errors.New("no token is set, and the client is not on this machine")
	}
	token, err := s.readToken()
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	got, ok := strings.CutPrefix(q.Header.Get("Authorization"), bearer)
	if !ok || subtle.ConstantTimeCompare([]byte(got), token) != 1 {
		return http.StatusUnauthorized, errors.New("wrong or missing token")
	}
	return 0, nil
}

// authorized returns a handler for requests that change the node. It serves only
// those that are allowed, and logs all.
func (n *Node) authorized(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		status, err := n.settings.operators.authorize(q)
		if err != nil {
			n.log.Warn().Str("event", "operator-refused").Str("path", q.URL.Path).
				Str("from", q.RemoteAddr).Int("status", status).Err(err).Send()
			if status == http.StatusUnauthorized {
				w.Header().Set("WWW-Authenticate", strings.TrimSpace(bearer))
			}
			w.WriteHeader(status)
			return
		}
		n.log.Info().Str("event", "operator-request").Str("path", q.URL.Path).Str("from", q.RemoteAddr).Send()
		serve(w, q)
	}
}
