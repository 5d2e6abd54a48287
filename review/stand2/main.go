//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by number. Each returns an exit code; trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(failed)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(failed)
	}()
	code := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.stop()
	os.Exit(code)
}
