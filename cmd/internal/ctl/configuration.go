package ctl

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/platform"
	"github.com/apricotway/apricotway/state/configcheck"
)

type configurationCheck struct {
	Operator string `long:"operator" value-name:"ADDR" description:"operator address of a process whose configuration is in force"`
	Token    string `long:"token" env:"APRICOTWAY_OPERATOR_TOKEN" description:"operator's token"`
	InForce  string `long:"in-force" value-name:"FILE" description:"file with the configuration in force"`
	Output   string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the result"`
	JSON     bool   `long:"json" description:"same as --output json"`

	Positional struct {
		File string `positional-arg-name:"FILE" description:"JSON of the configuration, comments allowed"`
	} `positional-args:"yes" required:"yes"`
}

// configurationReport is the result that check prints.
type configurationReport struct {
	Findings []configcheck.Finding `json:"findings"`
	// InForce is the version with which the configuration was compared, nil if it was not compared.
	InForce *uint64 `json:"inForce,omitempty"`
	// Differences is empty unless InForce is set.
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

// Execute implements flags.Commander.
func (c *configurationCheck) Execute([]string) error {
	deployment, err := readDeployment(c.Positional.File)
	if err != nil {
		return err
	}

	report := configurationReport{Findings: configcheck.Check(deployment)}

	inForce, err := c.inForce()
	if err != nil {
		return err
	}

	if inForce != nil {
		report.InForce, report.Differences = &inForce.Version, configcheck.Compare(inForce, deployment)

		if deployment.Version <= inForce.Version && len(report.Differences) > 0 {
			report.Findings = append(report.Findings, configcheck.OutdatedVersion(deployment.Version, inForce.Version))
		}
	}

	if err := c.print(report); err != nil {
		return err
	}

	if len(report.Findings) > 0 {
		return errors.Errorf("%s: %d findings", c.Positional.File, len(report.Findings))
	}

	return nil
}

// inForce returns the configuration in force, nil if none is to be compared.
func (c *configurationCheck) inForce() (*apricotway.Deployment, error) {
	switch {
	case c.InForce != "" && c.Operator != "":
		return nil, errors.New("--operator and --in-force exclude each other")
	case c.InForce != "":
		return readDeployment(c.InForce)
	case c.Operator == "":
		return nil, nil
	}

	var inForce *apricotway.Deployment

	options := operatorOptions{Operator: c.Operator, Token: c.Token}
	if err := options.get("/v1/configuration/content", &inForce); err != nil {
		return nil, err
	}

	if inForce == nil {
		return nil, errors.Errorf("the process at %s has no configuration", c.Operator)
	}

	return inForce, nil
}

func (c *configurationCheck) print(report configurationReport) error {
	if c.JSON || c.Output == "json" {
		return printJSON(report)
	}

	rows := [][]string{}
	if len(report.Findings) > 0 {
		rows = append(rows, []string{"FINDING", "ENTRY", "MESSAGE"})
	}

	for _, finding := range report.Findings {
		rows = append(rows, []string{string(finding.Kind), finding.Entry, finding.Message})
	}

	if len(report.Differences) > 0 {
		rows = append(rows, nil, []string{"DIFFERENCE", "ENTRY", "FIELD", "IN FORCE", "FILE"})
	}

	for _, d := range report.Differences {
		rows = append(rows, []string{string(d.Change), d.Entry, d.Field, d.Before, d.After})
	}

	return printTable(rows)
}

func readDeployment(path string) (*apricotway.Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}

	if content, err = hujson.Standardize(content); err != nil {
		return nil, errors.Wrap(err, path)
	}

	deployment, err := platform.DecodeDeployment(content)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}

	return deployment, nil
}

func addConfigurationCommands(root *flags.Command) error {
	return cli.AddGroup(
		root,
		cli.Command{
			Name: "configuration", Short: "Check the operators' configuration",
			Long: "Reads the operators' configuration of the platform and changes nothing. The exit code is 0 without findings, 1 with findings " +
				"or when the command failed, and 2 for a wrong command line.",
		},
		cli.Command{
			Name: "check", Short: "Check a file before it is put in force", Data: &configurationCheck{},
			Long: "Prints errors, entries that can never match, limits that contradict each other, and, with --operator or --in-force, what " +
				"differs from the version in force. Keys appear as digests.\n\n" +
				"Example: apricotctl configuration check --operator 127.0.0.1:8802 shop.json",
		},
	)
}
