package account

import (
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"math"
	"math/big"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/fleet"
)

// KindHosts is the kind of a host batch: a record with the running time and the price of a region's hosts in one period.
const KindHosts = "usageHosts"

const (
	// millionthsPerUnit converts the configuration's currency unit to the smallest amount that is accounted.
	millionthsPerUnit = 1_000_000
	// microsecondsPerHour converts a price for one hour to a price for a microsecond.
	microsecondsPerHour = int64(time.Hour / time.Microsecond)
	// maxHostTime bounds the host time of a batch in microseconds (2,000 hosts for a year), maxPrice a price (a million
	// currency units) and maxBatchCost the cost of a batch (a billion currency units), so that no sum overflows.
	maxHostTime  = 2_000 * 366 * 24 * microsecondsPerHour
	maxPrice     = millionthsPerUnit * 1_000_000
	maxBatchCost = millionthsPerUnit * 1_000_000_000
	// maxUse bounds the microseconds and the tokens of one workspace in one period, and a share of a cost rule, so that sums
	// do not overflow.
	maxUse = 1 << 45
)

// hostBatchNamespace is the UUID namespace of the record IDs of host batches.
var hostBatchNamespace = uuid.MustParse("d1f0a1d2-6c1f-4a52-8f5c-7f0e6c1b9a34")

// HostTime is the total running time of the hosts of one market at one price.
type HostTime struct {
	fleet.Market

	Microseconds int64 `json:"microseconds"`
	// Price is the price of one host for one hour, in millionths of the configuration's currency unit.
	Price int64 `json:"price"`
	// Revision is the revision of the fleet object that the price was taken from.
	Revision apricotway.Offset `json:"revision"`
}

// Share is one owner's share in a cost rule.
type Share struct {
	Owner apricotway.Owner `json:"owner"`
	Share int64            `json:"share"`
}

// CostRule is a cost rule in force with its revision in the configuration.
type CostRule struct {
	Revision apricotway.Offset `json:"revision"`
	Idle     config.IdleRule   `json:"idle"`
	// Shares are sorted by owner.
	Shares []Share `json:"shares"`
}

// RuleOf returns a region's cost rule in a configuration. It reports false if there is none.
func RuleOf(fold *config.Fold, region apricotway.Region) (CostRule, bool) {
	spec, revision, ok := fold.CostRule(region)
	rule := CostRule{Revision: revision, Idle: spec.Idle}

	for owner, share := range spec.Shares {
		rule.Shares = append(rule.Shares, Share{Owner: owner, Share: share})
	}

	slices.SortFunc(rule.Shares, func(a, b Share) int { return cmp.Compare(a.Owner, b.Owner) })

	return rule, ok
}

// HostBatch is the payload of a record with the running time of a region's hosts in one period.
type HostBatch struct {
	Region apricotway.Region `json:"region"`
	// Previous is the offset of the region's preceding host batch in force, 0 in the first. If several batches have the same
	// Previous, the first one in the stream is in force and the others are ignored.
	Previous apricotway.Offset `json:"previous"`
	// From is the end of the preceding period.
	From  time.Time  `json:"from"`
	To    time.Time  `json:"to"`
	Hosts []HostTime `json:"hosts"`
	Rule  CostRule   `json:"rule"`

	Signer    string `json:"signer,omitempty"`
	Signature []byte `json:"signature,omitempty"`
}

func (b HostBatch) hash() (string, error) {
	b.Signature = nil
	return hashOf(b)
}

// Record returns the batch as a record, signed if key is not nil. Equal batches of a signer give equal records, IDs included.
func (b HostBatch) Record(signer string, key ed25519.PrivateKey) (apricotway.Record, error) {
	if key != nil {
		b.Signer = signer

		hash, err := b.hash()
		if err != nil {
			return apricotway.Record{}, err
		}

		b.Signature = ed25519.Sign(key, []byte(hash))
	}

	payload, err := json.Marshal(b)
	if err != nil {
		return apricotway.Record{}, errors.Wrap(err, "encode host batch")
	}

	return apricotway.Record{
		SchemaVersion: SchemaVersion, Kind: KindHosts, ID: uuid.NewSHA1(hostBatchNamespace, payload).String(), Payload: payload,
	}, nil
}

// problem describes the first invalid value of the batch; it is empty for a valid batch.
func (b HostBatch) problem() string {
	if b.Region == "" || b.To.Before(b.From) || len(b.Rule.Shares) == 0 {
		return "region, period or owners are not valid"
	}

	left := maxHostTime

	for _, line := range b.Hosts {
		if line.Microseconds < 0 || line.Microseconds > left || line.Price < 0 || line.Price > maxPrice {
			return "a time or a price is out of its bounds"
		}

		left -= line.Microseconds
	}

	if units, _ := hostCost(b.Hosts, 0); units.Cmp(big.NewInt(maxBatchCost)) > 0 {
		return "the cost is out of its bounds"
	}

	for _, share := range b.Rule.Shares {
		if share.Owner == "" || share.Share < 1 || share.Share > maxUse {
			return "a share is not above zero"
		}
	}

	return ""
}

// Cost is an amount of money in millionths of the configuration's currency unit.
type Cost struct {
	// Busy is the cost of the time in which requests occupied the hosts, Idle that of the remaining time.
	Busy int64 `json:"busy"`
	Idle int64 `json:"idle"`
}

// Payer is charged a part of the cost of a region's hosts. It is a workspace, or an owner if Workspace is empty.
type Payer struct {
	Region    apricotway.Region    `json:"region"`
	Workspace apricotway.Workspace `json:"workspace,omitempty"`
	Owner     apricotway.Owner     `json:"owner,omitempty"`
}

// CostEntry is the cost of one payer.
type CostEntry struct {
	Payer
	Cost
}

// RegionCost is the cost of all hosts of a region. It equals the sum of its payers' entries.
type RegionCost struct {
	Region apricotway.Region `json:"region"`
	Cost
	// From and To delimit the time that the host batches cover.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Rule is the rule of the newest period.
	Rule CostRule `json:"rule"`
	// Newest is the offset of the newest host batch in force.
	Newest apricotway.Offset `json:"newest"`
	// Carry is the remainder of the division by microsecondsPerHour; it is added in the next period.
	Carry int64 `json:"carry"`
}

// placement groups hosts and usage for the division of costs. Usage does not record whether a host was reclaimable, so
// reclaimable and other hosts are in one group.
type placement struct {
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
}

// use is the usage of one placement by one workspace since the preceding host batch.
type use struct {
	placement
	Workspace    apricotway.Workspace `json:"workspace"`
	Microseconds int64                `json:"microseconds"`
	Tokens       int64                `json:"tokens"`
}

func (u use) compare(other use) int {
	return cmp.Or(cmp.Compare(u.Zone, other.Zone), cmp.Compare(u.MachineClass, other.MachineClass),
		cmp.Compare(u.Workspace, other.Workspace))
}

// Split divides an amount in proportion to the weights by the largest remainder method. The parts sum exactly to the amount;
// the units that rounding down leaves go to the parts with the largest remainders, and among equal ones to the first. If all
// weights are zero, the parts are equal but for rounding.
func Split(amount int64, weights []int64) []int64 {
	parts := make([]int64, len(weights))
	if len(parts) == 0 {
		return parts
	}

	sum := new(big.Int)
	for _, weight := range weights {
		sum.Add(sum, big.NewInt(weight))
	}

	if sum.Sign() == 0 {
		return Split(amount, slices.Repeat([]int64{1}, len(weights)))
	}

	remainders := make([]*big.Int, len(weights))
	order := make([]int, len(weights))
	left := amount

	for i, weight := range weights {
		quotient, remainder := new(big.Int).QuoRem(
			new(big.Int).Mul(big.NewInt(amount), big.NewInt(weight)), sum, new(big.Int))
		parts[i], remainders[i], order[i] = quotient.Int64(), remainder, i
		left -= parts[i]
	}

	slices.SortStableFunc(order, func(a, b int) int { return remainders[b].Cmp(remainders[a]) })

	for _, i := range order[:left] {
		parts[i]++
	}

	return parts
}

// hostCost returns the cost of the host times, in millionths of the currency unit, and the remainder of the division by the
// hour. Carry is the remainder of the preceding calculation.
func hostCost(lines []HostTime, carry int64) (units *big.Int, left int64) {
	sum := big.NewInt(carry)
	for _, line := range lines {
		sum.Add(sum, new(big.Int).Mul(big.NewInt(line.Microseconds), big.NewInt(line.Price)))
	}

	quotient, remainder := sum.QuoRem(sum, big.NewInt(microsecondsPerHour), new(big.Int))

	return quotient, remainder.Int64()
}

// applyHosts applies a host batch. A batch that does not follow the region's batch in force is ignored.
func (f *Fold) applyHosts(record apricotway.StoredRecord) {
	var batch HostBatch
	if record.SchemaVersion != SchemaVersion || json.Unmarshal(record.Payload, &batch) != nil {
		f.batchFault(record, Batch{}, FaultMalformed, "no valid host batch")
		return
	}

	hash, err := batch.hash()
	if err != nil {
		f.batchFault(record, Batch{}, FaultMalformed, err.Error())
		return
	}

	if detail := f.signers.check(batch.Signer, hash, batch.Signature); detail != "" {
		f.batchFault(record, Batch{}, FaultSignature, detail)
		return
	}

	if detail := batch.problem(); detail != "" {
		f.batchFault(record, Batch{}, FaultMalformed, detail)
		return
	}

	region := f.regions[batch.Region]
	if region == nil {
		region = &RegionCost{Region: batch.Region, From: batch.From, To: batch.From}
		if f.partial() {
			region.Newest = batch.Previous
		}

		f.regions[batch.Region] = region
	}

	if batch.Previous != region.Newest {
		return
	}

	if !batch.From.Equal(region.To) {
		f.batchFault(record, Batch{}, FaultChain, "the period does not begin with the end of the one before")
		return
	}

	if f.checkHosts != nil {
		if detail := f.checkHosts(batch); detail != "" {
			f.faults = append(f.faults, Fault{Offset: record.Offset, Kind: FaultHosts, Detail: detail})
		}
	}

	region.Newest, region.To, region.Rule = record.Offset, batch.To, batch.Rule
	f.charge(region, batch)
}

// charge divides the cost of a batch among its payers, one placement at a time. The part of the running time in which requests
// occupied the hosts is charged to their workspaces in proportion to that time; the rest is charged by chargeIdle.
func (f *Fold) charge(region *RegionCost, batch HostBatch) {
	lines := map[placement][]HostTime{}
	for _, line := range batch.Hosts {
		at := placement{Zone: line.Zone, MachineClass: line.MachineClass}
		lines[at] = append(lines[at], line)
	}

	places := make([]placement, 0, len(lines))
	for at := range lines {
		places = append(places, at)
	}

	slices.SortFunc(places, func(a, b placement) int { return use{placement: a}.compare(use{placement: b}) })

	var idle int64

	tokens := map[apricotway.Workspace]int64{}

	for _, at := range places {
		var running, held int64

		units, left := hostCost(lines[at], region.Carry)
		region.Carry = left

		for _, line := range lines[at] {
			running += line.Microseconds
		}

		uses := f.takeUses(at)
		weights := make([]int64, len(uses))

		for i, u := range uses {
			weights[i] = u.Microseconds
			held += u.Microseconds
			tokens[u.Workspace] += u.Tokens
		}

		// An engine that serves several requests at the same time accounts more time than its host runs.
		held = min(held, running)
		parts := Split(units.Int64(), []int64{held, running - held})
		region.Busy += parts[0]
		idle += parts[1]

		for i, part := range Split(parts[0], weights) {
			f.addCost(Payer{Region: batch.Region, Workspace: uses[i].Workspace}, Cost{Busy: part})
		}
	}

	region.Idle += idle
	f.chargeIdle(batch, idle, tokens)
}

// chargeIdle divides the cost of the idle time by the cost rule of the batch. If the rule divides by tokens and none were used,
// the owners pay equal parts.
func (f *Fold) chargeIdle(batch HostBatch, idle int64, tokens map[apricotway.Workspace]int64) {
	var (
		payers  []Payer
		weights []int64
		used    int64
	)

	if batch.Rule.Idle == config.IdleByTokens {
		for workspace, count := range tokens {
			payers = append(payers, Payer{Region: batch.Region, Workspace: workspace})
			used += count
		}

		slices.SortFunc(payers, func(a, b Payer) int { return cmp.Compare(a.Workspace, b.Workspace) })

		for _, payer := range payers {
			weights = append(weights, tokens[payer.Workspace])
		}
	}

	if used == 0 {
		payers, weights = nil, nil

		for _, share := range batch.Rule.Shares {
			weight := int64(1)
			if batch.Rule.Idle == config.IdleByShare {
				weight = share.Share
			}

			payers = append(payers, Payer{Region: batch.Region, Owner: share.Owner})
			weights = append(weights, weight)
		}
	}

	for i, part := range Split(idle, weights) {
		f.addCost(payers[i], Cost{Idle: part})
	}
}

func (f *Fold) addCost(payer Payer, cost Cost) {
	sum := f.costs[payer]
	f.costs[payer] = Cost{Busy: sum.Busy + cost.Busy, Idle: sum.Idle + cost.Idle}
}

// addUse adds the usage of an accepted batch to what the next host batch divides costs by.
func (f *Fold) addUse(entry Entry) {
	at := placement{Zone: entry.Zone, MachineClass: entry.MachineClass}
	if f.uses[at] == nil {
		f.uses[at] = map[apricotway.Workspace]use{}
	}

	u := f.uses[at][entry.Workspace]
	u.placement, u.Workspace = at, entry.Workspace
	u.Microseconds = min(u.Microseconds+min(entry.EngineMicroseconds, maxUse), maxUse)
	u.Tokens = min(u.Tokens+min(entry.PromptTokens, maxUse)+min(entry.GeneratedTokens, maxUse), maxUse)
	f.uses[at][entry.Workspace] = u
}

// takeUses returns and removes the usage of a placement since the preceding host batch.
func (f *Fold) takeUses(at placement) []use {
	var uses []use
	for _, u := range f.uses[at] {
		uses = append(uses, u)
	}

	delete(f.uses, at)
	slices.SortFunc(uses, use.compare)

	return uses
}

// NextHostPeriod returns the Previous and From values of a region's next host batch: the offset of its newest host batch in force
// and the end of that batch's period.
func (f *Fold) NextHostPeriod(region apricotway.Region) (apricotway.Offset, time.Time) {
	if current := f.regions[region]; current != nil {
		return current.Newest, current.To
	}

	return 0, time.Time{}
}

// hostState is the part of a snapshot that holds the cost of hosts.
type hostState struct {
	Regions []RegionCost `json:"regions"`
	Costs   []CostEntry  `json:"costs"`
	Uses    []use        `json:"uses"`
}

func (f *Fold) hostState() hostState {
	state := hostState{Regions: []RegionCost{}, Costs: []CostEntry{}, Uses: []use{}}
	for _, region := range f.regions {
		state.Regions = append(state.Regions, *region)
	}

	for payer, cost := range f.costs {
		state.Costs = append(state.Costs, CostEntry{Payer: payer, Cost: cost})
	}

	for _, uses := range f.uses {
		for _, u := range uses {
			state.Uses = append(state.Uses, u)
		}
	}

	slices.SortFunc(state.Regions, func(a, b RegionCost) int { return cmp.Compare(a.Region, b.Region) })
	slices.SortFunc(state.Costs, func(a, b CostEntry) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Owner, b.Owner))
	})
	slices.SortFunc(state.Uses, use.compare)

	return state
}

// valid reports whether all values are in the bounds that the fold keeps. Values outside, from a forged statement, would make
// the next host batch panic.
func (s hostState) valid() bool {
	return !slices.ContainsFunc(s.Regions, func(region RegionCost) bool {
		return region.Carry < 0 || region.Carry >= microsecondsPerHour
	}) && !slices.ContainsFunc(s.Uses, func(u use) bool {
		return u.Microseconds < 0 || u.Microseconds > maxUse || u.Tokens < 0 || u.Tokens > maxUse
	})
}

func (f *Fold) restoreHosts(state hostState) {
	for _, region := range state.Regions {
		f.regions[region.Region] = &region
	}

	for _, entry := range state.Costs {
		f.costs[entry.Payer] = entry.Cost
	}

	for _, u := range state.Uses {
		if f.uses[u.placement] == nil {
			f.uses[u.placement] = map[apricotway.Workspace]use{}
		}

		f.uses[u.placement][u.Workspace] = u
	}
}

// PriceInMillionths converts a price of the configuration to millionths of the currency unit.
func PriceInMillionths(price float64) int64 { return int64(math.Round(price * millionthsPerUnit)) }

// FormatMillionths formats an amount in millionths as a decimal number of currency units.
func FormatMillionths(units int64) string {
	fraction := strconv.FormatInt(millionthsPerUnit+units%millionthsPerUnit, 10)
	return strconv.FormatInt(units/millionthsPerUnit, 10) + "." + fraction[1:]
}
