package rawjson_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/rawjson"
)

// TestSplit checks that parts which cannot be decoded are separated from the others.
func TestSplit(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 100_000) + "1" + strings.Repeat("}]", 100_000)

	elements, err := rawjson.Elements([]byte(" [ 1 , \"a,]\\\\\\\",\" ,NaN," + deep + ",{}]\n"))

	got := make([]string, len(elements))
	for i, element := range elements {
		got[i] = string(element)
	}

	if want := []string{"1", `"a,]\\\","`, "NaN", deep, "{}"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %.99q and %v, want %.99q", got, err, want)
	}

	members, err := rawjson.Members([]byte(`{"a" : ` + deep + `, "b:\u0063":1e400,"a":2}`))
	if err != nil || len(members) != 2 || string(members["a"]) != "2" || string(members["b:c"]) != "1e400" {
		t.Errorf("got %.99q and %v, want a: 2 and b:c: 1e400", members, err)
	}
}

// TestDepth checks the nesting of documents with brackets in strings.
func TestDepth(t *testing.T) {
	for document, want := range map[string]int{
		"1": 0, `"[\"["`: 0, "[]": 1, `{"a[":[{}],"b":[]}`: 3, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000): 20_000, `"`: 0,
	} {
		if got := rawjson.Depth([]byte(document)); got != want {
			t.Errorf("%.20q: got %d, want %d", document, got, want)
		}
	}
}

// TestMalformed checks that documents whose parts cannot be told apart are errors, and that empty ones are not.
func TestMalformed(t *testing.T) {
	for _, document := range []string{"", "[", "]", "{}", `"[]"`, "[[]", "[]]", `["]`, "[1]x", strings.Repeat("[", 100_000)} {
		if got, err := rawjson.Elements([]byte(document)); !errors.Is(err, rawjson.ErrMalformed) {
			t.Errorf("%.20q: got %q and %v, want %v", document, got, err, rawjson.ErrMalformed)
		}
	}

	for _, document := range []string{"[]", "{1}", `{"a"}`, `{"a",}`, `{a:1}`, `{"a:1}`, `{"a":1,}`} {
		if got, err := rawjson.Members([]byte(document)); !errors.Is(err, rawjson.ErrMalformed) {
			t.Errorf("%q: got %q and %v, want %v", document, got, err, rawjson.ErrMalformed)
		}
	}

	if got, err := rawjson.Elements([]byte(" [ ] ")); len(got) != 0 || err != nil {
		t.Errorf("got %q and %v, want no elements", got, err)
	}
}

// FuzzElements compares the elements of valid arrays with those that package encoding/json returns.
func FuzzElements(f *testing.F) {
	f.Add([]byte(`[1, "a\"]", [2,{"b":[]}], {"c":"}"}]`))
	f.Fuzz(func(t *testing.T, document []byte) {
		got, err := rawjson.Elements(document)

		var want []json.RawMessage
		if json.Unmarshal(document, &want) != nil || want == nil {
			return
		}

		equal := func(a, b json.RawMessage) bool { return string(a) == string(b) }
		if err != nil || !slices.EqualFunc(got, want, equal) {
			t.Errorf("%q: got %q and %v, want %q", document, got, err, want)
		}
	})
}
