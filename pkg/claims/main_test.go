package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of generated histories and the seed of their scripts, unless the command line
// does. With the fixed seed, every run uses the same scripts.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.seed": "1"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
