package inventory

import (
	"time"

	"github.com/apricotway/apricotway"
)

// maxPause bounds the time for which a server is not used because it named a pause, so that one that named a longer time by mistake is back.
const maxPause = time.Minute

// RecordPause takes a server that has named a pause out of use in this process until the end of the pause. A later pause never shortens
// an earlier one.
func (i *Inventory) RecordPause(id apricotway.BackendServerID, now time.Time, pause apricotway.RequestPause) {
	if pause.Statement != apricotway.PauseStated || pause.For <= 0 {
		return
	}

	i.mu.Lock()
	defer i.mu.Unlock()

	for other, end := range i.pauses {
		if !now.Before(end) {
			delete(i.pauses, other)
		}
	}

	if end := now.Add(min(pause.For, maxPause)); end.After(i.pauses[id]) {
		i.pauses[id] = end
	}
}

// PauseWait returns the time until the first paused server of a service may be used again; 0 if one may be used now or none is paused.
func (i *Inventory) PauseWait(service apricotway.Service, now time.Time) time.Duration {
	i.mu.RLock()
	defer i.mu.RUnlock()

	var wait time.Duration

	for _, server := range i.view.Usable[service] {
		left := i.pauses[server.ID].Sub(now)
		if left <= 0 {
			return 0
		}

		if wait == 0 || left < wait {
			wait = left
		}
	}

	return wait
}
