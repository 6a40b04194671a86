package changeset

import "slices"

const (
	// maxChanges and maxChangesBytes bound the changes that a history keeps.
	maxChanges      = 64
	maxChangesBytes = 256 << 10
	// MaxChangeBytes is the size of the largest change that a history keeps. What changes more is told as a whole document, which is
	// compressed.
	MaxChangeBytes = 16 << 10
)

// History holds the newest document of a process, the changes that led to it, and a whole encoded document for processes that need more
// than these. It is not safe for concurrent use.
type History struct {
	newest  *Document
	changes []step
	// size is the size of all changes in bytes.
	size int
	// snapshot is the encoding of a document from which the changes lead to the newest one; empty until it is asked for.
	snapshot        []byte
	snapshotVersion uint64
}

// step is an encoded change.
type step struct {
	from    uint64
	content []byte
}

// Newest returns the newest document, nil before the first.
func (h *History) Newest() *Document { return h.newest }

// Advance makes a document the newest one.
func (h *History) Advance(next *Document) error {
	var content []byte

	if h.newest != nil {
		var err error
		if content, err = Between(h.newest, next).Encode(); err != nil {
			return err
		}
	}

	h.AdvanceBy(next, content)

	return nil
}

// AdvanceBy makes a document the newest one, to which an encoded change leads.
func (h *History) AdvanceBy(next *Document, change []byte) {
	if h.newest != nil && len(change) <= MaxChangeBytes {
		h.changes = append(h.changes, step{h.newest.Deployment.Version, change})
		h.size += len(change)
	} else {
		h.changes, h.size = nil, 0
	}

	h.newest = next

	for len(h.changes) > maxChanges || h.size > maxChangesBytes {
		h.size -= len(h.changes[0].content)
		h.changes = h.changes[1:]
	}
}

// After returns the encoded changes that lead on from a version, at most limit bytes of them, and false if they are not kept. It returns
// none for the newest version.
func (h *History) After(version uint64, limit int) ([][]byte, bool) {
	if h.newest == nil {
		return nil, false
	}

	first := slices.IndexFunc(h.changes, func(s step) bool { return s.from == version })
	if first < 0 {
		return nil, version == h.newest.Deployment.Version
	}

	var contents [][]byte

	for _, change := range h.changes[first:] {
		if limit -= len(change.content); limit < 0 {
			break
		}

		contents = append(contents, change.content)
	}

	return contents, len(contents) > 0
}

// Snapshot returns a whole encoded document and its version. It stays the same as long as changes lead from it to the newest one, so that a
// process that gets it in parts can finish while newer versions come.
func (h *History) Snapshot() (version uint64, content []byte, err error) {
	if h.newest == nil {
		return 0, nil, nil
	}

	if _, ok := h.After(h.snapshotVersion, MaxChangeBytes); !ok || len(h.snapshot) == 0 {
		content, err := h.newest.Encode()
		if err != nil {
			return 0, nil, err
		}

		h.snapshot, h.snapshotVersion = content, h.newest.Deployment.Version
	}

	return h.snapshotVersion, h.snapshot, nil
}
