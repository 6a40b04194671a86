package scaling_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/scaling"
)

var (
	zones = []apricotway.Zone{"a", "b", "c", "d"}
	rule  = apricotway.CapacityRule{
		Min: 1, Max: 6, Boot: 4 * time.Second, ReclaimablePrice: 0.15,
		ZonePrices: map[apricotway.Zone]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}
	errRefused = errors.New("none available")
	// terms keep 12 engines without load.
	terms = scaling.Parameters{Least: 12, PrefillRate: 45000, Headroom: 5, Running: 40}
)

// simulatedCloud simulates the platform: engines serve after their boot time, and zones lose their reclaimable engines or
// refuse orders for a while.
type simulatedCloud struct {
	now     time.Time
	planner *scaling.Planner
	live    map[apricotway.Zone]scaling.Counts
	desired map[apricotway.Zone]scaling.Counts
	booting []boot
	// unavailableUntil holds the time until which a zone offers no reclaimable engines.
	unavailableUntil map[apricotway.Zone]time.Time
	orders           int
	// fewest is the lowest number of engines that served.
	fewest int
	// onDemandSeconds counts engine-seconds of on-demand engines.
	onDemandSeconds float64
}

type boot struct {
	at    time.Time
	order scaling.Order
	count int
}

func newSimulatedCloud(onDemand int) *simulatedCloud {
	c := &simulatedCloud{
		now: time.Unix(1000, 0), planner: scaling.New(terms), live: map[apricotway.Zone]scaling.Counts{},
		desired: map[apricotway.Zone]scaling.Counts{}, unavailableUntil: map[apricotway.Zone]time.Time{}, fewest: 1000,
	}
	for _, zone := range zones {
		c.live[zone] = scaling.Counts{OnDemand: onDemand}
		c.desired[zone] = c.live[zone]
	}

	return c
}

func (c *simulatedCloud) order(order scaling.Order) error {
	c.orders++

	counts, desired := c.live[order.Zone], c.desired[order.Zone]
	have := counts.OnDemand

	if order.Reclaimable {
		have = counts.Reclaimable

		if order.Count > have && c.now.Before(c.unavailableUntil[order.Zone]) {
			return errRefused
		}

		desired.Reclaimable = order.Count
	} else {
		desired.OnDemand = order.Count
	}

	c.desired[order.Zone] = desired

	switch {
	case order.Count > have:
		c.booting = append(c.booting, boot{c.now.Add(rule.Boot), order, order.Count})
	case order.Reclaimable:
		counts.Reclaimable = order.Count
	default:
		counts.OnDemand = order.Count
	}

	c.live[order.Zone] = counts

	return nil
}

// reclaim removes all reclaimable engines of a zone, which offers no new ones for the given time.
func (c *simulatedCloud) reclaim(zone apricotway.Zone, unavailable time.Duration) {
	counts := c.live[zone]
	counts.Reclaimable = 0
	c.live[zone] = counts
	c.unavailableUntil[zone] = c.now.Add(unavailable)
}

func (c *simulatedCloud) run(duration time.Duration, load scaling.Load) {
	const step = 500 * time.Millisecond

	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(step) {
		c.startBooted()

		serving := 0
		for _, counts := range c.live {
			serving += counts.Reclaimable + counts.OnDemand
			c.onDemandSeconds += float64(counts.OnDemand) * step.Seconds()
		}

		c.fewest = min(c.fewest, serving)

		for _, order := range c.planner.Plan(c.now, rule, c.live, load) {
			c.planner.RecordOrder(c.now, order, c.order(order))
		}
	}
}

func (c *simulatedCloud) startBooted() {
	rest := c.booting[:0]

	for _, b := range c.booting {
		counts := c.live[b.order.Zone]

		switch {
		case c.now.Before(b.at):
			rest = append(rest, b)
		case b.order.Reclaimable && b.count == c.desired[b.order.Zone].Reclaimable:
			counts.Reclaimable = b.count
		case !b.order.Reclaimable && b.count == c.desired[b.order.Zone].OnDemand:
			counts.OnDemand = b.count
		}

		c.live[b.order.Zone] = counts
	}

	c.booting = rest
}

func (c *simulatedCloud) total() (total scaling.Counts) {
	for _, counts := range c.live {
		total.Reclaimable += counts.Reclaimable
		total.OnDemand += counts.OnDemand
	}

	return total
}

// TestReplaceOnDemand simulates the first seconds of a day: on-demand engines serve until the reclaimable engines that replace
// them do, and no longer.
func TestReplaceOnDemand(t *testing.T) {
	c := newSimulatedCloud(3)
	c.run(20*time.Second, scaling.Load{})

	if got, want := c.total(), (scaling.Counts{Reclaimable: 12}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}

	if got, want := c.fewest, 12; got < want {
		t.Errorf("got a minimum of %d engines, want %d", got, want)
	}
}

// TestWave simulates two zones that lose their reclaimable engines six seconds apart and offer no new ones for a while. The
// other zones make up for them, the number of engines recovers, and few orders are placed.
func TestWave(t *testing.T) {
	c := newSimulatedCloud(3)
	c.run(20*time.Second, scaling.Load{})
	before := c.orders
	c.fewest = 1000

	c.reclaim("b", 14*time.Second)
	c.run(6*time.Second, scaling.Load{})
	c.reclaim("d", 14*time.Second)
	c.run(8*time.Second, scaling.Load{})

	if got, want := c.total().Reclaimable, 12; got < want {
		t.Errorf("got %d reclaimable engines during the wave, want %d", got, want)
	}

	if got, want := c.fewest, 6; got < want {
		t.Errorf("got a minimum of %d engines, want %d", got, want)
	}

	c.run(20*time.Second, scaling.Load{})

	if got, want := c.total(), (scaling.Counts{Reclaimable: 12}); got != want {
		t.Errorf("after the wave: got %+v, want %+v", got, want)
	}

	if got, want := c.orders-before, 40; got > want {
		t.Errorf("got %d orders, want at most %d", got, want)
	}
}

// TestAllZonesDry simulates a time in which all reclaimable engines were taken back and no zone offers new ones. On-demand
// engines replace them, and are released once the reclaimable ones are back.
func TestAllZonesDry(t *testing.T) {
	// A load that keeps 2.7 engines busy.
	load := scaling.Load{Prefill: 120000}
	c := newSimulatedCloud(3)
	c.run(20*time.Second, load)

	for _, zone := range zones {
		c.reclaim(zone, 20*time.Second)
	}

	c.run(10*time.Second, load)

	if got, want := c.total().OnDemand, 4; got < want {
		t.Errorf("got %d on-demand engines, want at least %d", got, want)
	}

	// Engines that are ordered but do not serve yet count as well: no more are ordered than the target requires.
	if got, want := c.total().OnDemand, 7; got > want {
		t.Errorf("got %d on-demand engines, want at most %d", got, want)
	}

	c.run(30*time.Second, load)

	if got, want := c.total(), (scaling.Counts{Reclaimable: 12}); got != want {
		t.Errorf("after the reclaim: got %+v, want %+v", got, want)
	}
}

// TestNoThrash guards against orders that follow every fluctuation of the load: the number of engines grows at once and shrinks
// slowly.
func TestNoThrash(t *testing.T) {
	c := newSimulatedCloud(3)
	c.run(20*time.Second, scaling.Load{})
	before := c.orders

	for range 10 {
		c.run(time.Second, scaling.Load{Prefill: 400000})
		c.run(3*time.Second, scaling.Load{})
	}

	if got, want := c.orders-before, 16; got > want {
		t.Errorf("got %d orders, want at most %d", got, want)
	}
}

// TestWithoutReclaimable covers a service whose zones never offer reclaimable engines.
func TestWithoutReclaimable(t *testing.T) {
	planner := scaling.New(terms)
	plain := rule
	plain.ReclaimablePrice = 0

	for _, order := range planner.Plan(time.Unix(1000, 0), plain, map[apricotway.Zone]scaling.Counts{}, scaling.Load{}) {
		if order.Reclaimable {
			t.Errorf("got order %+v, want on-demand engines only", order)
		}

		if order.Count < plain.Min || order.Count > plain.Max {
			t.Errorf("got %d engines, want %d to %d", order.Count, plain.Min, plain.Max)
		}
	}
}

// TestNewPlanner simulates the crash, under load, of the process that planned: its successor has measured nothing yet and must
// not release engines.
func TestNewPlanner(t *testing.T) {
	c := newSimulatedCloud(3)
	c.run(30*time.Second, scaling.Load{Prefill: 320000})
	before := c.total().Reclaimable
	c.planner = scaling.New(terms)
	c.fewest = 1000
	c.run(2*time.Second, scaling.Load{})
	c.run(10*time.Second, scaling.Load{Prefill: 320000})

	if got, want := c.fewest, before; got < want {
		t.Errorf("got a minimum of %d engines, want %d", got, want)
	}
}

// TestNeeded checks the number of engines for a load: it grows more slowly than the load, and long answers alone need engines.
func TestNeeded(t *testing.T) {
	for _, test := range []struct {
		load scaling.Load
		want int
	}{
		{scaling.Load{}, 12},
		{scaling.Load{Prefill: 180000}, 14},
		{scaling.Load{Prefill: 720000}, 36},
		{scaling.Load{Running: 800}, 20},
	} {
		if got := terms.Needed(test.load); got != test.want {
			t.Errorf("%+v: got %d engines, want %d", test.load, got, test.want)
		}
	}
}
