package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/template"

	"github.com/go-faster/errors"
)

// Target is the system size for which the page is computed. PromptBytes is the mean of a request, UsageInterval is in seconds.
type Target struct {
	Nodes             float64
	Engines           float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ConfigPerDay      float64
	ConfigObjects     float64
	Workspaces        float64
	// Subset is the number of nodes that have a given engine in their subset and read its load reports.
	Subset float64
	// RequestSeconds is the mean duration of a request. Multiplied by the request rate it gives the number of open streams.
	RequestSeconds float64
	PromptBytes    float64
	UsageInterval  float64
	FailuresPerDay float64
	RestartsPerDay float64
	LedgerShards   float64
	LiveKeys       float64
}

// DefaultTarget returns the size that users expect in two years. RequestSeconds follows from it: 5.8 million tokens over 16,000
// requests a second are 362 tokens per request, which take 20 s at 56 ms per token.
func DefaultTarget() Target {
	return Target{
		Nodes: 390, Engines: 7600, RequestsPerSecond: 16000, TokensPerSecond: 5.8e6, ConfigPerDay: 4400,
		ConfigObjects: 2000, Workspaces: 400, Subset: 6, RequestSeconds: 20, PromptBytes: 8000, UsageInterval: 10,
		FailuresPerDay: 95, RestartsPerDay: 1100, LedgerShards: 64, LiveKeys: 100000,
	}
}

// Budget is the limit on the resources that a node uses for control, as opposed to serving requests.
type Budget struct {
	CorePercent    float64
	MemoryMB       float64
	BytesPerSecond float64
}

// DefaultBudget returns the limit that users set.
func DefaultBudget() Budget { return Budget{CorePercent: 1.1, MemoryMB: 64, BytesPerSecond: 7000} }

const (
	bytesPerMB    = 1 << 20
	secondsPerDay = 86400.0
	microPerSec   = 1e6
	percent       = 100
)

// Row is one row of the page's tables.
type Row struct {
	Part      string
	State     string
	Messages  string
	CPU       string
	Memory    string
	Mechanism string
}

// Page holds the values that the template page.md.tmpl prints.
type Page struct {
	Target    Target
	Budget    Budget
	Relations []Relation
	Control   []Row
	Data      []Row
	// ControlCPU (percent of a core), ControlMemory (MB) and ControlBytes (bytes per second) are the sums of the control rows
	// other than load reports and cache events.
	ControlCPU, ControlMemory, ControlBytes float64
	// ReportCPU (percent of a core), ReportBytes (bytes per second) and Requests (per second) are the need of load reports and
	// cache events, which the sums leave out.
	ReportCPU, ReportBytes, Requests float64
	EnginesPerNode                   float64
	// Missing lists the relations that were not measured.
	Missing []Name
}

// Compute computes the page. Relations that were not measured are listed in Page.Missing, and their cells read "not measured".
func Compute(relations map[Name]Relation, target Target, budget Budget) (Page, error) {
	c := &computation{relations: relations, page: Page{Target: target, Budget: budget}}
	c.page.EnginesPerNode = target.Engines * target.Subset / target.Nodes

	c.addMembership()
	c.addConfiguration()
	c.addHostList()
	c.addLoadReports()
	c.addExchange()
	c.addUsage()
	c.addLedger()
	c.addDataPath()

	if c.err != nil {
		return Page{}, c.err
	}

	for _, relation := range relations {
		c.page.Relations = append(c.page.Relations, relation)
	}

	slices.SortFunc(c.page.Relations, func(a, b Relation) int { return strings.Compare(string(a.Name), string(b.Name)) })

	return c.page, nil
}

type computation struct {
	relations map[Name]Relation
	page      Page
	err       error
}

// estimate returns the need at a size. It returns false if the relation was not measured or no line fits it; the latter sets err.
func (c *computation) estimate(name Name, size float64) (float64, bool) {
	relation, ok := c.relations[name]
	if !ok {
		if !slices.Contains(c.page.Missing, name) {
			c.page.Missing = append(c.page.Missing, name)
		}

		return 0, false
	}

	value, err := relation.Estimate(size)
	if err != nil {
		c.err = errors.Wrap(err, "estimate need of a node")
		return 0, false
	}

	return value, true
}

const notMeasured = "not measured"

// formatNeed formats the need that a relation gives at a size, multiplied by scale, and adds it to sum unless that is nil.
func (c *computation) formatNeed(name Name, at float64, scale float64, unit string, sum *float64) string {
	value, ok := c.estimate(name, at)
	if !ok {
		return notMeasured
	}

	value = max(value*scale, 0)
	if sum != nil {
		*sum += value
	}

	return fmt.Sprintf("%.3g %s", value, unit)
}

func (c *computation) addMembership() {
	nodes := c.page.Target.Nodes
	c.page.Control = append(c.page.Control, Row{
		Part:     "membership",
		State:    fmt.Sprintf("%.0f members", nodes),
		Messages: c.formatNeed(MemberBytes, nodes, 1, "B/s", &c.page.ControlBytes),
		CPU:      c.formatNeed(MemberCPU, nodes, 1, "% of a core", &c.page.ControlCPU),
		Memory:   c.formatNeed(MemberMemory, nodes, 1, "MB", &c.page.ControlMemory),
		Mechanism: "one random probe a period, state piggybacked on probes with a bounded number of entries " +
			"(`state/member`); " + fmt.Sprintf("%.0f joins and %.0f failures a day are %.2g changes a second",
			c.page.Target.RestartsPerDay, c.page.Target.FailuresPerDay,
			(2*c.page.Target.RestartsPerDay+c.page.Target.FailuresPerDay)/secondsPerDay),
	})
}

func (c *computation) addConfiguration() {
	target := c.page.Target
	rate := target.ConfigPerDay / secondsPerDay
	// Every node reads every record once. A typical record takes about 600 bytes on the wire.
	const recordBytes = 600

	c.page.ControlBytes += rate * recordBytes
	c.page.Control = append(c.page.Control, Row{
		Part:      "configuration",
		State:     fmt.Sprintf("%.0f objects", target.ConfigObjects),
		Messages:  fmt.Sprintf("%.3g records/s, %.3g B/s", rate, rate*recordBytes),
		CPU:       c.formatNeed(ConfigApply, target.ConfigObjects, rate*percent/microPerSec, "% of a core", &c.page.ControlCPU),
		Memory:    c.formatNeed(ConfigMemory, target.ConfigObjects, 1.0/bytesPerMB, "MB", &c.page.ControlMemory),
		Mechanism: "every node follows the `config` stream with a long poll (`coordination/configfeed`); peers while the log is down",
	})
}

// measuredReadSeconds is the time between two reads of the host list in the measurement, which had a single process. At full size
// the processes take turns, and turnSeconds is the time between the reads of any two of them (state/inventory).
const (
	measuredReadSeconds = 0.5
	turnSeconds         = 1
)

func (c *computation) addHostList() {
	target := c.page.Target
	// The nodes take turns in reading the list, and each also reads it when it starts.
	readings := 1/(target.Nodes*turnSeconds) + target.RestartsPerDay/target.Nodes/secondsPerDay
	replaced := (target.RestartsPerDay + target.FailuresPerDay) / secondsPerDay

	c.page.Control = append(c.page.Control, Row{
		Part:  "host list",
		State: fmt.Sprintf("%.0f engines, %.0f in the subset", target.Engines, c.page.EnginesPerNode),
		Messages: c.formatNeed(InventoryBytes, target.Engines, readings, "B/s of readings", &c.page.ControlBytes) + ", " +
			c.formatNeed(HostChangeBytes, target.Nodes, replaced, "B/s of notices and changes", &c.page.ControlBytes),
		CPU: c.formatNeed(InventoryCPU, target.Engines, measuredReadSeconds*readings, "% of a core for readings", &c.page.ControlCPU) +
			", " + c.formatNeed(InventoryTurnsCPU, target.Engines, 1, "% between them", &c.page.ControlCPU),
		Memory: c.formatNeed(EngineMemory, target.Engines, 1.0/1024, "MB", &c.page.ControlMemory),
		Mechanism: fmt.Sprintf("one node after another reads the list, one every %d s, and tells the others of changes "+
			"(`coordination/inventory`); overlapping subsets by rendezvous hashing, %.0f nodes an engine (`state/placement`)",
			turnSeconds, target.Subset),
	})
}

// reportsPerSecond is how often per second a node reads an engine's load report, and likewise its cache events.
const reportsPerSecond = 4

func (c *computation) addLoadReports() {
	page := &c.page
	page.Requests = 2 * reportsPerSecond * page.EnginesPerNode
	page.Control = append(page.Control, Row{
		Part:  "load reports and cache events",
		State: fmt.Sprintf("%.0f engines", page.EnginesPerNode),
		Messages: fmt.Sprintf("%.0f requests/s, ", page.Requests) +
			c.formatNeed(ReportBytes, page.EnginesPerNode, 1, "B/s", &page.ReportBytes),
		CPU:       c.formatNeed(ReportCPU, page.EnginesPerNode, 1, "% of a core", &page.ReportCPU),
		Memory:    "with the host list",
		Mechanism: "own subset only, spread over the period, bounded concurrency (`coordination/inventory`)",
	})
}

// exchangeBytesPerSecond and exchangeCorePercent are upper bounds for exchanging work and demand between processes at full size.
// They follow from the size and number of the packets and the time of one division of the capacity (docs/serving.md).
const (
	exchangeBytesPerSecond = 3700
	exchangeCorePercent    = 0.2
)

func (c *computation) addExchange() {
	c.page.ControlBytes += exchangeBytesPerSecond
	c.page.ControlCPU += exchangeCorePercent
	c.page.Control = append(c.page.Control, Row{
		Part:      "work and demand of processes",
		State:     fmt.Sprintf("%.0f processes", c.page.Target.Nodes),
		Messages:  fmt.Sprintf("at most %d B/s", exchangeBytesPerSecond),
		CPU:       fmt.Sprintf("%.1f %% of a core", exchangeCorePercent),
		Memory:    notMeasured,
		Mechanism: "entries on the probes, bounded in each packet; docs/serving.md",
	})
}

func (c *computation) addUsage() {
	target := c.page.Target
	// A node serves only the workspaces whose shuffle shards include it. Two fifths of all workspaces is a high estimate of these.
	keys := target.Workspaces * 0.4

	c.page.Control = append(c.page.Control, Row{
		Part:     "usage batches",
		State:    fmt.Sprintf("%.0f keys", keys),
		Messages: c.formatNeed(UsageBytes, keys, 1/target.UsageInterval, "B/s", &c.page.ControlBytes) + fmt.Sprintf(", %.0f appends/s over all nodes", target.Nodes/target.UsageInterval),
		CPU:      c.formatNeed(UsageCPU, keys, percent/microPerSec/target.UsageInterval, "% of a core", &c.page.ControlCPU),
		Memory:   fmt.Sprintf("%.3g MB", keys*300/bytesPerMB),
		Mechanism: fmt.Sprintf("amounts of equal keys add up; one append a node and %.0f s (`coordination/usage`)",
			target.UsageInterval),
	})
}

func (c *computation) addLedger() {
	target := c.page.Target
	c.page.Control = append(c.page.Control, Row{
		Part:     "ledger shards",
		State:    fmt.Sprintf("%.0f live keys in %.0f shards", target.LiveKeys, target.LedgerShards),
		Messages: "2 records a non-idempotent call, grouped",
		CPU:      "with the calls",
		Memory:   "with the calls",
		Mechanism: "log order decides the owner; recovery of one shard takes " +
			c.formatNeed(LedgerRecovery, target.LiveKeys/target.LedgerShards, 1, "ms", nil) + " (`coordination/shard`)",
	})
}

func (c *computation) addDataPath() {
	target := c.page.Target
	requests := target.RequestsPerSecond / target.Nodes
	tokens := target.TokensPerSecond / target.Nodes
	streams := requests * target.RequestSeconds

	c.page.Data = append(
		c.page.Data,
		Row{
			Part: "requests", State: fmt.Sprintf("%.0f open", streams), Messages: fmt.Sprintf("%.3g requests/s", requests),
			CPU:       c.formatNeed(RequestCPU, requests, percent/microPerSec, "% of a core", nil),
			Memory:    c.formatNeed(StreamMemory, streams, 1.0/bytesPerMB, "MB", nil),
			Mechanism: "one goroutine an attempt; the delivered text is kept until the end (`protocol/completion`)",
		},
		Row{
			Part: "tokens", State: "-", Messages: fmt.Sprintf("%.3g tokens/s", tokens),
			CPU:       c.formatNeed(TokenCPU, tokens, percent/microPerSec, "% of a core", nil),
			Memory:    "-",
			Mechanism: "one event a token, flushed at once",
		},
		Row{
			Part: "request copies", State: fmt.Sprintf("%.0f copies", streams),
			Messages:  fmt.Sprintf("%.3g kB/s each way", requests*target.PromptBytes/1000),
			CPU:       "with the requests",
			Memory:    fmt.Sprintf("%.3g MB", streams*target.PromptBytes/bytesPerMB),
			Mechanism: "one copy in another zone before the first byte, progress in batches (`protocol/completion`)",
		},
		Row{
			Part: "engine choice", State: fmt.Sprintf("%.0f engines", c.page.EnginesPerNode),
			Messages: fmt.Sprintf("%.3g decisions/s", requests),
			CPU: c.formatNeed(DecisionTime, min(c.page.EnginesPerNode, c.page.Target.Engines), requests*percent/microPerSec,
				"% of a core", nil),
			Memory:    "with the host list",
			Mechanism: "one pass over the candidates of the service (`state/routing`)",
		},
	)
}

//go:embed page.md.tmpl
var pageTemplate string

// Write writes the page as Markdown.
func (p Page) Write(w io.Writer) error {
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"fit":     func(r Relation) (Line, error) { return r.Fit() },
		"ratio":   func(a, b float64) float64 { return a / b },
		"product": func(a, b float64) float64 { return a * b },
	}).Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse template page.md.tmpl")
	}

	return parsed.Execute(w, p)
}
