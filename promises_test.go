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
	testFunction   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	namedTest      = regexp.MustCompile("`((?:Test|Fuzz)\\w+)`")
	namedScenario  = regexp.MustCompile("`([\\w-]+\\.txtar)`")
	promiseRow     = regexp.MustCompile(`(?m)^\| ([A-Z]\d+) \|.*\|$`)
	notProvedWords = "not proved"
)

// TestPromises checks docs/PROMISES.md: every test and scenario that it names exists, and every row names one or says that the
// promise is not proved.
func TestPromises(t *testing.T) {
	exists := map[string]bool{}

	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		// Builds of other versions of the module have their sources there.
		if path == "target" {
			return fs.SkipDir
		}

		if err != nil || entry.IsDir() {
			return err
		}

		if strings.HasSuffix(path, ".txtar") {
			exists[filepath.Base(path)] = true
		}

		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}

		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}

		for _, match := range testFunction.FindAllStringSubmatch(string(source), -1) {
			exists[match[1]] = true
		}

		return nil
	})
	if err != nil {
		t.Fatal(err)
	}

	page, err := os.ReadFile("docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}

	rows := promiseRow.FindAllStringSubmatch(string(page), -1)
	if len(rows) == 0 {
		t.Fatal("got no rows")
	}

	for _, row := range rows {
		names := append(namedTest.FindAllStringSubmatch(row[0], -1), namedScenario.FindAllStringSubmatch(row[0], -1)...)
		if len(names) == 0 && !strings.Contains(row[0], notProvedWords) {
			t.Errorf("row %s names no test and does not say that it is not proved", row[1])
		}

		for _, name := range names {
			if !exists[name[1]] {
				t.Errorf("row %s names %s, which does not exist", row[1], name[1])
			}
		}
	}
}
