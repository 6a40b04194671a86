package build

import (
	"encoding/binary"
	"testing"
)

// TestName guards against a process that can't tell its build.
func TestName(t *testing.T) {
	if got := Name(); got == "" || got == unnamed {
		t.Errorf("got %q, want a name", got)
	}
}

// TestShortNotes guards against a panic on a note of another form.
func TestShortNotes(t *testing.T) {
	note := binary.LittleEndian.AppendUint32(nil, 4)
	note = binary.LittleEndian.AppendUint32(note, 11)
	note = append(note, "\x04\x00\x00\x00Go\x00\x00abcd/efgh/i"...)

	if got, want := contentOf(note, binary.LittleEndian), "i"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	for length := range note {
		if got, want := contentOf(note[:length], binary.LittleEndian), unnamed; got != want {
			t.Errorf("%d bytes: got %q, want %q", length, got, want)
		}
	}

	if got, want := contentOf([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\x04\x00\x00\x00"), binary.LittleEndian), unnamed; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
