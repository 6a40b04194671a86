package standin

import (
	"context"
	"strings"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// FaultKind selects a fault of an engine.
type FaultKind string

// The values of FaultKind; the empty one is no fault.
const (
	// FaultWrongID makes the engine echo the id of another attempt.
	FaultWrongID FaultKind = "wrongId"
	// FaultLateTokens sends tokens of an ended attempt between those of the running one.
	FaultLateTokens FaultKind = "lateTokens"
	// FaultRepeatTokens sends every token twice.
	FaultRepeatTokens FaultKind = "repeatTokens"
	// FaultSkipToken leaves one token out.
	FaultSkipToken FaultKind = "skipToken"
	// FaultCutCharacter ends the stream behind the first token of a character that spans two.
	FaultCutCharacter FaultKind = "cutCharacter"
	FaultCutStream    FaultKind = "cutStream"
	// FaultCrash ends the engine.
	FaultCrash        FaultKind = "crash"
	FaultRefuseExport FaultKind = "refuseExport"
	FaultRefuseImport FaultKind = "refuseImport"
	// FaultLoseImport accepts a KV cache and refuses to use it.
	FaultLoseImport  FaultKind = "loseImport"
	FaultOutOfMemory FaultKind = "outOfMemory"
	// FaultFreeze keeps the connections open and sends nothing more.
	FaultFreeze FaultKind = "freeze"
)

// Fault is the body of PUT /fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is the number of tokens that an attempt sends before the fault.
	After int `json:"after,omitempty"`
	// Marker limits the fault to prompts that contain it.
	Marker string `json:"marker,omitempty"`
	// Times limits the fault to that many attempts; 0 is no limit.
	Times int `json:"times,omitempty"`
}

// SetFault replaces the engine's fault.
func (e *Engine) SetFault(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.fault = fault
}

func (e *Engine) current() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.fault
}

// take returns the fault that holds for a request.
func (e *Engine) take(request engine.Request) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()

	fault := e.fault
	if !strings.Contains(request.Prompt, fault.Marker) {
		return Fault{}
	}

	if fault.Times > 0 {
		e.fault.Times--

		if e.fault.Times == 0 {
			e.fault = Fault{}
		}
	}

	return fault
}

// disturb does what the fault does before a token is sent.
func (e *Engine) disturb(
	ctx context.Context, s *engineStream, fault Fault, token apricotway.Token, sent int,
) error {
	if sent < fault.After {
		return nil
	}

	switch fault.Kind {
	case FaultWrongID:
		s.id = "other"
	case FaultLateTokens:
		return s.send(apricotway.Token{Attempt: "ended", Index: token.Index, Text: " late"})
	case FaultRepeatTokens:
		return s.send(token)
	case FaultSkipToken:
		if sent == fault.After {
			token.Index++
			return s.send(token)
		}
	case FaultCutCharacter:
		if len(token.Text) > len([]rune(token.Text)) {
			token.Text = ""
			if err := s.send(token); err != nil {
				return err
			}

			return errCut
		}
	case FaultCutStream:
		return errCut
	case FaultCrash:
		e.Crash()
		return errCut
	case FaultFreeze:
		<-ctx.Done()
		return ctx.Err()
	case FaultRefuseExport, FaultRefuseImport, FaultLoseImport, FaultOutOfMemory:
	}

	return nil
}

// Crash ends all generations and does what WithCrash set.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.counters.Crashes++

	if e.counters.Crashes == 1 {
		close(e.crashed)
	}
	e.mu.Unlock()

	e.crash()
}
