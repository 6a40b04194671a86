package standin

import (
	"context"
	"strings"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// FaultKind identifies a fault of an engine.
type FaultKind string

// The values of FaultKind; the empty value means no fault.
const (
	// FaultWrongID sends tokens with the ID of another attempt.
	FaultWrongID FaultKind = "wrongId"
	// FaultLateTokens sends tokens of an ended attempt among those of the running one.
	FaultLateTokens FaultKind = "lateTokens"
	// FaultRepeatTokens sends every token twice.
	FaultRepeatTokens FaultKind = "repeatTokens"
	// FaultSkipToken skips one token index.
	FaultSkipToken FaultKind = "skipToken"
	// FaultCutCharacter ends the stream in the middle of a character that spans two tokens.
	FaultCutCharacter FaultKind = "cutCharacter"
	FaultCutStream    FaultKind = "cutStream"
	// FaultCrash makes the engine crash; see Engine.Crash.
	FaultCrash        FaultKind = "crash"
	FaultRefuseExport FaultKind = "refuseExport"
	FaultRefuseImport FaultKind = "refuseImport"
	// FaultLoseImport accepts an imported KV cache but refuses the requests that use it.
	FaultLoseImport  FaultKind = "loseImport"
	FaultOutOfMemory FaultKind = "outOfMemory"
	// FaultFreeze keeps the connections open but sends nothing more.
	FaultFreeze FaultKind = "freeze"
)

// Fault is the body of PUT /fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is the number of tokens that an attempt sends before the fault.
	After int `json:"after,omitempty"`
	// Marker restricts the fault to requests whose prompt contains it.
	Marker string `json:"marker,omitempty"`
	// Times limits the number of attempts with the fault; 0 means no limit.
	Times int `json:"times,omitempty"`
}

// SetFault replaces the engine's current fault; the zero Fault removes it.
func (e *Engine) SetFault(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.fault = fault
}

func (e *Engine) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.fault
}

// takeFault returns the fault that applies to a request and counts the attempt against Times.
func (e *Engine) takeFault(request engine.Request) Fault {
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

// applyFault applies the fault before a token is sent. An error ends the stream.
func (e *Engine) applyFault(
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

			return errStreamCut
		}
	case FaultCutStream:
		return errStreamCut
	case FaultCrash:
		e.Crash()
		return errStreamCut
	case FaultFreeze:
		<-ctx.Done()
		return ctx.Err()
	case FaultRefuseExport, FaultRefuseImport, FaultLoseImport, FaultOutOfMemory:
	}

	return nil
}

// Crash ends all generations, then calls the function set by WithCrash.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.counters.Crashes++

	if e.counters.Crashes == 1 {
		close(e.crashed)
	}
	e.mu.Unlock()

	e.crash()
}
