package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/coordination/configfeed"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/transport/httpjson"
	"github.com/apricotway/apricotway/transport/logservice"
)

// pollInterval is the time between two requests to the operator address while apply waits for members to apply the changes.
const pollInterval = 100 * time.Millisecond

// configOptions holds the options common to the config commands.
type configOptions struct {
	Log      string        `long:"log" value-name:"ADDR" description:"address of the log service"`
	Operator string        `long:"operator" value-name:"ADDR" description:"operator address of any process"`
	Token    string        `long:"token" env:"APRICOTWAY_OPERATOR_TOKEN" description:"operator's token"`
	JSON     bool          `long:"json" description:"print JSON for programs"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"longest time for the whole command"`
}

// context returns a context that ends with the timeout or at SIGTERM or SIGINT.
func (o *configOptions) context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)

	return ctx, func() { cancel(); stop() }
}

func (o *configOptions) logClient() (*logservice.Client, error) {
	address, err := netip.ParseAddrPort(o.Log)
	if err != nil {
		return nil, errors.Wrap(err, "parse --log")
	}

	return logservice.New(address), nil
}

// get reads a JSON document from the operators' API.
func (o *configOptions) get(ctx context.Context, path string, result any) error {
	address, err := netip.ParseAddrPort(o.Operator)
	if err != nil {
		return errors.Wrap(err, "parse --operator")
	}

	transport := &tokenTransport{token: o.Token, next: httpjson.NewTransport()}

	return httpjson.Do(ctx, transport, http.MethodGet, httpjson.URL(address, path), nil, result)
}

// print prints the document as JSON if --json is set, otherwise the rows as a table.
func (o *configOptions) print(document any, rows [][]string) error {
	if o.JSON {
		return printJSON(document)
	}

	return printTable(rows)
}

// entry is a record of the configuration stream with the verdict on it.
type entry struct {
	apricotway.StoredRecord

	Object   string            `json:"object"`
	Replaces apricotway.Offset `json:"replaces"`
	Verdict  config.Verdict    `json:"verdict"`
}

// history reads the configuration stream. It holds the resulting configuration and the verdict on each record except checkpoints.
type history struct {
	fold    *config.Fold
	entries []entry
}

// Next implements journal.State.
func (h *history) Next() apricotway.Offset { return h.fold.Next() }

// Restore implements journal.State.
func (h *history) Restore(state []byte) error { return h.fold.Restore(state) }

// Fold implements journal.State.
func (h *history) Fold(records []apricotway.StoredRecord) {
	for _, record := range records {
		var change config.Change
		// The error is ignored, since Apply gives a record that cannot be decoded the verdict malformed.
		_ = json.Unmarshal(record.Payload, &change)

		e := entry{StoredRecord: record, Object: change.Object, Replaces: change.Replaces, Verdict: h.fold.Apply(record)}
		if e.Verdict != config.VerdictCheckpoint {
			h.entries = append(h.entries, e)
		}
	}
}

// find returns the entry of the record with the identifier, or nil.
func (h *history) find(id string) *entry {
	for i := range h.entries {
		if h.entries[i].ID == id {
			return &h.entries[i]
		}
	}

	return nil
}

// read reads the stream until done reports true when its end is reached.
func (h *history) read(ctx context.Context, log apricotway.Log, done func() bool) error {
	follower := journal.NewFollower(log, apricotway.StreamConfig, h, journal.WithRememberedIDs(0))

	for {
		end, err := follower.Step(ctx, 0)
		if err != nil {
			return err
		}

		if end && done() {
			return nil
		}
	}
}

func readHistory(ctx context.Context, log apricotway.Log) (*history, error) {
	h := &history{fold: config.New()}
	err := h.read(ctx, log, func() bool { return true })

	return h, err
}

// document is one object in the file that apply reads.
type document struct {
	Kind          config.Kind `json:"kind"`
	Object        string      `json:"object"`
	SchemaVersion int         `json:"schemaVersion"`
	// Replaces is the revision that the change is based on. If the file has none, it is the current revision.
	Replaces *apricotway.Offset `json:"replaces"`
	Deleted  bool               `json:"deleted"`
	Spec     json.RawMessage    `json:"spec"`
}

func readDocuments(path string) ([]document, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file of records")
	}

	if content, err = hujson.Standardize(content); err != nil {
		return nil, errors.Wrap(err, path)
	}

	var documents []document
	if err := json.Unmarshal(content, &documents); err != nil {
		return nil, errors.Wrap(err, path)
	}

	for i := range documents {
		d := &documents[i]
		if d.SchemaVersion == 0 {
			d.SchemaVersion = 1
		}

		if d.Object == "" {
			return nil, errors.Errorf("%s: record %d: field object is missing or empty", path, i+1)
		}

		if err := config.Check(d.Kind, d.SchemaVersion, d.Spec); err != nil && !d.Deleted && !errors.Is(err, config.ErrUnknownSchema) {
			return nil, errors.Wrapf(err, "%s: %s %s", path, d.Kind, d.Object)
		}
	}

	return documents, nil
}

type configApply struct {
	configOptions

	Positional struct {
		File string `positional-arg-name:"FILE" description:"JSON list of records, comments allowed"`
	} `positional-args:"yes" required:"yes"`
}

// outcome is the result that apply prints.
type outcome struct {
	Changes []entry `json:"changes"`
	// Missing lists the live members that had not reported the changes when the time was over.
	Missing []string `json:"missing,omitempty"`
}

// Execute implements flags.Commander.
func (c *configApply) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()

	documents, err := readDocuments(c.Positional.File)
	if err != nil {
		return err
	}

	log, err := c.logClient()
	if err != nil {
		return err
	}

	seen, err := readHistory(ctx, log)
	if err != nil {
		return err
	}

	result, err := c.publish(ctx, log, seen, documents)
	if err == nil {
		result.Missing, err = c.awaitMembers(ctx, seen)
	}

	if printErr := c.print(result, entryTable(result.Changes)); printErr != nil {
		return printErr
	}

	return err
}

// publish appends the records one at a time and reads each back, so that the next one can name the revision that it replaces.
func (c *configApply) publish(
	ctx context.Context, log apricotway.Log, seen *history, documents []document,
) (outcome, error) {
	var result outcome

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	supervisor := suture.NewSimple("apply")
	supervisor.ServeBackground(ctx)
	writer := journal.NewWriter(supervisor, log)

	for _, d := range documents {
		change := config.Change{Object: d.Object, Deleted: d.Deleted, Spec: d.Spec}
		if change.Replaces = seen.fold.RevisionOf(config.Name{Kind: d.Kind, Object: d.Object}); d.Replaces != nil {
			change.Replaces = *d.Replaces
		}

		payload, err := json.Marshal(change)
		if err != nil {
			return result, errors.Wrap(err, "encode configuration change")
		}

		id := uuid.NewString()
		record := apricotway.Record{SchemaVersion: d.SchemaVersion, Kind: string(d.Kind), ID: id, Payload: payload}

		if _, err := writer.Append(ctx, apricotway.StreamConfig, record); err != nil {
			return result, errors.Wrapf(err, "append %s %s", d.Kind, d.Object)
		}

		if err := seen.read(ctx, log, func() bool { return seen.find(id) != nil }); err != nil {
			return result, errors.Wrap(err, "read back the appended record")
		}

		e := seen.find(id)
		result.Changes = append(result.Changes, *e)

		if e.Verdict != config.VerdictAccepted {
			return result, errors.Errorf("%s %s: %s: revision %d was replaced by another change; the revision is now %d",
				d.Kind, d.Object, e.Verdict, change.Replaces, seen.fold.RevisionOf(config.Name{Kind: d.Kind, Object: d.Object}))
		}
	}

	return result, nil
}

// awaitMembers waits until every live member reports that it has read the stream to the end of the changes. It returns the members
// that did not.
func (c *configApply) awaitMembers(ctx context.Context, seen *history) ([]string, error) {
	if c.Operator == "" {
		return nil, nil
	}

	want := seen.Next()

	// missing keeps the result of the last successful request, since the timeout may end a later one. Positions never decrease,
	// so a member that has reached the position once counts as reached, even if a later request gets no response from it.
	var missing []string

	reached := map[apricotway.NodeID]bool{}

	for {
		var members []configfeed.Revisions

		err := c.get(ctx, "/v1/config/revisions?next="+formatOffset(want), &members)
		if err == nil {
			if missing = membersBehind(members, want, reached); len(missing) == 0 {
				return nil, nil
			}
		}

		select {
		case <-time.After(pollInterval):
			continue
		case <-ctx.Done():
		}

		if err != nil && len(missing) == 0 {
			return nil, errors.Wrap(err, "the changes are accepted, but the members' revisions could not be read")
		}

		return missing, errors.Errorf("the changes are accepted, but not in force on: %s", strings.Join(missing, ", "))
	}
}

// membersBehind returns the members that are not known to have reached the position, and records those that have in reached.
func membersBehind(members []configfeed.Revisions, want apricotway.Offset, reached map[apricotway.NodeID]bool) []string {
	var names []string

	for _, member := range members {
		if member.Failure == "" && member.Next >= want {
			reached[member.Node] = true
		}

		if !reached[member.Node] {
			names = append(names, string(member.Node))
		}
	}

	return names
}

func entryTable(entries []entry) [][]string {
	table := [][]string{{"REVISION", "KIND", "OBJECT", "REPLACES", "SCHEMA", "VERDICT"}}
	for _, e := range entries {
		table = append(table, []string{
			formatOffset(e.Offset), e.Kind, e.Object, formatOffset(e.Replaces), strconv.Itoa(e.SchemaVersion), string(e.Verdict),
		})
	}

	return table
}

func formatOffset(offset apricotway.Offset) string { return strconv.FormatUint(uint64(offset), 10) }

// selection holds the arguments that select objects by kind and name; an empty one matches everything.
type selection struct {
	Positional struct {
		Kind   string `positional-arg-name:"KIND" description:"kind of the objects"`
		Object string `positional-arg-name:"OBJECT" description:"name of the object"`
	} `positional-args:"yes"`
}

func (s *selection) matches(kind, object string) bool {
	return (s.Positional.Kind == "" || s.Positional.Kind == kind) &&
		(s.Positional.Object == "" || s.Positional.Object == object)
}

type configGet struct {
	configOptions
	selection
}

// Execute implements flags.Commander.
func (c *configGet) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()

	var all []config.Status

	if c.Operator != "" {
		if err := c.get(ctx, "/v1/config", &all); err != nil {
			return err
		}
	} else {
		log, err := c.logClient()
		if err != nil {
			return err
		}

		seen, err := readHistory(ctx, log)
		if err != nil {
			return err
		}

		all = seen.fold.Objects()
	}

	chosen := []config.Status{}

	for _, status := range all {
		if c.matches(string(status.Kind), status.Object) {
			chosen = append(chosen, status)
		}
	}

	table := [][]string{{"KIND", "OBJECT", "REVISION", "IN FORCE", "SCHEMA", "DELETED", "PROBLEM", "SPEC"}}
	for _, s := range chosen {
		table = append(table, []string{
			string(s.Kind), s.Object, formatOffset(s.Revision), formatOffset(s.InForce), strconv.Itoa(s.SchemaVersion),
			strconv.FormatBool(s.Deleted), s.Problem, string(s.Spec),
		})
	}

	return c.print(chosen, table)
}

type configHistory struct {
	configOptions
	selection
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()

	log, err := c.logClient()
	if err != nil {
		return err
	}

	seen, err := readHistory(ctx, log)
	if err != nil {
		return err
	}

	chosen := []entry{}

	for _, e := range seen.entries {
		if c.matches(e.Kind, e.Object) {
			chosen = append(chosen, e)
		}
	}

	return c.print(chosen, entryTable(chosen))
}

type configStatus struct{ configOptions }

// Execute implements flags.Commander.
func (c *configStatus) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()

	var members []configfeed.Revisions
	if err := c.get(ctx, "/v1/config/revisions", &members); err != nil {
		return err
	}

	table := [][]string{{"MEMBER", "ZONE", "REVISION", "READY", "NOT IN FORCE"}}

	for _, m := range members {
		problems := []string{}
		if m.Failure != "" {
			problems = append(problems, "no answer: "+m.Failure)
		}

		for _, o := range m.Objects {
			problems = append(problems, fmt.Sprintf("%s %s at %d, not %d: %s", o.Kind, o.Object, o.InForce, o.Revision, o.Problem))
		}

		table = append(table, []string{
			string(m.Node), string(m.Zone), formatOffset(max(m.Next, 1) - 1), strconv.FormatBool(m.Ready),
			strings.Join(problems, "; "),
		})
	}

	return c.print(members, table)
}

func addConfigCommands(root *flags.Command) error {
	return cli.AddGroup(
		root,
		cli.Command{
			Name: "config", Short: "Publish and read the configuration",
			Long: "Publishes configuration records and tells which revisions are in force. The exit code is 0 on success, 1 when " +
				"a change was not accepted or did not reach every live member, and 2 for a wrong command line.",
		},
		cli.Command{
			Name: "apply", Short: "Publish records", Data: &configApply{},
			Long: "Appends the records of a file, each with the revision that it replaces, and waits until every live member " +
				"reports them.\n\nExample: apricotctl config apply --log 127.0.0.1:9000 --operator 127.0.0.1:8802 shop.jsonc",
		},
		cli.Command{
			Name: "get", Short: "Show objects", Data: &configGet{},
			Long: "Shows the objects as a process (--operator) or the log (--log) has them.\n\n" +
				"Example: apricotctl config get --operator 127.0.0.1:8802 service",
		},
		cli.Command{
			Name: "history", Short: "Show records and what became of them", Data: &configHistory{},
			Long: "Shows the records that the log keeps.\n\nExample: apricotctl config history --log 127.0.0.1:9000 service shop-model",
		},
		cli.Command{
			Name: "status", Short: "Show where each revision is in force", Data: &configStatus{},
			Long: "Asks every live member.\n\nExample: apricotctl config status --operator 127.0.0.1:8802",
		},
	)
}
