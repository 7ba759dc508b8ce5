package system

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// fixedSeed makes the generated histories the same in every run. To search more of them,
// use another seed: go test ./internal/system -rapid.seed=N -rapid.checks=N
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	if !isSet["rapid.seed"] {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	fmt.Println("rapid seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
