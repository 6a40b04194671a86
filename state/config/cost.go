package config

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// KindCostRule is the kind of the object that sets how the cost of a region's idle hosts is divided. Its name is the region.
const KindCostRule Kind = "costRule"

// IdleRule selects how the cost of idle hosts is divided among owners.
type IdleRule string

// The values of IdleRule.
const (
	// IdleByTokens divides in proportion to the tokens used in the same period, or equally if none were used.
	IdleByTokens IdleRule = "tokens"
	// IdleByShare divides in proportion to the reserved shares.
	IdleByShare IdleRule = "reserved"
	// IdleEqual divides equally among the owners that the rule names.
	IdleEqual IdleRule = "equal"
)

// CostRuleSpec is the payload of a cost rule, schema version 1.
type CostRuleSpec struct {
	Idle IdleRule `json:"idle"`
	// Shares names every owner that takes part. The value is the reserved share, which only IdleByShare uses.
	Shares map[apricotway.Owner]int64 `json:"shares"`
}

// maxShare bounds one share, so that sums of shares cannot overflow.
const maxShare = 1_000_000

func decodeCostRule(payload json.RawMessage) (any, error) {
	var spec CostRuleSpec
	if err := json.Unmarshal(payload, &spec); err != nil {
		return nil, errors.Wrap(ErrInvalidSpec, err.Error())
	}

	if spec.Idle != IdleByTokens && spec.Idle != IdleByShare && spec.Idle != IdleEqual {
		return nil, errors.Wrapf(ErrInvalidSpec, "idle rule %q", spec.Idle)
	}

	if len(spec.Shares) == 0 {
		return nil, errors.Wrap(ErrInvalidSpec, "shares must name the owners")
	}

	for owner, share := range spec.Shares {
		if owner == "" || share < 1 || share > maxShare {
			return nil, errors.Wrapf(ErrInvalidSpec, "share of owner %q must be from 1 to %d", owner, maxShare)
		}
	}

	return spec, nil
}

// CostRule returns the rule in force for a region, and its revision.
func (f *Fold) CostRule(region apricotway.Region) (CostRuleSpec, apricotway.Offset, bool) {
	rule, ok := f.current().costRules[region]
	return rule.spec, rule.revision, ok
}

// costRule is a rule in force with its revision.
type costRule struct {
	spec     CostRuleSpec
	revision apricotway.Offset
}
