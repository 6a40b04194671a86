// Package fixedseed gives property tests the same seed on every run, so that CI has one verdict. Tests import it for its
// effect alone; the flag -rapid.seed still chooses another seed by hand.
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
