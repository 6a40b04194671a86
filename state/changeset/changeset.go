// Package changeset computes and applies the differences between versions of the operators' configuration, which are a small part of it, so
// that processes can tell each other about a new version without sending all of it.
package changeset

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// maxDocumentBytes bounds the encoding of a whole configuration that another process sends.
const maxDocumentBytes = 256 << 20

var (
	// ErrOtherVersion reports that a change doesn't lead from the configuration to which it is applied.
	ErrOtherVersion = errors.New("the change is one of another version")
	// ErrCorrupt reports that a change or a configuration is not what its digest says.
	ErrCorrupt = errors.New("configuration does not match its digest")
)

type digest [sha256.Size]byte

// Document is one version of the configuration with what is needed to compare it. It is immutable.
type Document struct {
	// Deployment must not be modified.
	Deployment *apricotway.Deployment
	// Position is the one in the operators' store after the record of this version.
	Position apricotway.StorePosition

	routes, services, workspaces []digest
}

// New returns the document of a configuration, which must not be modified afterwards.
func New(deployment *apricotway.Deployment, position apricotway.StorePosition) (*Document, error) {
	d := &Document{Deployment: deployment, Position: position}

	var err error

	if d.routes, err = digests(deployment.Routes); err != nil {
		return nil, err
	}

	if d.services, err = digests(deployment.Services); err != nil {
		return nil, err
	}

	d.workspaces, err = digests(deployment.Workspaces)

	return d, err
}

func digests[E any](elements []E) ([]digest, error) {
	sums := make([]digest, len(elements))

	for i := range elements {
		content, err := json.Marshal(&elements[i])
		if err != nil {
			return nil, errors.Wrap(err, "encode element of the configuration")
		}

		sums[i] = sha256.Sum256(content)
	}

	return sums, nil
}

// digest returns the digest of the whole configuration.
func (d *Document) digest() digest {
	hash := sha256.New()

	// Structs of numbers can always be encoded, and a hash takes all that is written.
	_ = json.NewEncoder(hash).Encode(struct {
		Version                      uint64
		Limits                       apricotway.CallerLimits
		Routes, Services, Workspaces int
	}{d.Deployment.Version, d.Deployment.Limits, len(d.routes), len(d.services), len(d.workspaces)})

	for _, sums := range [][]digest{d.routes, d.services, d.workspaces} {
		for _, sum := range sums {
			_, _ = hash.Write(sum[:])
		}
	}

	return digest(hash.Sum(nil))
}

// Change leads from one version of the configuration to another one.
type Change struct {
	From, To   uint64
	Position   apricotway.StorePosition
	Limits     apricotway.CallerLimits
	Routes     []Piece[apricotway.Route]
	Services   []Piece[apricotway.ServiceRule]
	Workspaces []Piece[apricotway.WorkspaceRule]
	// Digest is that of the whole configuration after the change. It also differs if one of the processes doesn't know a field that the
	// other one sets.
	Digest []byte
}

// Piece is a part of a list: Count elements of the list before the change from the index First on, followed by new elements.
type Piece[E any] struct {
	First, Count int
	New          []E `json:",omitempty"`
}

// Between returns the change from one document to another one.
func Between(from, to *Document) *Change {
	sum := to.digest()

	return &Change{
		From: from.Deployment.Version, To: to.Deployment.Version, Position: to.Position, Limits: to.Deployment.Limits, Digest: sum[:],
		Routes:     pieces(from.routes, to.routes, to.Deployment.Routes),
		Services:   pieces(from.services, to.services, to.Deployment.Services),
		Workspaces: pieces(from.workspaces, to.workspaces, to.Deployment.Workspaces),
	}
}

func pieces[E any](from, to []digest, elements []E) []Piece[E] {
	index := make(map[digest]int, len(from))
	for i, sum := range from {
		index[sum] = i
	}

	var result []Piece[E]

	for i, sum := range to {
		last := len(result) - 1
		at, known := index[sum]

		switch {
		case !known && last >= 0:
			result[last].New = append(result[last].New, elements[i])
		case !known:
			result = append(result, Piece[E]{New: elements[i : i+1 : i+1]})
		case last >= 0 && len(result[last].New) == 0 && result[last].First+result[last].Count == at:
			result[last].Count++
		default:
			result = append(result, Piece[E]{First: at, Count: 1})
		}
	}

	return result
}

// Apply returns the document after a change.
func (d *Document) Apply(change *Change) (*Document, error) {
	if change.From != d.Deployment.Version {
		return nil, errors.Wrapf(ErrOtherVersion, "from %d to %d, applied to %d", change.From, change.To, d.Deployment.Version)
	}

	next := &Document{
		Deployment: &apricotway.Deployment{Version: change.To, Limits: change.Limits}, Position: change.Position,
	}

	var err error

	if next.Deployment.Routes, next.routes, err = assemble(d.Deployment.Routes, d.routes, change.Routes); err != nil {
		return nil, err
	}

	if next.Deployment.Services, next.services, err = assemble(d.Deployment.Services, d.services, change.Services); err != nil {
		return nil, err
	}

	next.Deployment.Workspaces, next.workspaces, err = assemble(d.Deployment.Workspaces, d.workspaces, change.Workspaces)
	if err != nil {
		return nil, err
	}

	if sum := next.digest(); !bytes.Equal(sum[:], change.Digest) {
		return nil, errors.Wrapf(ErrCorrupt, "version %d", change.To)
	}

	return next, nil
}

func assemble[E any](elements []E, sums []digest, pieces []Piece[E]) ([]E, []digest, error) {
	var (
		list []E
		next []digest
	)

	for _, piece := range pieces {
		if piece.First < 0 || piece.Count < 0 || piece.First > len(elements) || piece.Count > len(elements)-piece.First {
			return nil, nil, errors.Wrapf(ErrCorrupt, "elements %d to %d of %d", piece.First, piece.First+piece.Count, len(elements))
		}

		end := piece.First + piece.Count
		list, next = append(list, elements[piece.First:end]...), append(next, sums[piece.First:end]...)

		added, err := digests(piece.New)
		if err != nil {
			return nil, nil, err
		}

		list, next = append(list, piece.New...), append(next, added...)
	}

	return list, next, nil
}

// Encode returns the change as JSON.
func (c *Change) Encode() ([]byte, error) {
	content, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode change of the configuration")
	}

	return content, nil
}

// DecodeChange decodes a change.
func DecodeChange(content []byte) (*Change, error) {
	change := &Change{}
	if err := json.Unmarshal(content, change); err != nil {
		return nil, errors.Wrap(err, "decode change of the configuration")
	}

	return change, nil
}

// wholeDocument is the encoding of a document.
type wholeDocument struct {
	Deployment *apricotway.Deployment
	Position   apricotway.StorePosition
	Digest     []byte
}

// Encode returns the whole document as compressed JSON.
func (d *Document) Encode() ([]byte, error) {
	var compressed bytes.Buffer

	sum := d.digest()
	writer := gzip.NewWriter(&compressed)

	if err := json.NewEncoder(writer).Encode(wholeDocument{d.Deployment, d.Position, sum[:]}); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}

	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}

	return compressed.Bytes(), nil
}

// Decode decodes a whole document.
func Decode(content []byte) (*Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}

	var whole wholeDocument
	if err := json.NewDecoder(io.LimitReader(reader, maxDocumentBytes)).Decode(&whole); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}

	if whole.Deployment == nil {
		return nil, errors.Wrap(ErrCorrupt, "no configuration")
	}

	d, err := New(whole.Deployment, whole.Position)
	if err != nil {
		return nil, err
	}

	if sum := d.digest(); !bytes.Equal(sum[:], whole.Digest) {
		return nil, errors.Wrapf(ErrCorrupt, "version %d", whole.Deployment.Version)
	}

	return d, nil
}
