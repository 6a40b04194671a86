package config

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// KindRelease is the kind of the object that divides the requests of a model service among the versions of its model. The
// object's name is the service.
const KindRelease Kind = "release"

// DivideBy is the unit that stays on one version as long as the shares do not change.
type DivideBy string

// The values of DivideBy.
const (
	// DivideByRequest chooses a version for each request, regardless of its workspace.
	DivideByRequest DivideBy = "request"
	// DivideByWorkspace chooses one version for all requests of a workspace.
	DivideByWorkspace DivideBy = "workspace"
)

// ReleaseSpec is the payload of a release object, schema version 1.
type ReleaseSpec struct {
	// Shares are the relative shares of the versions. A version without a share, or with 0, gets no new requests; requests
	// that have started to stream stay on their version.
	Shares map[apricotway.ModelVersion]int `json:"shares"`
	// By defaults to DivideByRequest.
	By DivideBy `json:"by,omitempty"`
}

func decodeRelease(payload json.RawMessage) (any, error) {
	var spec ReleaseSpec
	if err := json.Unmarshal(payload, &spec); err != nil {
		return nil, errors.Wrap(ErrInvalidSpec, err.Error())
	}

	if !slices.Contains([]DivideBy{"", DivideByRequest, DivideByWorkspace}, spec.By) {
		return nil, errors.Wrapf(ErrInvalidSpec, "by %q is neither request nor workspace", spec.By)
	}

	sum := 0

	for version, share := range spec.Shares {
		// The bound prevents an overflow of the sum.
		if version == "" || share < 0 || share > math.MaxInt32 {
			return nil, errors.Wrapf(ErrInvalidSpec, "share %d of version %q", share, version)
		}

		sum += share
	}

	if sum == 0 {
		return nil, errors.Wrap(ErrInvalidSpec, "at least one version needs a share above zero")
	}

	return spec, nil
}

// Release returns the specification in force for a service. Without one, every version may serve every request.
func (f *Fold) Release(service apricotway.Service) (ReleaseSpec, bool) {
	spec, ok := f.current().releases[service]
	return spec, ok
}

// Version chooses the version for a new request among those for which usable returns true. It returns false if none of them
// has a share. All processes make the same choice. When shares change, only as many requests as necessary change versions.
func (s ReleaseSpec) Version(
	id apricotway.RequestID, workspace apricotway.Workspace, usable func(apricotway.ModelVersion) bool,
) (apricotway.ModelVersion, bool) {
	key := "request " + string(id)
	if s.By == DivideByWorkspace {
		key = "workspace " + string(workspace)
	}

	var chosen apricotway.ModelVersion

	least := math.Inf(1)

	// Weighted rendezvous hashing: if each version draws an exponentially distributed number with its share as the rate, the
	// probability that a version draws the least is proportional to its share.
	for version, share := range s.Shares {
		if share == 0 || !usable(version) {
			continue
		}

		uniform := (float64(xxhash.Sum64String(key+" "+string(version))>>11) + 1) / (1 << 53)

		score := -math.Log(uniform) / float64(share)
		if score < least || score == least && version < chosen {
			chosen, least = version, score
		}
	}

	return chosen, chosen != ""
}
