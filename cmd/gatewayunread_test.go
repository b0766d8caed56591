package cmd_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// TestResetCallHasNotRun guards against a caller that takes the reset of its connection, before the first byte of a
// response, for a request that nobody has read, and comes back though its call has run.
func TestResetCallHasNotRun(t *testing.T) {
	const (
		header = "Host: firm.example\r\nX-Request-Id: reset\r\nAuthorization: Bearer key\r\n"
		length = header + "Content-Length: 4\r\n\r\nbody"
		chunks = header + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	)
	requests := map[string]struct {
		text        string
		isHalfEnded bool
	}{
		"plain":                             {text: "POST /hold/reset HTTP/1.1\r\n" + length},
		"half-closed":                       {text: "POST /hold/reset HTTP/1.1\r\n" + length, isHalfEnded: true},
		"1.0":                               {text: "POST /hold/reset HTTP/1.0\r\n" + length},
		"1.0 half-closed":                   {text: "POST /hold/reset HTTP/1.0\r\n" + length, isHalfEnded: true},
		"chunks":                            {text: "POST /hold/reset HTTP/1.1\r\n" + chunks},
		"expecting 100":                     {text: "POST /hold/reset HTTP/1.1\r\nExpect: 100-continue\r\n" + length},
		"with an empty line behind it":      {text: "POST /hold/reset HTTP/1.1\r\n" + length + "\r\n"},
		"with another request":              {text: "POST /hold/reset HTTP/1.1\r\n" + length + "GET /hold/other HTTP/1.1\r\n" + header + "\r\n"},
		"with another request, half-closed": {text: "POST /hold/reset HTTP/1.1\r\n" + length + "GET /hold/other HTTP/1.1\r\n" + header + "\r\n", isHalfEnded: true},
	}
	ends := map[string]func(t *testing.T, g *gatewayProcess){
		"killed": func(t *testing.T, g *gatewayProcess) {
			if err := g.process.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			t.Logf("the process has ended: %v", <-g.exited)
		},
		"stopped": func(t *testing.T, g *gatewayProcess) { stopProcess(t, g.process, g.exited) },
		"stopped at once": func(t *testing.T, g *gatewayProcess) {
			for range 2 {
				if err := g.process.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
					t.Fatal(err)
				}
				<-time.After(50 * time.Millisecond)
			}
			t.Logf("the process has ended: %v", <-g.exited)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			log := keyedlog.New()
			log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, pauseConfiguration, 1, "key"))
			endpoint := startEndpoint(t, log, "i-0")
			endpoint.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
			g := startGateway(t, log, "--stop-timeout", "1s")
			conns := map[string]net.Conn{}
			for name, request := range requests {
				conn := dialTCP(t, g.callerAddress)
				conns[name] = conn
				if _, err := io.WriteString(conn, strings.ReplaceAll(request.text, "reset", "reset-"+strings.ReplaceAll(name, " ", "-"))); err != nil {
					t.Fatal(err)
				}
			}
			<-time.After(300 * time.Millisecond)
			for name, request := range requests {
				if !request.isHalfEnded {
					continue
				}
				if err := conns[name].(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			<-time.After(300 * time.Millisecond)
			end(t, g)
			ran := map[string]int{}
			for _, run := range endpoint.Runs() {
				ran[run.ID]++
			}
			for name := range requests {
				t.Run(name, func(t *testing.T) {
					_ = conns[name].SetReadDeadline(time.Now().Add(10 * time.Second))
					first, err := bufio.NewReader(conns[name]).ReadString('\n')
					runs := ran["reset-"+strings.ReplaceAll(name, " ", "-")]
					if first == "" && errors.Is(err, syscall.ECONNRESET) && runs > 0 {
						t.Errorf("%d runs of a call whose connection was reset", runs)
					}
				})
			}
		})
	}
}
