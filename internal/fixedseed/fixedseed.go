// Package fixedseed makes rapid property tests use the same seed on every run, so that CI results are reproducible. Tests import
// it for its side effect. The flag -rapid.seed selects another seed.
package fixedseed

import (
	"flag"

	// The import registers the flag before this package is initialised.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
