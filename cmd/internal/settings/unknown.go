package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Option configures how a settings file is read.
type Option func(*checker)

// WithUnknownKeys makes keys that this build does not know no faults: they are ignored, and receive is called for each. A file may have been
// written for a newer build. A key that looks like a misspelt one of guardingKeys remains a fault.
func WithUnknownKeys(receive func(Fault)) Option {
	return func(c *checker) { c.receiveUnknown = receive }
}

// guardingKeys are the keys without which a process admits more than with them.
var guardingKeys = []string{"probeKey", "tls", "operators", "keyRevocation", "holderLease"}

// ResemblesGuardingKey reports whether a build that does not know a key takes it for a misspelt one of guardingKeys, and ends.
func ResemblesGuardingKey(key string) bool {
	return slices.ContainsFunc(guardingKeys, func(guarding string) bool {
		return editDistance(strings.ToLower(key), strings.ToLower(guarding)) <= len(key)/3
	})
}

// addUnknown records a key that the schema does not have.
func (c *checker) addUnknown(location []string, name string) {
	reason := "unknown key"

	meant, found := c.meantKey(location, name)
	if found {
		reason += fmt.Sprintf("; did you mean %s?", meant)
	}

	pointer := pointerTo(append(slices.Clone(location), name))

	if c.receiveUnknown == nil || found && slices.Contains(guardingKeys, meant) && !c.hasKey(location, meant) {
		c.add(pointer, reason)
		return
	}

	c.unknown = append(c.unknown, Fault{File: c.file, Line: c.line(pointer), Reason: strings.TrimPrefix(pointer, "/") + ": " + reason})
}

func (c *checker) hasKey(location []string, name string) bool {
	return c.tree.Find(pointerTo(append(slices.Clone(location), name))) != nil
}

// meantKey returns the key that was probably meant by one that the schema does not have: a similar one of the same object, or the same one of
// another object.
func (c *checker) meantKey(location []string, name string) (meant string, found bool) {
	// Two edits are tolerated in keys of six characters, as a swap of two characters takes two.
	best := len(name)/3 + 1

	for _, known := range slices.Sorted(maps.Keys(c.properties(location))) {
		if edits := editDistance(strings.ToLower(name), strings.ToLower(known)); edits < best {
			meant, best, found = known, edits, true
		}
	}

	if found {
		return meant, true
	}

	return c.sameKey(nil, name)
}

// sameKey searches the objects of the schema from a location on for a key.
func (c *checker) sameKey(location []string, name string) (path string, found bool) {
	properties := c.properties(location)
	if _, found := properties[name]; found {
		return strings.Join(append(slices.Clone(location), name), "/"), true
	}

	for _, step := range slices.Sorted(maps.Keys(properties)) {
		if path, found := c.sameKey(append(slices.Clone(location), step), name); found {
			return path, true
		}
	}

	return "", false
}

// properties returns the properties that the schema has for the object at a location; nil if it is none.
func (c *checker) properties(location []string) map[string]any {
	node := c.resolve(c.document)

	for _, step := range location {
		if properties, ok := node["properties"].(map[string]any); ok {
			node = c.resolve(properties[step])
		} else {
			node = c.resolve(node["items"])
		}
	}

	properties, _ := node["properties"].(map[string]any)

	return properties
}

// resolve returns a node of the schema, or the definition that it refers to.
func (c *checker) resolve(value any) map[string]any {
	node, _ := value.(map[string]any)

	reference, ok := node["$ref"].(string)
	if !ok {
		return node
	}

	root, _ := c.document.(map[string]any)
	definitions, _ := root["$defs"].(map[string]any)
	node, _ = definitions[strings.TrimPrefix(reference, "#/$defs/")].(map[string]any)

	return node
}

// editDistance returns the number of bytes to insert, delete or replace that make one text of another.
func editDistance(from, to string) int {
	row := make([]int, len(to)+1)
	for i := range row {
		row[i] = i
	}

	for i := range len(from) {
		diagonal := row[0]
		row[0] = i + 1

		for k := range len(to) {
			cost := diagonal
			if from[i] != to[k] {
				cost = min(diagonal, row[k], row[k+1]) + 1
			}

			diagonal, row[k+1] = row[k+1], cost
		}
	}

	return row[len(to)]
}

// pointerTo returns the JSON pointer of a location.
func pointerTo(location []string) string {
	var pointer strings.Builder
	for _, step := range location {
		pointer.WriteString("/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(step))
	}

	return pointer.String()
}

// decodeSchema decodes a schema so that its properties can be looked up. The schemas are part of the program, so an error shows when they are
// compiled.
func decodeSchema(source string) (document any) {
	_ = json.Unmarshal([]byte(source), &document)
	return document
}
