// Package hangup handles SIGHUP from the initialization of the process until its exit. The default action of the
// signal ends the process, so a program that receives it only for a part of its lifetime loses its running requests to
// a reload during start or shutdown.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds at most one signal: reloads that are requested during a reload are served by a single further one.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel on which each SIGHUP of the process arrives. It is never closed.
func Received() <-chan os.Signal { return received }

// RestoreDefault gives SIGHUP the action that the process inherited, for commands that end with their terminal.
func RestoreDefault() { signal.Reset(syscall.SIGHUP) }
