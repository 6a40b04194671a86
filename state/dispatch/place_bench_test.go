package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/dispatch"
)

// BenchmarkPlace measures one decision among all servers of a service.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{160, 7600} {
		b.Run(fmt.Sprint("servers ", servers), func(b *testing.B) {
			p := dispatch.New(dispatch.WithRandom(rand.New(rand.NewPCG(1, 1))))
			for i := range servers {
				p.Update(backend(apricotway.BackendServerID(fmt.Sprint(i))), start)
			}

			request := dispatch.Request{Service: service, PromptTokens: 1000, AnswerTokens: 100, Remaining: time.Minute}

			for b.Loop() {
				send, _, _ := p.Place(start, request)
				send.End(start, dispatch.OutcomeLeft)
			}
		})
	}
}
