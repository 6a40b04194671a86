package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/apricotway/apricotway"
)

// Change tells what became of an entry or one of its fields.
type Change string

// The values of Change.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one difference between two configurations.
type Difference struct {
	Entry  string `json:"entry"`
	Change Change `json:"change"`
	// Field, Before and After are empty unless Change is ChangeChanged.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

const (
	digestPrefix = "sha256:"
	// digestBytes is the part of a key's digest that is shown: enough to tell keys apart, useless as a key.
	digestBytes = 8
)

// keyDigest returns the digest of a key under which it is shown, and a digest as it is.
func keyDigest(key string) string {
	if shown, ok := strings.CutPrefix(key, digestPrefix); ok {
		if known, err := hex.DecodeString(shown); err == nil && len(known) == digestBytes {
			return key
		}
	}

	digest := sha256.Sum256([]byte(key))

	return digestPrefix + hex.EncodeToString(digest[:digestBytes])
}

// WithoutKeys returns a copy of a configuration with digests in place of the keys.
func WithoutKeys(d *apricotway.Deployment) *apricotway.Deployment {
	copied := *d
	copied.Workspaces = slices.Clone(d.Workspaces)

	for i := range copied.Workspaces {
		keys := make([]string, len(copied.Workspaces[i].Keys))
		for at, key := range copied.Workspaces[i].Keys {
			keys[at] = keyDigest(key)
		}

		slices.Sort(keys)
		copied.Workspaces[i].Keys = keys
	}

	return &copied
}

// Compare returns the differences of a configuration from the one in force, by entry. Keys appear as digests.
func Compare(inForce, next *apricotway.Deployment) []Difference {
	before, after := entriesOf(inForce), entriesOf(next)
	differences := []Difference{}

	all := maps.Clone(before)
	maps.Copy(all, after)

	for _, entry := range slices.Sorted(maps.Keys(all)) {
		old, wasThere := before[entry]
		current, isThere := after[entry]

		switch {
		case !wasThere:
			differences = append(differences, Difference{Entry: entry, Change: ChangeAdded})
		case !isThere:
			differences = append(differences, Difference{Entry: entry, Change: ChangeRemoved})
		default:
			differences = append(differences, compareFields(entry, old, current)...)
		}
	}

	return differences
}

func compareFields(entry string, before, after map[string]string) []Difference {
	var differences []Difference

	all := maps.Clone(before)
	maps.Copy(all, after)

	for _, field := range slices.Sorted(maps.Keys(all)) {
		if before[field] != after[field] {
			differences = append(differences, Difference{
				Entry: entry, Change: ChangeChanged, Field: field, Before: before[field], After: after[field],
			})
		}
	}

	return differences
}

// entriesOf returns the fields of all entries. Of several entries with the same name the last one counts.
func entriesOf(d *apricotway.Deployment) map[string]map[string]string {
	entries := map[string]map[string]string{limitsEntry: fieldsOf(d.Limits)}

	for position, route := range d.Routes {
		entries[routeEntry(route.Name)] = fieldsOf(route)

		// The order of routes tells only between those with the same host and prefix.
		if shadow := slices.IndexFunc(d.Routes, func(other apricotway.Route) bool {
			return strings.EqualFold(other.Host, route.Host) && other.PathPrefix == route.PathPrefix
		}); shadow < position {
			entries[routeEntry(route.Name)]["behind"] = d.Routes[shadow].Name
		}
	}

	for _, service := range d.Services {
		entries[serviceEntry(service.Name)] = fieldsOf(service)
	}

	for _, workspace := range WithoutKeys(d).Workspaces {
		entries[workspaceEntry(workspace.Name)] = fieldsOf(workspace)
	}

	return entries
}

// fieldsOf returns the fields of a struct, those of structs in it as well.
func fieldsOf(entry any) map[string]string {
	fields := map[string]string{}
	addFields(fields, "", reflect.ValueOf(entry))

	return fields
}

func addFields(fields map[string]string, name string, value reflect.Value) {
	switch {
	case value.Kind() == reflect.Pointer && value.IsNil():
	case value.Kind() == reflect.Pointer:
		addFields(fields, name, value.Elem())
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i).Name
			field = strings.ToLower(field[:1]) + field[1:]

			if name != "" {
				field = name + "." + field
			}

			addFields(fields, field, value.Field(i))
		}
	case value.Kind() == reflect.Slice && value.Len() == 0 || value.Kind() == reflect.Map && value.Len() == 0:
		// A list without entries is as good as none.
	default:
		fields[name] = fmt.Sprint(value.Interface())
	}
}

// OutdatedVersion returns the finding of a configuration whose version is not above the one in force, so that no process takes it over.
func OutdatedVersion(version, inForce uint64) Finding {
	return Finding{
		Kind: KindError, Entry: "version", Message: fmt.Sprintf("%d is not above %d, the version in force", version, inForce),
	}
}
