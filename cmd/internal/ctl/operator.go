package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// operatorTimeout bounds one request to the operators' API.
const operatorTimeout = 30 * time.Second

// operatorOptions holds the options common to the commands that query a running process.
type operatorOptions struct {
	Operator string `long:"operator" value-name:"ADDR" default:"127.0.0.1:8802" description:"operator address of a process"`
	Token    string `long:"token" env:"APRICOTWAY_OPERATOR_TOKEN" description:"operator's token"`
	JSON     bool   `long:"json" description:"print JSON for programs"`
}

// get reads a JSON document from the operators' API.
func (o *operatorOptions) get(path string, result any) error {
	address, err := netip.ParseAddrPort(o.Operator)
	if err != nil {
		return errors.Wrap(err, "parse --operator")
	}

	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()

	transport := &tokenTransport{token: o.Token, next: httpjson.NewTransport()}

	return httpjson.Do(ctx, transport, http.MethodGet, httpjson.URL(address, path), nil, result)
}

// tokenTransport adds the operator's token to every request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *tokenTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token != "" {
		request = request.Clone(request.Context())
		request.Header.Set("Authorization", "Bearer "+t.token)
	}

	return t.next.RoundTrip(request)
}

// printJSON prints a document as indented JSON.
func printJSON(document any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")

	return encoder.Encode(document)
}

// printTable prints rows in aligned columns; the first row holds the headings.
func printTable(rows [][]string) error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)

	for _, row := range rows {
		for _, cell := range row {
			if _, err := fmt.Fprint(writer, cell, "\t"); err != nil {
				return err
			}
		}

		if _, err := fmt.Fprintln(writer); err != nil {
			return err
		}
	}

	return writer.Flush()
}

type enginesCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *enginesCommand) Execute([]string) error {
	var servers []apricotway.BackendServer
	if err := c.get("/v1/engines", &servers); err != nil {
		return err
	}

	if c.JSON {
		return printJSON(servers)
	}

	rows := [][]string{{"ID", "SERVICE", "ZONE", "CLASS", "VERSION", "ADDRESS", "STATE", "DEADLINE"}}

	for _, server := range servers {
		deadline := "-"
		if !server.Deadline.IsZero() {
			deadline = server.Deadline.Format(time.RFC3339)
		}

		rows = append(rows, []string{
			string(server.ID), string(server.Service), string(server.Zone), string(server.MachineClass),
			string(server.Version), server.Address.String(), string(server.State), deadline,
		})
	}

	return printTable(rows)
}

func addOperatorCommands(root *flags.Command) error {
	return cli.Add(
		root,
		cli.Command{
			Name: "engines", Short: "List the known backend servers",
			Long: "Lists the backend servers that a process knows.\n\nExample: apricotctl engines --operator 10.0.0.1:8802",
			Data: &enginesCommand{},
		},
		cli.Command{
			Name: "timeline", Short: "Show events of all processes in causal order",
			Long: "Merges the events of all processes into one causal order.\n\n" +
				"Example: apricotctl timeline --request ID --html timeline.html",
			Data: &timelineCommand{},
		},
	)
}
