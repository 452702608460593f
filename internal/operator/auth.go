package operator

import (
	"context"
	"net/http"
	"strings"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Operators maps the hexadecimal SHA-256 digests of operators' keys to the
// operators' names. It is part of the VM's settings and not of the document: a
// document must not be able to lock operators out.
type Operators map[string]string

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorName returns the name of the operator who made the call.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// authenticate passes on only calls of operators, who identify themselves by a
// client certificate that the listener has verified, or by a key.
func (o Operators) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := o.identify(r)
		if !ok {
			writeError(w, &APIError{Type: TypeUnauthorized, Message: "no operator's key or certificate came with the call"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
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
