package routing

import "testing"

// A block counts only behind all earlier ones, separately for each engine. Otherwise the score would assume cache hits that
// do not happen.
func TestIndexDepths(t *testing.T) {
	index := newPrefixIndex(100)

	for bit, blocks := range map[int][]uint64{0: {1, 2, 3}, 70: {1, 2}, 255: {2, 3}} {
		for _, block := range blocks {
			index.add(block, bit)
		}
	}

	var depths [maxEngines]uint8

	deepest := index.depths([]uint64{1, 2, 3, 4}, &depths)
	if deepest != 3 || depths[0] != 3 || depths[70] != 2 || depths[255] != 0 || depths[1] != 0 {
		t.Errorf("got deepest %d and depths %d, %d, %d, %d, want 3 and 3, 2, 0, 0",
			deepest, depths[0], depths[70], depths[255], depths[1])
	}

	index.remove(2, 0)
	index.depths([]uint64{1, 2, 3}, &depths)

	if depths[0] != 1 {
		t.Errorf("got depth %d behind an evicted block, want 1", depths[0])
	}
}

// The memory must stay bounded under an endless stream of prompts, and a block in use must not be dropped.
func TestIndexBounded(t *testing.T) {
	index := newPrefixIndex(100)

	for block := range uint64(10000) {
		index.add(block+1000, 1)
		index.add(7, 2)
	}

	if got := len(index.young) + len(index.old); got > 200 {
		t.Errorf("got %d blocks, want at most 200", got)
	}

	if set, ok := index.lookup(7); !ok || !set.has(2) {
		t.Error("the block in use is lost")
	}
}
