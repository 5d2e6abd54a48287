// Command cassiawall is the router for language-model traffic with long shared prompts.
package main

import (
	"os"

	"cassiawall.example/cassiawall/pkg/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
