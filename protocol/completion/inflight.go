package completion

import "github.com/apricotway/apricotway"

// TokensInFlight returns the tokens that this process's attempts still have to prefill or generate at most, by engine.
func (r *Runner) TokensInFlight() map[apricotway.BackendServerID]int {
	r.mu.Lock()
	defer r.mu.Unlock()

	tokens := map[apricotway.BackendServerID]int{}

	for _, a := range r.running {
		done := int(a.tokens.Load())
		tokens[a.server.ID] += a.request.MaxTokens - done

		if a.pace.Load() == 0 { // no token of this attempt yet: it prefills
			tokens[a.server.ID] += apricotway.EstimateTokens(a.request.Prompt) + done
		}
	}

	return tokens
}
