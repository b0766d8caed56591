package host

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/sebdah/goldie/v2"

	"cactuswell/certificate/certificatetest"
	"cactuswell/core/profile"
)

// logBuffer is a log output that is safe for concurrent reads and writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// fieldsByEvent returns the field names of the last line of each event. It fails
// the test if a line is not a JSON object.
func (l *logBuffer) fieldsByEvent(t *testing.T) map[string]string {
	t.Helper()
	events := make(map[string]string)
	for line := range strings.Lines(l.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		event, _ := fields["event"].(string)
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		sort.Strings(names)
		events[event] = strings.Join(names, " ")
	}
	return events
}

// TestLogLines compares the fields of the log lines at start, at a restart of a duty
// and at shutdown with the golden file, and checks that no prompt is logged.
func TestLogLines(t *testing.T) {
	output := &logBuffer{}
	w := runLoggingTestHost(t, testHostSettings(t, newPlainServer), log.NewJSONLogger(output))
	w.publish()
	_ = readBody(t, w.requestChat("2"))
	w.pool("drafting", profile.KindModel).events.TryPush(inspection{
		inspect: func(*stateMachines) { panic("provoked") },
		done:    make(chan struct{}),
	})
	if answer := readBody(t, w.requestChat("2")); !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		t.Errorf("answer after the restart: %s", answer)
	}
	w.stop()
	<-w.ended
	events := output.fieldsByEvent(t)
	var text strings.Builder
	for _, event := range []string{"serving", "dutyRestarted", "stopping", "stopped"} {
		text.WriteString(event + ": " + events[event] + "\n")
	}
	goldie.New(t).Assert(t, "log", []byte(text.String()))
	if strings.Contains(output.String(), "hello") {
		t.Error("the log contains a prompt")
	}
}

// TestAllConnectionsUseTLS serves a request with TLS on the connections to the
// caller, the engine, the log service and the host list.
func TestAllConnectionsUseTLS(t *testing.T) {
	authority := certificatetest.New(t)
	s := testHostSettings(t, func(t *testing.T, handler http.Handler) *httptest.Server {
		t.Helper()
		files := authority.Issue(t, "server")
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewUnstartedServer(handler)
		server.TLS = &tls.Config{
			Certificates: []tls.Certificate{certificate},
		}
		server.StartTLS()
		t.Cleanup(server.Close)
		return server
	})
	files := authority.Issue(t, "host-1")
	s.TLSCert = files.Cert
	s.TLSKey = files.Key
	s.TLSCA = files.CA
	s.EndpointTLS = true
	w := runTestHost(t, s)
	w.client.Transport = &http.Transport{
		TLSClientConfig: &tls.Config{
			InsecureSkipVerify: true,
		},
	}
	w.publish()
	body := `{"model":"draft","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
	response, err := w.client.Post("https://"+w.CallerAddress()+"/v1/chat/completions", "application/json",
		strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if answer := readBody(t, response); !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		t.Errorf("answer: %s", answer)
	}
}
