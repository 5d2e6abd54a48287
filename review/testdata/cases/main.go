// Command cases plays the scripted cases of the review against real nodes.
//
//	cases NAME FOLDER
//
// writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases maps a name to a case. A case returns what broke the rule, or "".
var cases = map[string]func(rec *recorder, trouble bool) (broken string, err error){
	"hangup":  runHangup,
	"silence": runSilence,
	"pages":   runPages,
	"order":   runOrder,
	"poison":  runPoison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{began: time.Now(), out: file}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.note("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		os.Exit(1)
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
}
