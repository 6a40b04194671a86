package config

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/apricotway/apricotway"
)

// TokenDigest is the SHA-256 digest of a caller's token.
type TokenDigest [sha256.Size]byte

// view is an immutable snapshot of the configuration in force. Requests read it without a lock.
type view struct {
	services   map[apricotway.Service]ServiceSpec
	workspaces map[apricotway.Workspace]WorkspaceSpec
	fleets     map[apricotway.Region]FleetSpec
	releases   map[apricotway.Service]ReleaseSpec
	costRules  map[apricotway.Region]costRule
	// signers is nil if there is no signer object.
	signers map[string]SignerSpec
	// tokens holds the digests of the callers' tokens, keyed by their first eight bytes. Digests with the same key are
	// compared in constant time.
	tokens  map[uint64][]token
	objects []Status
}

type token struct {
	digest    TokenDigest
	workspace apricotway.Workspace
}

// Service returns the specification in force for a service.
func (f *Fold) Service(service apricotway.Service) (ServiceSpec, bool) {
	spec, ok := f.current().services[service]
	return spec, ok
}

// Workspace returns the specification in force for a workspace.
func (f *Fold) Workspace(workspace apricotway.Workspace) (WorkspaceSpec, bool) {
	spec, ok := f.current().workspaces[workspace]
	return spec, ok
}

// WorkspaceOf returns the workspace that a token belongs to. If several workspaces list the digest, it belongs to the one
// that was created first.
func (f *Fold) WorkspaceOf(digest TokenDigest) (apricotway.Workspace, bool) {
	for _, candidate := range f.current().tokens[digest.prefix()] {
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			return candidate.workspace, true
		}
	}

	return "", false
}

func (d TokenDigest) prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Status is the state of one object, as shown to operators.
type Status struct {
	Name

	Revision apricotway.Offset `json:"revision"`
	// InForce is the revision in force, 0 if none is.
	InForce       apricotway.Offset `json:"inForce"`
	SchemaVersion int               `json:"schemaVersion"`
	Deleted       bool              `json:"deleted,omitempty"`
	// Problem tells why the newest revision is not in force; it is empty if the revision is in force.
	Problem string          `json:"problem,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Objects returns the status of all objects, sorted by kind and name. Callers must not change the result.
func (f *Fold) Objects() []Status { return f.current().objects }

func (f *Fold) current() *view {
	if v := f.view.Load(); v != nil {
		return v
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	v := f.buildView()
	f.view.Store(v)

	return v
}

// buildView must be called with the lock held.
func (f *Fold) buildView() *view {
	v := &view{
		services:   map[apricotway.Service]ServiceSpec{},
		workspaces: map[apricotway.Workspace]WorkspaceSpec{},
		fleets:     map[apricotway.Region]FleetSpec{},
		releases:   map[apricotway.Service]ReleaseSpec{},
		costRules:  map[apricotway.Region]costRule{},
		tokens:     map[uint64][]token{},
		objects:    make([]Status, 0, len(f.objects)),
	}

	for _, name := range f.names() {
		current := f.objects[name]
		status := Status{
			Name: name, Revision: current.revision, InForce: current.specRevision,
			Deleted: current.deleted, Problem: current.problem,
		}

		if len(current.kept) > 0 {
			newest := current.kept[len(current.kept)-1]
			status.SchemaVersion, status.Spec = newest.SchemaVersion, newest.spec()
		}

		v.objects = append(v.objects, status)

		if name.Kind == KindSigner && !current.deleted && v.signers == nil {
			v.signers = map[string]SignerSpec{}
		}

		switch spec := current.spec.(type) {
		case ServiceSpec:
			v.services[apricotway.Service(name.Object)] = spec
		case WorkspaceSpec:
			v.workspaces[apricotway.Workspace(name.Object)] = spec
		case FleetSpec:
			v.fleets[apricotway.Region(name.Object)] = spec
		case ReleaseSpec:
			v.releases[apricotway.Service(name.Object)] = spec
		case CostRuleSpec:
			v.costRules[apricotway.Region(name.Object)] = costRule{spec: spec, revision: current.specRevision}
		case SignerSpec:
			v.signers[name.Object] = spec
		}
	}

	f.indexTokens(v)

	return v
}

func (f *Fold) indexTokens(v *view) {
	created := func(workspace apricotway.Workspace) apricotway.Offset {
		return f.objects[Name{Kind: KindWorkspace, Object: string(workspace)}].created
	}

	for workspace, spec := range v.workspaces {
		for _, text := range spec.TokenHashes {
			var digest TokenDigest
			if n, err := hex.Decode(digest[:], []byte(text)); err != nil || n != len(digest) || len(text) != 2*n {
				continue
			}

			v.tokens[digest.prefix()] = append(v.tokens[digest.prefix()], token{digest: digest, workspace: workspace})
		}
	}

	for _, bucket := range v.tokens {
		slices.SortFunc(bucket, func(a, b token) int { return cmp.Compare(created(a.workspace), created(b.workspace)) })
	}
}

// names returns the names of all objects, sorted. It must be called with the lock held.
func (f *Fold) names() []Name {
	names := make([]Name, 0, len(f.objects))
	for name := range f.objects {
		names = append(names, name)
	}

	slices.SortFunc(names, func(a, b Name) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Object, b.Object))
	})

	return names
}
