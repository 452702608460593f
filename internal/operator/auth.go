package operator

import (
	"context"
	"net/http"
	"strings"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Operators maps the hexadecimal SHA-256 digests of operators' keys to their
// names. It comes from the VM's settings and not from the document: a document
// must not be able to lock its operators out.
type Operators map[string]string

type operatorKey struct{}

// authorOf returns who makes the call.
func authorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticate lets operators through: by a client certificate that the
// listener has verified, or by a key.
func (o Operators) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := o.identify(r)
		if !ok {
			writeError(w, &APIError{Type: TypeUnauthorized, Message: "no operator's key or certificate came with the call"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func (o Operators) identify(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, true
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	name, known := o[configstate.DigestKey(key)]
	return name, known
}
