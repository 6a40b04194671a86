package routing

const (
	// maxEngines bounds the engines whose caches one process tracks. With the largest fleet a process uses about 120 engines.
	maxEngines = 256
	// indexBlocks bounds the blocks in one generation of the index. Two full generations take about 6 MB.
	indexBlocks = 1 << 16
	// maxDepth bounds the prompt blocks that are compared, and with them the time of a decision.
	maxDepth = 128
)

// engineSet is a set of engines. Scored assigns a bit to each engine that it tracks.
type engineSet [maxEngines / 64]uint64

func (s *engineSet) add(bit int)      { s[bit/64] |= 1 << (bit % 64) }
func (s *engineSet) remove(bit int)   { s[bit/64] &^= 1 << (bit % 64) }
func (s *engineSet) has(bit int) bool { return s[bit/64]&(1<<(bit%64)) != 0 }

// prefixIndex records which engines probably hold which prefix blocks. Two generations bound its memory: when the young
// one is full it replaces the old one, whose blocks are dropped. A block that is added again moves to the young one.
type prefixIndex struct {
	limit      int
	young, old map[uint64]engineSet
}

func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{limit: limit, young: map[uint64]engineSet{}, old: map[uint64]engineSet{}}
}

func (p *prefixIndex) lookup(block uint64) (engineSet, bool) {
	set, ok := p.young[block]
	if !ok {
		set, ok = p.old[block]
	}

	return set, ok
}

// depths sets the number of leading blocks that each engine holds, and returns the maximum. The caches match whole
// prefixes, so a block counts only if the engine holds all earlier ones.
func (p *prefixIndex) depths(blocks []uint64, depths *[maxEngines]uint8) int {
	*depths = [maxEngines]uint8{}
	blocks = blocks[:min(len(blocks), maxDepth)]

	var matching engineSet

	for i, block := range blocks {
		set, ok := p.lookup(block)
		if i == 0 {
			matching = set
		}

		remaining := uint64(0)

		for word := range matching {
			kept := matching[word] & set[word]
			for lost := matching[word] &^ kept; lost != 0; lost &= lost - 1 {
				depths[word*64+trailingZeros(lost)] = uint8(i)
			}

			matching[word] = kept
			remaining |= kept
		}

		if !ok || remaining == 0 {
			return i
		}
	}

	for word := range matching {
		for rest := matching[word]; rest != 0; rest &= rest - 1 {
			depths[word*64+trailingZeros(rest)] = uint8(len(blocks))
		}
	}

	return len(blocks)
}

func (p *prefixIndex) add(block uint64, bit int) {
	set, _ := p.lookup(block)
	set.add(bit)
	p.put(block, set)
}

func (p *prefixIndex) put(block uint64, set engineSet) {
	if _, ok := p.young[block]; !ok && len(p.young) >= p.limit {
		p.old, p.young = p.young, make(map[uint64]engineSet, p.limit/4)
	}

	p.young[block] = set
}

func (p *prefixIndex) remove(block uint64, bit int) {
	set, ok := p.lookup(block)
	if !ok || !set.has(bit) {
		return
	}

	set.remove(bit)

	if _, young := p.young[block]; young {
		p.young[block] = set
	} else {
		p.old[block] = set
	}
}

// removeEngine removes an engine from all blocks, so that its bit can be reused.
func (p *prefixIndex) removeEngine(bit int) {
	for _, generation := range []map[uint64]engineSet{p.young, p.old} {
		for block, set := range generation {
			if set.has(bit) {
				set.remove(bit)
				generation[block] = set
			}
		}
	}
}
