package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/transport/logservice"
)

// accountTimeout bounds the time for reading the whole usage stream.
const accountTimeout = 5 * time.Minute

// errAccountFaults gives verify a nonzero exit code. The faults themselves are on standard output.
var errAccountFaults = errors.New("verify account: the usage stream has faults")

// accountOptions holds the options common to the account commands. These read only the log service, so that each owner can
// compute the account independently.
type accountOptions struct {
	Log   string `long:"log" value-name:"ADDR" required:"yes" description:"address of the log service"`
	Owner string `long:"owner" value-name:"OWNER" description:"show the workspaces of one owner only"`
	JSON  bool   `long:"json" description:"print JSON for programs"`

	// skippedHostChecks is the number of checks of host batches that were skipped, since the fleet stream or the configuration that
	// the batch follows from is no longer in the log.
	skippedHostChecks int
}

// statement computes the account from the whole usage stream, restricted to the owner's workspaces if --owner is set.
func (o *accountOptions) statement() (account.Account, error) {
	address, err := netip.ParseAddrPort(o.Log)
	if err != nil {
		return account.Account{}, errors.Wrap(err, "parse --log")
	}

	ctx, cancel := context.WithTimeout(context.Background(), accountTimeout)
	defer cancel()

	log := logservice.New(address)

	history, err := readHistory(ctx, log)
	if err != nil {
		return account.Account{}, errors.Wrap(err, "read configuration from the log service")
	}

	objects := history.fold

	hosts, err := newHostCheck(ctx, log, history)
	if err != nil {
		return account.Account{}, err
	}

	reader := usage.NewReader(log, account.SignersOf(objects), account.WithHostCheck(hosts.check))
	if err := reader.CatchUp(ctx); err != nil {
		return account.Account{}, err
	}

	statement := reader.Fold().Account()
	o.skippedHostChecks = hosts.skipped

	if o.Owner != "" {
		statement.Costs = slices.DeleteFunc(statement.Costs, func(entry account.CostEntry) bool {
			workspace, ok := objects.Workspace(entry.Workspace)
			return entry.Owner != apricotway.Owner(o.Owner) && (!ok || workspace.Owner != apricotway.Owner(o.Owner))
		})
		statement.Totals = slices.DeleteFunc(statement.Totals, func(entry account.Entry) bool {
			workspace, ok := objects.Workspace(entry.Workspace)
			return !ok || workspace.Owner != apricotway.Owner(o.Owner)
		})
	}

	return statement, nil
}

type accountShow struct{ accountOptions }

// Execute implements flags.Commander.
func (c *accountShow) Execute([]string) error {
	statement, err := c.statement()
	if err != nil {
		return err
	}

	if c.JSON {
		return printJSON(statement)
	}

	rows := [][]string{{
		"WORKSPACE", "SERVICE", "ZONE", "CLASS", "REQUESTS", "PROMPT", "GENERATED", "RECOMPUTED", "HEDGED", "ENGINE TIME",
	}}

	for _, entry := range statement.Totals {
		rows = append(rows, []string{
			string(entry.Workspace), string(entry.Service), string(entry.Zone), string(entry.MachineClass),
			formatInt(entry.Requests), formatInt(entry.PromptTokens), formatInt(entry.GeneratedTokens),
			formatInt(entry.RecomputedTokens), formatInt(entry.HedgedTokens),
			(time.Duration(entry.EngineMicroseconds) * time.Microsecond).String(),
		})
	}

	if err := printTable(rows); err != nil || len(statement.Regions) == 0 {
		return err
	}

	return printCosts(statement)
}

// printCosts prints two tables of host costs: by paying workspace or owner, and by region with the cost rule of its latest period.
func printCosts(statement account.Account) error {
	rows := [][]string{{"REGION", "WORKSPACE", "OWNER", "HOST COST", "IDLE COST"}}
	for _, entry := range statement.Costs {
		rows = append(rows, []string{
			string(entry.Region), string(entry.Workspace), string(entry.Owner),
			account.FormatMillionths(entry.Busy), account.FormatMillionths(entry.Idle),
		})
	}

	fmt.Println()

	if err := printTable(rows); err != nil {
		return err
	}

	fmt.Println()

	rows = [][]string{{"REGION", "HOST COST", "IDLE COST", "IDLE RULE", "RULE REVISION", "FROM", "TO"}}
	for _, region := range statement.Regions {
		rows = append(rows, []string{
			string(region.Region), account.FormatMillionths(region.Busy), account.FormatMillionths(region.Idle),
			string(region.Rule.Idle), strconv.FormatUint(uint64(region.Rule.Revision), 10),
			region.From.Format(time.RFC3339), region.To.Format(time.RFC3339),
		})
	}

	return printTable(rows)
}

func formatInt(number int64) string { return strconv.FormatInt(number, 10) }

type accountVerify struct{ accountOptions }

// Execute implements flags.Commander.
func (c *accountVerify) Execute([]string) error {
	statement, err := c.statement()
	if err != nil {
		return err
	}

	if c.JSON {
		if err := printJSON(statement); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d batches counted, %d repeats dropped, %d processes without a last batch, %d chains with a trimmed start\n",
			statement.Batches, statement.Repeats, statement.Open, statement.TrimmedChains)
		fmt.Printf("%d complete statements fit, %d of their parts repeated, %d on records that are not kept\n",
			statement.Statements, statement.StatementRepeats, statement.UncheckedParts)

		fmt.Printf("%d host batches without their fleet stream or configuration\n", c.skippedHostChecks)

		fmt.Printf("the stream ends at offset %d\n", statement.End)

		if statement.Base > 0 {
			fmt.Printf("what is trimmed is taken from the statement of offset %d\n", statement.Base)
		}

		for _, fault := range statement.Faults {
			fmt.Printf("offset %d, node %s, batch %d: %s: %s\n",
				fault.Offset, fault.Node, fault.Sequence, fault.Kind, fault.Detail)
		}
	}

	if len(statement.Faults) > 0 {
		return errAccountFaults
	}

	return nil
}

func addAccountCommands(root *flags.Command) error {
	return cli.AddGroup(
		root,
		cli.Command{
			Name: "account", Short: "Show and verify the usage account",
			Long: "Computes the usage account from the usage stream alone.\n\n" +
				"Example: apricotctl account verify --log 10.0.0.9:9000",
		},
		cli.Command{Name: "show", Short: "Show the totals", Data: &accountShow{}},
		cli.Command{
			Name: "verify", Short: "Check every batch; fails and names the faults when there are any", Data: &accountVerify{},
		},
	)
}
