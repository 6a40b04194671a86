package completion

import (
	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

// UsageFunc receives an amount of usage. It must not block.
type UsageFunc func(key account.Key, usage account.Usage)

func usageKey(request Request, server apricotway.BackendServer) account.Key {
	return account.Key{
		Workspace: request.Workspace, Service: request.Service, Zone: server.Zone, MachineClass: server.MachineClass,
	}
}

// countUsage counts the tokens of a request when its run has ended. They are counted once, in the process that ended the request: a
// process that handed it over counts only the engine time of its own attempts. A request that reached no engine used nothing.
func (a *Answer) countUsage(server apricotway.BackendServer, err error) {
	a.mu.Lock()
	moved, tokens := a.moved, a.tokens.len()
	a.mu.Unlock()

	if moved || server.ID == "" {
		return
	}

	usage := account.Usage{
		PromptTokens:    int64(apricotway.EstimateTokens(a.request.Prompt)),
		GeneratedTokens: int64(tokens),
	}
	if err == nil {
		usage.Requests = 1
	}

	a.requests.runner.usage(usageKey(a.request, server), usage)
}
