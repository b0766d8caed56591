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

// lines is a log output that can be read while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// fieldsByEvent returns the fields of the lines of each event, which must all be
// JSON objects with a level.
func (l *lines) fieldsByEvent(t *testing.T) map[string]string {
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

// TestLogLines compares the fields of the lines of a host's life with the golden
// file.
func TestLogLines(t *testing.T) {
	output := &lines{}
	w := runLoggingWorld(t, worldSettings(t, newPlainServer), log.NewJSONLogger(output))
	w.publish()
	_ = read(t, w.ask("2"))
	w.pool("drafting", profile.KindModel).events.TryPush(inspection{
		look: func(*decisions) { panic("provoked") },
		done: make(chan struct{}),
	})
	if answer := read(t, w.ask("2")); !strings.HasSuffix(answer, "data: [DONE]\n\n") {
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
		t.Error("the log holds a prompt")
	}
}

// TestEverythingSpeaksTLS serves a request with TLS towards the caller, the
// engine, the log and the host list.
func TestEverythingSpeaksTLS(t *testing.T) {
	authority := certificatetest.New(t)
	s := worldSettings(t, func(t *testing.T, handler http.Handler) *httptest.Server {
		t.Helper()
		files := authority.Issue(t, "server")
		pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewUnstartedServer(handler)
		server.TLS = &tls.Config{
			Certificates: []tls.Certificate{pair},
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
	w := runWorld(t, s)
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
	if answer := read(t, response); !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		t.Errorf("answer: %s", answer)
	}
}
