package tally_test

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/tally"
)

// TestEncode checks that the counts survive their transfer to a new collecting process, and that the record, which is written
// four times a second, stays below the size limit of the store at the largest planned deployment.
func TestEncode(t *testing.T) {
	// 16,000 calls a second at 390 processes, in two windows of 5 s and 40 workspaces of which each process sees all.
	const (
		nodes, workspaces, windows = 390, 40, 2
		callsPerNode               = 16000 * 5 / nodes
		recordBytes                = 262144
	)

	counts := map[apricotway.NodeID]tally.Counts{}

	for n := range nodes {
		c := tally.Counts{}

		for w := range int64(windows) {
			calls := map[apricotway.Workspace]int64{}
			for i := range callsPerNode {
				calls[apricotway.Workspace(fmt.Sprintf("hule%03d", i%workspaces))]++
			}

			c[353445120+w] = calls
		}

		counts[apricotway.NodeID(fmt.Sprintf("front-saskatoon-a-%d-0123abcd", n))] = c
	}

	content, err := tally.Encode(counts)
	if err != nil {
		t.Fatal(err)
	}

	if got := len(content); got > recordBytes {
		t.Errorf("got %d bytes, want at most %d", got, recordBytes)
	}

	got, err := tally.Decode(content)
	if err != nil || !reflect.DeepEqual(got, counts) {
		t.Errorf("got counts that differ from the encoded ones, or error %v", err)
	}

	again, err := tally.Encode(got)
	if err != nil || string(again) != string(content) {
		t.Errorf("got different bytes for equal counts, or error %v", err)
	}
}

// TestDecodeOdd checks that content which another writer may have left is an error, and that it takes no memory or time to speak of.
func TestDecodeOdd(t *testing.T) {
	const (
		size    = 256 << 10
		longest = 5 * time.Second
		// maxAllocated is far below what the stated lengths would take.
		maxAllocated = 64 << 20
	)

	for name, content := range map[string]string{
		"nested arrays": strings.Repeat("\x81", size), "nested maps": strings.Repeat("\xa1\x01", size), "nested tags": strings.Repeat("\xc1", size),
		"nested arrays without a length": strings.Repeat("\x9f", size), "long array": "\x9a\xff\xff\xff\xff", "longer array": "\x9b\x7f" + strings.Repeat("\xff", 7),
		"longest array": "\x9b" + strings.Repeat("\xff", 8), "long text": "\x82\x81\x7b\x7f" + strings.Repeat("\xff", 7), "NaN": "\x82\x81\x61w\x81\x82\x61n\x81\x82\xf9\x7e\x00\x80",
		"infinity": "\x82\x81\x61w\x81\x82\x61n\x81\x82\xf9\x7c\x00\x80", "large window": "\x82\x81\x61w\x81\x82\x61n\x81\x82\x1b" + strings.Repeat("\xff", 8) + "\x80",
		"large index": "\x82\x81\x61w\x81\x82\x61n\x81\x82\x07\x82\x1b\x7f" + strings.Repeat("\xff", 7) + "\x01", "JSON": strings.Repeat("[", size), "nothing": "",
	} {
		var before, after runtime.MemStats

		runtime.ReadMemStats(&before)

		began := time.Now()
		got, err := tally.Decode([]byte(content))
		took := time.Since(began)

		runtime.ReadMemStats(&after)

		if !errors.Is(err, tally.ErrMalformed) || got != nil {
			t.Errorf("%s: got %v and %v, want %v", name, got, err, tally.ErrMalformed)
		}

		if allocated := after.TotalAlloc - before.TotalAlloc; took > longest || allocated > maxAllocated {
			t.Errorf("%s: took %s and %d bytes, want less than %s and %d", name, took, allocated, longest, maxAllocated)
		}
	}
}

// FuzzDecode guards a new collecting process against a panic on corrupt content from another writer.
func FuzzDecode(f *testing.F) {
	content, err := tally.Encode(map[apricotway.NodeID]tally.Counts{"n": {7: {"w": 3}}})
	if err != nil {
		f.Fatal(err)
	}

	f.Add(content)
	f.Add([]byte("{}"))
	f.Add([]byte(strings.Repeat("\x81", 100)))
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte{0x82, 0x81, 0x61, 0x77, 0x81, 0x82, 0x61, 0x6e, 0x81, 0x82, 0x07, 0x82, 0x05, 0x01})
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = tally.Decode(content) // Must not panic.
	})
}
