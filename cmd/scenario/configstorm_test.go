package scenario

import (
	"context"
	"io"
	"testing"
	"time"
)

const (
	// stormConfig moves both services' routes, shortens their timeouts, and drops the route of lookups, in comparison to cutConfig.
	stormConfig = `{"version":%d,"routes":[
{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"gap_aim_ms":400,
"service":"model2","max_attempts":2,"resumable":true},
{"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":2500,"target_latency_ms":300,"service":"ledger2","max_attempts":1}],
"services":[{"name":"model2","health_path":"/healthz","engine":{"slots":64,"kv_capacity":1000000}},{"name":"ledger2","health_path":"/healthz"}],
"limits":{"max_body_bytes":10000},"tenants":[{"name":"w","api_keys":["secret","other"],"rate_per_s":100000,"burst":100000}]}`
	// slowBodyPause is the pause in the middle of a body that its caller sends slowly.
	slowBodyPause = 300 * time.Millisecond
)

// slowBody is a body with a pause in its middle.
type slowBody struct{ reads int }

// Read implements io.Reader.
func (b *slowBody) Read(buffer []byte) (int, error) {
	b.reads++

	switch b.reads {
	case 1:
		return copy(buffer, "bo"), nil
	case 2:
		<-time.After(slowBodyPause)
		return copy(buffer, "dy"), nil
	default:
		return 0, io.EOF
	}
}

// TestCallsBesideConfigurations guards against calls that end without a whole answer or a true refusal while configurations follow each other
// that move routes to other services, change timeouts and drop routes.
func TestCallsBesideConfigurations(t *testing.T) {
	for name, silent := range map[string][]int{"calm": nil, "beside silent servers": {0, 3, 6, 9}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := &silenceSystem{cutSystem: newCutSystem(t, 3), slowBodies: true, mayDrop: "/look/x"}
			s.startLinked("model2", "v1", 3)
			s.startLinked("ledger2", "v1", 3)
			s.awaitServing()

			ctx, cancel := context.WithCancel(t.Context())
			group := s.callers(ctx)

			for round := range 4 {
				<-time.After(700 * time.Millisecond)
				s.silence(silent, func() {
					for i := range 4 {
						s.config = []string{stormConfig, cutConfig}[(round+i)%2]
						s.publish()
						<-time.After(350 * time.Millisecond)
					}
				})
			}

			<-time.After(time.Second)
			cancel()
			group.Wait()
			s.checkEnds()
		})
	}
}
