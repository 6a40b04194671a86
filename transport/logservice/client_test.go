package logservice_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/logservice"
)

const record = `{"schemaVersion":1,"kind":"k","id":"i%d","payload":{"a":[1]},"offset":%d,"time":"2026-01-02T03:04:05Z"}`

// read reads from a log service that answers with the text.
func read(t *testing.T, text string) (apricotway.Batch, error) {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The write fails only if the caller has closed the connection.
		_, _ = io.WriteString(w, text)
	}))
	defer server.Close()

	client := logservice.New(netip.MustParseAddrPort(server.Listener.Addr().String()))

	return client.Read(t.Context(), "config", 7, 10, 0)
}

// TestRecordsBesideOddOnes guards against one odd record at which every reader of the stream stops for good.
func TestRecordsBesideOddOnes(t *testing.T) {
	const (
		depth = 100_000
		// longest is far above what reading a batch takes.
		longest = 5 * time.Second
	)

	valid := fmt.Sprintf(record, 8, 8)
	nested := strings.Repeat(`{"a":[`, depth) + strings.Repeat("]}", depth)

	for name, odd := range map[string]string{
		"nested": nested, "nested payload": strings.Replace(valid, "[1]", nested, 1),
		"nested unknown field": `{"x":` + nested + "," + valid[1:], "large version": strings.Replace(valid, ":1,", ":1e400,", 1),
		"number as kind": strings.Replace(valid, `"k"`, "9e99", 1), "negative epoch": `{"epoch":-1,` + valid[1:],
		"large epoch": `{"epoch":18446744073709551616,` + valid[1:], "late": strings.Replace(valid, "2026", "99999", 1),
		"negative offset": strings.Replace(valid, `"offset":8`, `"offset":-1`, 1), "large offset": strings.Replace(valid, `"offset":8`, `"offset":1e300`, 1),
		"NaN": strings.Replace(valid, "[1]", "NaN", 1), "string": `"odd"`, "number": "1e400", "array": "[]",
	} {
		began := time.Now()

		batch, err := read(t, `{"records":[`+fmt.Sprintf(record, 7, 7)+","+odd+" , "+fmt.Sprintf(record, 9, 9)+`],"next":10,"oldest":3}`)
		if err != nil || batch.Next != 10 || batch.Oldest != 3 {
			t.Errorf("%s: got next %d, oldest %d and %.200v, want 10 and 3", name, batch.Next, batch.Oldest, err)
			continue
		}

		var got []string
		for _, r := range batch.Records {
			got = append(got, fmt.Sprint(r.Offset, " ", r.Kind, " ", r.ID))
		}

		if want := []string{"7 k i7", "8  ", "9 k i9"}; !slices.Equal(got, want) {
			t.Errorf("%s: got records %q, want %q", name, got, want)
		}

		if took := time.Since(began); took > longest {
			t.Errorf("%s: took %s, want less than %s", name, took, longest)
		}
	}
}

// TestRecordNestedToTheLimit guards against an error for a record that package encoding/json decodes by itself but not inside a batch.
func TestRecordNestedToTheLimit(t *testing.T) {
	odd := strings.Replace(fmt.Sprintf(record, 7, 7), "[1]", strings.Repeat("[", 9_998)+strings.Repeat("]", 9_998), 1)

	batch, err := read(t, `{"records":[`+odd+`],"next":8,"oldest":3}`)
	if err != nil || len(batch.Records) != 1 || batch.Records[0].ID != "i7" || batch.Next != 8 {
		t.Errorf("got %d records up to %d and %v, want record i7 up to 8", len(batch.Records), batch.Next, err)
	}
}

// TestUnreadableBatch checks that an answer whose records cannot be told apart, or that lacks a position, is an error.
func TestUnreadableBatch(t *testing.T) {
	for _, text := range []string{
		"", "[]", "{", `{"records":[1],"oldest":3}`, `{"records":[1],"next":-1,"oldest":3}`, `{"records":[1],"next":1e300,"oldest":3}`,
		`{"records":{},"next":10,"oldest":3}`, `{"records":[[],"next":10,"oldest":3}`, strings.Repeat("[", 256<<10),
	} {
		if got, err := read(t, text); !errors.Is(err, apricotway.ErrLogUnavailable) {
			t.Errorf("%.40q: got %v and %v, want %v", text, got, err, apricotway.ErrLogUnavailable)
		}
	}
}
