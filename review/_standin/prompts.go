package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine, and servers the number of model servers.
	memoryMB = 134
	servers  = 18
	// parts is the number of short parts of a prompt.
	parts = 2500
	// mostSent and longestRun bound what each client sends.
	mostSent   = 3000
	longestRun = 80 * time.Second
	// endsToBreak is how often processes have to end by themselves, on two machines at least.
	endsToBreak = 3
)

// playPrompts lets one client of each machine send requests of legal size whose prompts consist of very many short
// parts.
func playPrompts(b *bench) error {
	var runs atomic.Int64
	b.configure(1, []route{{
		Name:            "quick-ask",
		PathPrefix:      "/ask/",
		Kind:            "streaming",
		TimeoutMs:       12000,
		TargetLatencyMs: 400,
		TargetGapMs:     200,
		Service:         "model",
		MaxAttempts:     1,
		Sticky:          true,
	}})
	if err := startModels(b, &runs); err != nil {
		return err
	}
	if err := b.startGateways(2, memoryMB); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	ends := make([]int, len(b.gateways))
	failures := make(chan error, len(b.gateways))
	for i, g := range b.gateways {
		go func() {
			var err error
			ends[i], err = sendPrompts(b, g)
			failures <- err
		}()
	}
	for range b.gateways {
		if err := <-failures; err != nil {
			return err
		}
	}
	b.printf("servers ran %d requests", runs.Load())
	if ends[0] >= endsToBreak && ends[1] >= endsToBreak {
		b.breaks("Fault: the processes of two machines ended %d and %d times, as they used more memory than their machine has", ends[0], ends[1])
	}
	return nil
}

// sendPrompts sends requests over one connection, one after the other, until the process has ended
// often enough. It returns how often it did.
func sendPrompts(b *bench, g *gateway) (ends int, err error) {
	c, err := dialClient(g.callers)
	if err != nil {
		return 0, err
	}
	defer func() { c.close() }()
	started := time.Now()
	for n := 0; n < mostSent && time.Since(started) < longestRun; n++ {
		prefix, tokens := fmt.Sprintf("%x:350,%x:1110", n%8, n), 1460
		if b.trouble {
			var list strings.Builder
			fmt.Fprintf(&list, "%x:1", n)
			for i := range parts {
				fmt.Fprintf(&list, ",%x:1", i)
			}
			prefix, tokens = list.String(), parts+1
		}
		sent := time.Now()
		if err := c.send(&request{
			id:      fmt.Sprintf("ask-%s-%d", g.name, n),
			method:  http.MethodPost,
			path:    "/ask/1",
			timeout: 12 * time.Second,
			header:  []string{"X-Model: m", fmt.Sprintf("X-Token-Counts: %d,80", tokens), "X-Prompt-Prefix: " + prefix},
			body:    "prompt",
		}); err != nil {
			return ends, err
		}
		a := c.receive(14 * time.Second)
		used := g.residentMB()
		if n%100 == 0 || a.status != http.StatusOK || used > memoryMB {
			b.printf("%s: request %d with %d bytes of prompt parts: status %d after %d ms; the process uses %.0f of %d MB",
				g.name, n, len(prefix), a.status, time.Since(sent).Milliseconds(), used, memoryMB)
		}
		if used <= memoryMB {
			continue
		}
		// The platform ends a process that uses more memory than its machine has, and starts it
		// again after a short delay.
		ends++
		b.printf("%s has used up its memory for the %d. time", g.name, ends)
		g.signal(syscall.SIGKILL)
		<-g.exited
		if ends == endsToBreak {
			return ends, nil
		}
		time.Sleep(300 * time.Millisecond)
		if err := g.run(); err != nil {
			return ends, err
		}
		if err := g.awaitReady(10 * time.Second); err != nil {
			return ends, err
		}
		c.close()
		if c, err = dialClient(g.callers); err != nil {
			return ends, err
		}
	}
	return ends, nil
}
