package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// result is what a client got.
type result struct {
	status          int
	signature       string
	events          int
	body            string
	sentAt, endedAt time.Time
	err             error
}

// request sends a request on a new connection and reads the answer to its end.
func request(address, id, path string, tokens, timeoutMs int) result {
	return requestWith(address, id, path, fmt.Sprintf("5c1e07a2:%d,%08x:100", tokens-100, len(id)), tokens, timeoutMs)
}

// requestWith is like request, with the parts of the prompt.
func requestWith(address, id, path, parts string, tokens, timeoutMs int) result {
	got := result{sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		got.err = err
		return got
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(timeoutMs) * time.Millisecond))
	body := strings.Repeat("p", 1500)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Counts: %d,80\r\nX-Prompt-Prefix: %s\r\nX-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, callerHost, id, tokens, parts, timeoutMs, apiKey, len(body), body)
	newMessages(conn).readAnswer(&got)
	got.endedAt = time.Now()
	return got
}
