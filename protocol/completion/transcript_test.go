package completion

import (
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/apricotway/apricotway"
)

// TestTranscript guards against tokens that are lost, reordered or duplicated when they are read from any index, and against a
// finish reason on any token but the last.
func TestTranscript(t *testing.T) {
	texts := []string{"a", "", "\xc3", "\xa9", "lot 7 ", ""}

	var tokens transcript
	for i, text := range texts {
		token := apricotway.Token{Index: i, Text: text, Attempt: "x"}
		if i == len(texts)-1 {
			token.Finish = apricotway.FinishStop
		}

		tokens.append(token)
	}

	for name, t2 := range map[string]transcript{"appended": tokens, "copied": newTranscript(texts, apricotway.FinishStop)} {
		for from := range len(texts) + 2 {
			want := slices.Clone(texts[min(from, len(texts)):])
			got := t2.tokensFrom(from)

			if len(got) != len(want) {
				t.Fatalf("%s from %d: got %d tokens, want %d", name, from, len(got), len(want))
			}

			for i, token := range got {
				last := from+i == len(texts)-1
				if token.Index != from+i || token.Text != want[i] || (token.Finish != "") != last {
					t.Errorf("%s from %d: got %+v at %d, want text %q", name, from, token, i, want[i])
				}
			}
		}
	}

	if got := newTranscript(nil, apricotway.FinishStop); len(got.tokensFrom(0)) != 0 {
		t.Error("got tokens from an empty transcript")
	}
}

// TestTranscriptMemory guards against a transcript that takes more than 32 bytes per token of four characters. At that size, and at
// 15,000 tokens per second, the answers of one minute take 30 MB.
func TestTranscriptMemory(t *testing.T) {
	const answers, length = 200, 1000

	kept := make([]transcript, answers)
	token := apricotway.Token{Text: strings.Repeat("x", 4)}

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	for i := range kept {
		for range length {
			kept[i].append(token)
		}
	}

	runtime.GC()
	runtime.ReadMemStats(&after)

	if got, want := (after.HeapAlloc-before.HeapAlloc)/(answers*length), uint64(32); got > want {
		t.Errorf("got %d bytes a token, want at most %d", got, want)
	}

	runtime.KeepAlive(kept)
}
