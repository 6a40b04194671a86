package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaDocument string

//go:embed entry.schema.json
var entrySchemaDocument string

// Fault describes one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1.
	Line   int
	Reason string
}

// String returns the fault as FILE:LINE: REASON, which editors recognize as a position.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// FaultsError lists all faults of a settings file, ordered by line.
type FaultsError struct {
	Faults []Fault
}

// Error implements the error interface. The text has one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}

	return strings.Join(lines, "\n")
}

// Parse decodes and validates the content of a settings file. Its error is a *FaultsError.
func Parse(file string, content []byte, options ...Option) (Settings, error) {
	return parse(file, content, schemaDocument, Default(), (*checker).checkConsistency, options)
}

// ParseEntry decodes and validates the settings of an entry host on the operators' platform. Its error is a *FaultsError.
func ParseEntry(file string, content []byte, options ...Option) (Entry, error) {
	return parse(file, content, entrySchemaDocument, DefaultEntry(), (*checker).checkEntryConsistency, options)
}

// parse validates a document against a schema, decodes it into a copy of the defaults, and then runs check on the result.
func parse[T any](
	file string, content []byte, schema string, defaults T, check func(*checker, T), options []Option,
) (T, error) {
	var none T

	tree, err := hujson.Parse(content)
	if err != nil {
		// The error text of hujson contains line and column.
		return none, &FaultsError{Faults: []Fault{{File: file, Line: syntaxErrorLine(err.Error()), Reason: err.Error()}}}
	}

	// Standardize replaces comments by spaces, so that all offsets stay valid.
	plain := tree.Clone()
	plain.Standardize()

	c := &checker{file: file, content: content, tree: tree, document: decodeSchema(schema)}
	for _, option := range options {
		option(c)
	}

	c.checkSchema(schema, plain.Pack())

	settings := defaults

	if len(c.faults) == 0 {
		if err := json.Unmarshal(plain.Pack(), &settings); err != nil {
			c.add("", err.Error())
		}
	}

	if len(c.faults) == 0 {
		check(c, settings)
	}

	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
		return none, &FaultsError{Faults: c.faults}
	}

	for _, fault := range c.unknown {
		c.receiveUnknown(fault)
	}

	return settings, nil
}

// syntaxErrorLine extracts the line number from an error text of hujson. It returns 1 if there is none.
func syntaxErrorLine(text string) int {
	line := 1
	if _, rest, ok := strings.Cut(text, "line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}

	return line
}

type checker struct {
	file    string
	content []byte
	tree    hujson.Value
	faults  []Fault
	// document is the decoded schema.
	document any
	// receiveUnknown is called for each of the unknown keys that are no faults; nil if all are.
	receiveUnknown func(Fault)
	unknown        []Fault
}

// add records a fault at the line of a JSON pointer's value, or of its nearest existing parent.
func (c *checker) add(pointer, reason string) {
	line := c.line(pointer)

	if pointer != "" {
		reason = strings.TrimPrefix(pointer, "/") + ": " + reason
	}

	c.faults = append(c.faults, Fault{File: c.file, Line: line, Reason: reason})
}

// line returns the line of a JSON pointer's value, or of its nearest existing parent.
func (c *checker) line(pointer string) int {
	for place := pointer; ; {
		if value := c.tree.Find(place); value != nil {
			return 1 + bytes.Count(c.content[:min(value.StartOffset, len(c.content))], []byte("\n"))
		}

		cut := strings.LastIndexByte(place, '/')
		if cut < 0 {
			return 1
		}

		place = place[:cut]
	}
}

func (c *checker) checkSchema(source string, document []byte) {
	schema, err := compileSchema(source)
	if err != nil {
		c.add("", err.Error())
		return
	}

	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		c.add("", err.Error())
		return
	}

	var invalid *jsonschema.ValidationError
	if errors.As(schema.Validate(instance), &invalid) {
		c.addCauses(invalid)
	}
}

// addCauses records the leaves of a validation error tree, since only they describe the actual faults.
func (c *checker) addCauses(invalid *jsonschema.ValidationError) {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			c.addCauses(cause)
		}

		return
	}

	if additional, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range additional.Properties {
			c.addUnknown(invalid.InstanceLocation, name)
		}

		return
	}

	c.add(pointerTo(invalid.InstanceLocation), invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

func compileSchema(source string) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(source))
	if err != nil {
		return nil, errors.Wrap(err, "parse schema")
	}

	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	compiler.RegisterFormat(&jsonschema.Format{Name: "address", Validate: validateAddress})
	compiler.RegisterFormat(&jsonschema.Format{Name: "duration-go", Validate: validateDuration})

	if err := compiler.AddResource("settings.json", document); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}

	schema, err := compiler.Compile("settings.json")
	if err != nil {
		return nil, errors.Wrap(err, "compile schema")
	}

	return schema, nil
}

func validateAddress(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}

	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("must be an IP address and a port, such as 10.0.0.1:8800")
	}

	return nil
}

func validateDuration(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}

	if parsed, err := time.ParseDuration(text); err != nil || parsed <= 0 {
		return errors.New("must be a duration above zero, such as 30s")
	}

	return nil
}

// checkConsistency finds contradictions between values, which the schema cannot express.
func (c *checker) checkConsistency(s Settings) {
	if s.Limits.DefaultTimeout > s.Limits.MaxTimeout {
		c.add("/limits/defaultTimeout", "must not be above limits/maxTimeout")
	}

	if int64(s.Limits.PromptBytes) > s.Limits.BodyBytes {
		c.add("/limits/promptBytes", "must not be above limits/bodyBytes, since a prompt is part of a body")
	}

	if len(s.Seeds) > 0 && s.ProbeKey == "" {
		c.add("/seeds", "needs probeKey: several processes authenticate their probes with one key")
	}

	for _, entry := range []struct {
		name              string
		listen, advertise netip.AddrPort
	}{
		{"callers", s.Listen.Callers, s.Advertise.Callers},
		{"peers", s.Listen.Peers, s.Advertise.Peers},
		{"probes", s.Listen.Probes, s.Advertise.Probes},
		{"operator", s.Listen.Operator, s.Advertise.Operator},
	} {
		if entry.listen.Addr().IsUnspecified() && !entry.advertise.IsValid() {
			c.add("/listen/"+entry.name, "needs advertise/"+entry.name+": others cannot connect to an unspecified address")
		}
	}

	tcp := map[netip.AddrPort]string{}

	for _, entry := range []struct {
		name    string
		address netip.AddrPort
	}{{"callers", s.Listen.Callers}, {"peers", s.Listen.Peers}, {"operator", s.Listen.Operator}} {
		if other, ok := tcp[entry.address]; ok && entry.address.Port() != 0 {
			c.add("/listen/"+entry.name, "uses the address of listen/"+other)
		}

		tcp[entry.address] = entry.name
	}
}
