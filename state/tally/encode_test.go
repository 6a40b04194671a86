package tally_test

import (
	"fmt"
	"reflect"
	"testing"

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

// FuzzDecode guards a new collecting process against a panic on corrupt content from another writer.
func FuzzDecode(f *testing.F) {
	content, err := tally.Encode(map[apricotway.NodeID]tally.Counts{"n": {7: {"w": 3}}})
	if err != nil {
		f.Fatal(err)
	}

	f.Add(content)
	f.Add([]byte("{}"))
	f.Add([]byte{0x82, 0x81, 0x61, 0x77, 0x81, 0x82, 0x61, 0x6e, 0x81, 0x82, 0x07, 0x82, 0x05, 0x01})
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = tally.Decode(content) // Must not panic.
	})
}
