// Package rawjson splits a JSON document into the texts of its parts. Unlike package encoding/json it neither limits how deeply the parts
// are nested nor checks them, so a part that cannot be decoded does not affect the others.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrMalformed reports a document whose parts cannot be told apart.
var ErrMalformed = errors.New("malformed JSON document")

const space = " \t\r\n"

// Elements returns the elements of an array. They share the document's memory.
func Elements(document []byte) ([]json.RawMessage, error) { return split(document, '[', ']') }

// Members returns the values of an object's members by name, the last one of each name. They share the document's memory.
func Members(document []byte) (map[string]json.RawMessage, error) {
	parts, err := split(document, '{', '}')
	if err != nil {
		return nil, err
	}

	members := make(map[string]json.RawMessage, len(parts))

	for _, part := range parts {
		var name string

		end := endOfString(part)
		if end < 0 || json.Unmarshal(part[:end], &name) != nil {
			return nil, errors.Wrap(ErrMalformed, "no member name")
		}

		value := bytes.TrimLeft(part[end:], space)
		if len(value) == 0 || value[0] != ':' {
			return nil, errors.Wrap(ErrMalformed, "no value after a member name")
		}

		members[name] = bytes.TrimLeft(value[1:], space)
	}

	return members, nil
}

// Depth returns how deeply the arrays and objects of a valid document are nested.
func Depth(document []byte) int {
	depth, deepest := 0, 0

	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			// In a valid document every string ends.
			i += max(endOfString(document[i:]), 1) - 1
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
	}

	return deepest
}

// endOfString returns the length of the string with which a text begins, or -1 if the string does not end.
func endOfString(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}

	return -1
}

// split returns the parts of an array or object between its commas.
func split(document []byte, first, last byte) ([]json.RawMessage, error) {
	document = bytes.Trim(document, space)
	if len(document) < 2 || document[0] != first || document[len(document)-1] != last {
		return nil, errors.Wrapf(ErrMalformed, "not enclosed in %c and %c", first, last)
	}

	var (
		parts  []json.RawMessage
		depth  int
		start  int
		inside = document[1 : len(document)-1]
	)

	for i := 0; i < len(inside); i++ {
		switch inside[i] {
		case '"':
			end := endOfString(inside[i:])
			if end < 0 {
				return nil, errors.Wrap(ErrMalformed, "string does not end")
			}

			i += end - 1
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, bytes.Trim(inside[start:i], space))
				start = i + 1
			}
		}

		if depth < 0 {
			return nil, errors.Wrap(ErrMalformed, "more closing brackets than opening ones")
		}
	}

	if depth != 0 {
		return nil, errors.Wrap(ErrMalformed, "more opening brackets than closing ones")
	}

	if rest := bytes.Trim(inside[start:], space); len(parts) > 0 || len(rest) > 0 {
		parts = append(parts, rest)
	}

	return parts, nil
}
