package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/apricotway/apricotway/transport/httpjson"
)

// publicPaths lists the paths that need no token, because the platform's health probes and metrics collectors send none.
var publicPaths = map[string]bool{"/healthz": true, "/readyz": true, "/metrics": true}

// Authorise returns a handler that accepts only requests whose bearer token has one of the hexadecimal SHA-256 digests. Without
// digests, every request is accepted.
func Authorise(handler http.Handler, digests []string) http.Handler {
	if len(digests) == 0 {
		return handler
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if publicPaths[r.URL.Path] || hasKnownToken(r.Header.Get("Authorization"), digests) {
			handler.ServeHTTP(w, r)
			return
		}

		httpjson.Write(w, http.StatusUnauthorized, map[string]string{"error": "the request carries no operator's token"})
	})
}

// hasKnownToken reports whether the Authorization header has a token with one of the digests. It compares all digests in constant
// time, so that the response time reveals nothing about them.
func hasKnownToken(authorization string, digests []string) bool {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return false
	}

	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := 0

	for _, candidate := range digests {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(candidate)), digest)
	}

	return found == 1
}
