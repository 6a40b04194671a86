package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
)

// TestTimelinePage guards against events that are missing from the page, against event details that are not escaped, and against
// marks without a colour: html/template replaces a value that it considers unsafe by ZgotmplZ.
func TestTimelinePage(t *testing.T) {
	events := []timeline.Event{
		{Stamp: apricotway.Stamp(1 << 20), Node: "node-a", Kind: "request received", Request: "r"},
		{Stamp: apricotway.Stamp(2 << 20), Node: "node-b", Kind: "attempt started", Request: "r", Detail: "server=<engine-1>"},
	}
	path := filepath.Join(t.TempDir(), "page.html")

	if err := writeTimelinePage(path, events); err != nil {
		t.Fatal(err)
	}

	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}

	for want, count := range map[string]int{
		`fill="hsl(`: 2, "ZgotmplZ": 0, ">node-a</text>": 1, ">node-b</text>": 1, "server=&lt;engine-1&gt;</td>": 1,
	} {
		if got := strings.Count(string(content), want); got != count {
			t.Errorf("%q on the page: got %d, want %d", want, got, count)
		}
	}
}
