package main

import (
	"fmt"
	"net"
	"time"
)

// asteriskRequests is the number of requests of the client that the users do not control, and of those of an ordinary one.
const asteriskRequests = 20

// runAsterisk: a client asks the host for the options of the server as a whole, beside ordinary requests.
func runAsterisk(r *rig, trouble bool) (int, error) {
	r.serveStore(nil)
	s, err := newServer(r, "i-booking", "bokning", "svea-a", 6, plain(15*time.Millisecond))
	if err != nil {
		return 2, err
	}
	s.register("ready", 1)
	r.writeConfig(config(1, []map[string]any{
		route("check-cal", "/cal/", "safe", "bokning", map[string]any{"timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "maxAttempts": 2}),
	}, []map[string]any{service("bokning", 0)}))
	h := r.addHost("front-svea-a-1", "svea-a", 134, nil)
	if err := h.start(); err != nil {
		return 2, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return 2, err
	}
	target := "/options/"
	if trouble {
		target = "*"
	}
	unsigned := 0
	for i := range asteriskRequests {
		for _, line := range []string{"OPTIONS " + target, fmt.Sprintf("GET /cal/%d", i)} {
			id := fmt.Sprintf("%s-%d", line[:3], i)
			status, signature, err := exchange(h.front, line, id)
			if err != nil {
				return 2, err
			}
			s.mu.Lock()
			runs := s.runs[id]
			s.mu.Unlock()
			r.note("%s, request %s: status %d, signature %q, run %d times", line, id, status, signature, runs)
			if status/100 == 2 && signature == "" {
				unsigned++
			}
		}
	}
	summary := fmt.Sprintf("%d successes without the signature of a server", unsigned)
	r.note("%s", summary)
	fmt.Println(summary)
	if unsigned > 0 {
		return 1, nil
	}
	return 0, nil
}

// exchange sends a request without a body and returns the status and the signature of the answer.
func exchange(address, line, id string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 600\r\nAuthorization: Bearer %s\r\n\r\n", line, callerHost, id, apiKey)
	var got result
	newMessages(conn).readAnswer(&got)
	return got.status, got.signature, got.err
}
