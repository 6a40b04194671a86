package apricotway_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	loggedEvent     = regexp.MustCompile(`"event", (\d+)`)
	cataloguedEvent = regexp.MustCompile(`(?m)^\| (\d+) \|`)
)

// TestEventCatalogue compares the event numbers in the code with docs/events.md: every logged number is listed there once and used
// in one place only, and every listed number is logged.
func TestEventCatalogue(t *testing.T) {
	logged := map[string]string{}

	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		// Builds of other versions of the module have their sources there.
		if path == "target" {
			return fs.SkipDir
		}

		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}

		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}

		for _, match := range loggedEvent.FindAllStringSubmatch(string(source), -1) {
			if other, ok := logged[match[1]]; ok {
				t.Errorf("event %s is used in %s and in %s", match[1], other, path)
			}

			logged[match[1]] = path
		}

		return nil
	})
	if err != nil {
		t.Fatal(err)
	}

	catalogue, err := os.ReadFile("docs/events.md")
	if err != nil {
		t.Fatal(err)
	}

	listed := map[string]bool{}

	for _, match := range cataloguedEvent.FindAllStringSubmatch(string(catalogue), -1) {
		if listed[match[1]] {
			t.Errorf("event %s is listed twice in the catalogue", match[1])
		}

		listed[match[1]] = true

		if logged[match[1]] == "" {
			t.Errorf("event %s of the catalogue is not logged anywhere", match[1])
		}
	}

	for number, path := range logged {
		if !listed[number] {
			t.Errorf("event %s of %s is not in the catalogue", number, path)
		}
	}
}
