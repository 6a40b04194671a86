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

// KindHosts is the kind of a record that tells for how long a region's hosts ran and at which price.
const KindHosts = "usageHosts"

const (
	// unitsPerPrice is the number of smallest units of money in the unit of the configuration's prices.
	unitsPerPrice = 1_000_000
	// microsecondsPerHour divides a time at a price for one hour.
	microsecondsPerHour = int64(time.Hour / time.Microsecond)
	// maxHostTime bounds the host time of a batch, maxPrice a price and maxUnits the cost of a batch, so that no sum
	// overflows: two thousand hosts for a year, and a million and a billion of the configuration's unit.
	maxHostTime = 2_000 * 366 * 24 * microsecondsPerHour
	maxPrice    = unitsPerPrice * 1_000_000
	maxUnits    = unitsPerPrice * 1_000_000_000
	// maxUse bounds the use of one workspace in one period, so that sums over all workspaces do not overflow.
	maxUse = 1 << 45
)

// hostSpace is the name space of the identifiers of host batches.
var hostSpace = uuid.MustParse("d1f0a1d2-6c1f-4a52-8f5c-7f0e6c1b9a34")

// HostTime is the time for which the hosts of one market ran at one price.
type HostTime struct {
	fleet.Market

	Microseconds int64 `json:"microseconds"`
	// Price is that of one host for one hour, in millionths of the configuration's unit.
	Price int64 `json:"price"`
	// Revision is that of the fleet object with the price.
	Revision apricotway.Offset `json:"revision"`
}

// Share is one owner's share of a rule.
type Share struct {
	Owner apricotway.Owner `json:"owner"`
	Share int64            `json:"share"`
}

// CostRule is a rule in force with its revision.
type CostRule struct {
	Revision apricotway.Offset `json:"revision"`
	Idle     config.IdleRule   `json:"idle"`
	// Shares are in the order of the owners.
	Shares []Share `json:"shares"`
}

// RuleOf returns the rule of a region in a configuration.
func RuleOf(fold *config.Fold, region apricotway.Region) (CostRule, bool) {
	spec, revision, ok := fold.CostRule(region)
	rule := CostRule{Revision: revision, Idle: spec.Idle}

	for owner, share := range spec.Shares {
		rule.Shares = append(rule.Shares, Share{Owner: owner, Share: share})
	}

	slices.SortFunc(rule.Shares, func(a, b Share) int { return cmp.Compare(a.Owner, b.Owner) })

	return rule, ok
}

// HostBatch is the use of a region's hosts in one period.
type HostBatch struct {
	Region apricotway.Region `json:"region"`
	// Previous is the offset of the region's host batch in force before this one, 0 in the first. Of several that name the
	// same one the first in the stream is in force and the others are void.
	Previous apricotway.Offset `json:"previous"`
	// From is the end of the period before.
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

// Record returns the record of the batch, signed when there is a key. Equal batches of a signer give equal records.
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
		SchemaVersion: SchemaVersion, Kind: KindHosts, ID: uuid.NewSHA1(hostSpace, payload).String(), Payload: payload,
	}, nil
}

// problem returns what is wrong with the amounts of a batch, or nothing.
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

	if units, _ := hostUnits(b.Hosts, 0); units.Cmp(big.NewInt(maxUnits)) > 0 {
		return "the cost is out of its bounds"
	}

	for _, share := range b.Rule.Shares {
		if share.Owner == "" || share.Share < 1 || share.Share > maxUse {
			return "a share is not above zero"
		}
	}

	return ""
}

// Cost is money in millionths of the configuration's unit.
type Cost struct {
	// Busy is the cost of the time in which requests held the hosts, Idle that of the rest.
	Busy int64 `json:"busy"`
	Idle int64 `json:"idle"`
}

// Payer is who bears a part of the cost of a region's hosts: a workspace, or an owner as such.
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

// RegionCost is the cost of all hosts of a region. It is the sum of its payers' entries.
type RegionCost struct {
	Region apricotway.Region `json:"region"`
	Cost
	// From and To are the time that the host batches cover.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Rule is that of the newest period.
	Rule CostRule `json:"rule"`
	// Newest is the offset of the newest host batch.
	Newest apricotway.Offset `json:"newest"`
	// Carry is what is left of the division by the hour; it counts in the next period.
	Carry int64 `json:"carry"`
}

// place is what the use of hosts is compared by. Usage does not tell whether a host was reclaimable.
type place struct {
	Zone         apricotway.Zone         `json:"zone"`
	MachineClass apricotway.MachineClass `json:"machineClass"`
}

// use is the use of one place by one workspace since the host batch before.
type use struct {
	place
	Workspace    apricotway.Workspace `json:"workspace"`
	Microseconds int64                `json:"microseconds"`
	Tokens       int64                `json:"tokens"`
}

func (u use) compare(other use) int {
	return cmp.Or(cmp.Compare(u.Zone, other.Zone), cmp.Compare(u.MachineClass, other.MachineClass),
		cmp.Compare(u.Workspace, other.Workspace))
}

// Split divides an amount in the ratio of the weights. The parts sum exactly to the amount; what the division leaves goes
// in single units to the largest remainders, and among equal ones to the first. Without any weight all parts are equal.
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

// hostUnits returns the price of the time in smallest units and what the division leaves.
func hostUnits(lines []HostTime, carry int64) (units *big.Int, left int64) {
	sum := big.NewInt(carry)
	for _, line := range lines {
		sum.Add(sum, new(big.Int).Mul(big.NewInt(line.Microseconds), big.NewInt(line.Price)))
	}

	quotient, remainder := sum.QuoRem(sum, big.NewInt(microsecondsPerHour), new(big.Int))

	return quotient, remainder.Int64()
}

// applyHosts takes a host batch. One that does not follow the region's batch in force is void.
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

// charge divides the cost of a batch, place by place.
func (f *Fold) charge(region *RegionCost, batch HostBatch) {
	lines := map[place][]HostTime{}
	for _, line := range batch.Hosts {
		at := place{Zone: line.Zone, MachineClass: line.MachineClass}
		lines[at] = append(lines[at], line)
	}

	places := make([]place, 0, len(lines))
	for at := range lines {
		places = append(places, at)
	}

	slices.SortFunc(places, func(a, b place) int { return use{place: a}.compare(use{place: b}) })

	var idle int64

	tokens := map[apricotway.Workspace]int64{}

	for _, at := range places {
		var running, held int64

		units, left := hostUnits(lines[at], region.Carry)
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

		// An engine that serves several requests at a time is held for more than the time that its host runs.
		held = min(held, running)
		parts := Split(units.Int64(), []int64{held, running - held})
		region.Busy += parts[0]
		idle += parts[1]

		for i, part := range Split(parts[0], weights) {
			f.pay(Payer{Region: batch.Region, Workspace: uses[i].Workspace}, Cost{Busy: part})
		}
	}

	region.Idle += idle
	f.chargeIdle(batch, idle, tokens)
}

// chargeIdle divides the cost of the idle time by the rule of the batch.
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
		f.pay(payers[i], Cost{Idle: part})
	}
}

func (f *Fold) pay(payer Payer, cost Cost) {
	sum := f.costs[payer]
	f.costs[payer] = Cost{Busy: sum.Busy + cost.Busy, Idle: sum.Idle + cost.Idle}
}

// addUse remembers the use of an accepted batch for the next host batch.
func (f *Fold) addUse(entry Entry) {
	at := place{Zone: entry.Zone, MachineClass: entry.MachineClass}
	if f.uses[at] == nil {
		f.uses[at] = map[apricotway.Workspace]use{}
	}

	u := f.uses[at][entry.Workspace]
	u.place, u.Workspace = at, entry.Workspace
	u.Microseconds = min(u.Microseconds+min(entry.EngineMicroseconds, maxUse), maxUse)
	u.Tokens = min(u.Tokens+min(entry.PromptTokens, maxUse)+min(entry.GeneratedTokens, maxUse), maxUse)
	f.uses[at][entry.Workspace] = u
}

func (f *Fold) takeUses(at place) []use {
	var uses []use
	for _, u := range f.uses[at] {
		uses = append(uses, u)
	}

	delete(f.uses, at)
	slices.SortFunc(uses, use.compare)

	return uses
}

// NextHosts returns the offset of a region's newest host batch and the time that its period ends.
func (f *Fold) NextHosts(region apricotway.Region) (apricotway.Offset, time.Time) {
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

// valid tells whether the division of costs can go on from the state.
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
		if f.uses[u.place] == nil {
			f.uses[u.place] = map[apricotway.Workspace]use{}
		}

		f.uses[u.place][u.Workspace] = u
	}
}

// PriceUnits returns a price of the configuration in smallest units.
func PriceUnits(price float64) int64 { return int64(math.Round(price * unitsPerPrice)) }

// FormatUnits returns an amount of smallest units in the configuration's unit.
func FormatUnits(units int64) string {
	fraction := strconv.FormatInt(unitsPerPrice+units%unitsPerPrice, 10)
	return strconv.FormatInt(units/unitsPerPrice, 10) + "." + fraction[1:]
}
