package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/apricotway/apricotway/transport/httpjson"
)

// open lists the paths that need no token: probes of the platform and collectors of metrics carry none.
var open = map[string]bool{"/healthz": true, "/readyz": true, "/metrics": true}

// Authorise lets requests pass that carry a bearer token with one of the hexadecimal SHA-256 digests. Without digests it
// lets every request pass.
func Authorise(handler http.Handler, digests []string) http.Handler {
	if len(digests) == 0 {
		return handler
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open[r.URL.Path] || known(r.Header.Get("Authorization"), digests) {
			handler.ServeHTTP(w, r)
			return
		}

		httpjson.Write(w, http.StatusUnauthorized, map[string]string{"error": "the request carries no operator's token"})
	})
}

// known compares with all digests in constant time, so that the time taken tells nothing about them.
func known(authorization string, digests []string) bool {
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
