package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// programVariable is the environment variable that makes the test binary run the program.
const programVariable = "CASSIAWALL_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a SIGHUP that ends a node, and against one that no longer ends the commands of a terminal.
func TestHangupEndsAllCommandsButServe(t *testing.T) {
	tests := map[string]struct {
		args  []string
		ended string
	}{
		"serve": {[]string{"serve", "--settings"}, "exit status 2"},
		"check": {[]string{"check"}, "signal: hangup"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file")
			require.NoError(t, syscall.Mkfifo(path, 0o600))
			c := exec.Command(os.Args[0], append(test.args, path)...)
			c.Env = append(os.Environ(), programVariable+"=1")
			require.NoError(t, c.Start())
			// The open blocks until the process reads its file.
			file, err := os.OpenFile(path, os.O_WRONLY, 0)
			require.NoError(t, err)
			require.NoError(t, c.Process.Signal(syscall.SIGHUP))
			time.Sleep(200 * time.Millisecond)
			// The process may have ended, which the exit status shows.
			_, _ = file.WriteString("invalid")
			file.Close()
			assert.EqualError(t, c.Wait(), test.ended)
		})
	}
}
