package operator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/transport/operator"
)

// secretDigest is the hexadecimal SHA-256 digest of "secret", in upper case to check that case does not matter.
const secretDigest = "2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B"

// TestAuthorise guards against access to the operators' API without an operator token.
func TestAuthorise(t *testing.T) {
	server := operator.New(prometheus.NewRegistry(), func() error { return nil })
	server.HandleJSON("/v1/config", func() any { return "x" })

	for _, test := range []struct {
		name, path, authorization string
		digests                   []string
		want                      int
	}{
		{"no operators in the settings", "/v1/config", "", nil, http.StatusOK},
		{"token", "/v1/config", "Bearer secret", []string{"00", secretDigest}, http.StatusOK},
		{"wrong token", "/v1/config", "Bearer secre", []string{secretDigest}, http.StatusUnauthorized},
		{"no token", "/v1/config", "", []string{secretDigest}, http.StatusUnauthorized},
		{"digest in place of the token", "/v1/config", "Bearer " + secretDigest, []string{secretDigest}, http.StatusUnauthorized},
		{"profile without token", "/debug/pprof/", "", []string{secretDigest}, http.StatusUnauthorized},
		{"health without token", "/healthz", "", []string{secretDigest}, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, test.path, http.NoBody)
			request.Header.Set("Authorization", test.authorization)

			recorder := httptest.NewRecorder()
			operator.Authorise(server, test.digests).ServeHTTP(recorder, request)

			if got := recorder.Code; got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}
