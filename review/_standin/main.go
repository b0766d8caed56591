// Command standin plays the review's cases against processes of the project. It holds the
// clients, the servers and the platform's store of a case.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is the time after which a case is given up.
const longestCase = 110 * time.Second

func main() {
	cases := map[string]func(b *bench) error{
		"tunnel":   playTunnel,
		"deadline": playDeadline,
		"crowd":    playCrowd,
		"freeze":   playFreeze,
		"prompts":  playPrompts,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER TROUBLE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], os.Args[3] != "0", cases[os.Args[1]]))
}

func play(dir string, trouble bool, run func(b *bench) error) int {
	b, err := newBench(dir, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- run(b) }()
	select {
	case err = <-done:
	case <-stopped:
		err = errors.New("the case was stopped")
	case <-time.After(longestCase):
		err = errors.New("the case took too long")
	}
	code := b.close()
	if err != nil {
		b.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
