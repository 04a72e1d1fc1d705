// Package launcher starts the program as a process, for tests of real processes.
package launcher

import (
	"fmt"
	"net"
	"os"
	"os/exec"
)

// FreePort returns a TCP port that is free on an IP address.
func FreePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, fmt.Errorf("find free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// Start starts a command, whose output is appended to a file. exited is closed when the
// process has ended, however it did.
func Start(cmd *exec.Cmd, logPath string) (exited <-chan struct{}, err error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	// The process has a descriptor of its own.
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start instance: %w", err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The exit status doesn't matter: tests kill processes, and see that one has ended.
		_ = cmd.Wait()
	}()
	return ended, nil
}
