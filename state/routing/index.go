package routing

const (
	// maxEngines bounds the engines whose caches one process tracks; a process's subset at full size is about 120.
	maxEngines = 256
	// indexBlocks bounds one generation of the index. Two generations take about 6 MB.
	indexBlocks = 1 << 16
	// maxDepth bounds the blocks of a prompt that are compared, so that the time of a decision is bounded.
	maxDepth = 128
)

// engineSet is a set of engine slots.
type engineSet [maxEngines / 64]uint64

func (s *engineSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *engineSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }
func (s *engineSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }

// prefixIndex tells which engines probably hold which prefix blocks. Memory is bounded by two generations: when the young
// one is full it becomes the old one, and blocks that are used again return to the young one.
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

// depths sets the number of leading blocks that each engine holds. It returns the greatest one.
func (p *prefixIndex) depths(blocks []uint64, depths *[maxEngines]uint8) int {
	*depths = [maxEngines]uint8{}
	blocks = blocks[:min(len(blocks), maxDepth)]

	var alive engineSet

	for i, block := range blocks {
		set, ok := p.lookup(block)
		if i == 0 {
			alive = set
		}

		left := uint64(0)

		for word := range alive {
			kept := alive[word] & set[word]
			for lost := alive[word] &^ kept; lost != 0; lost &= lost - 1 {
				depths[word*64+trailing(lost)] = uint8(i)
			}

			alive[word] = kept
			left |= kept
		}

		if !ok || left == 0 {
			return i
		}
	}

	for word := range alive {
		for rest := alive[word]; rest != 0; rest &= rest - 1 {
			depths[word*64+trailing(rest)] = uint8(len(blocks))
		}
	}

	return len(blocks)
}

func (p *prefixIndex) add(block uint64, slot int) {
	set, _ := p.lookup(block)
	set.add(slot)
	p.put(block, set)
}

func (p *prefixIndex) put(block uint64, set engineSet) {
	if _, ok := p.young[block]; !ok && len(p.young) >= p.limit {
		p.old, p.young = p.young, make(map[uint64]engineSet, p.limit/4)
	}

	p.young[block] = set
}

func (p *prefixIndex) remove(block uint64, slot int) {
	set, ok := p.lookup(block)
	if !ok || !set.has(slot) {
		return
	}

	set.remove(slot)

	if _, young := p.young[block]; young {
		p.young[block] = set
	} else {
		p.old[block] = set
	}
}

// removeEngine frees a slot for another engine.
func (p *prefixIndex) removeEngine(slot int) {
	for _, generation := range []map[uint64]engineSet{p.young, p.old} {
		for block, set := range generation {
			if set.has(slot) {
				set.remove(slot)
				generation[block] = set
			}
		}
	}
}
