package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of explored histories and their seed, unless the command line does.
// A fixed seed gives the same verdict on every run.
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
