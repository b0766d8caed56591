package httpjson_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"cactuswell/io/httpjson"
)

// rawServer answers each request with bytes and ends the connection.
type rawServer struct {
	listener net.Listener
	answer   string
	// readsBody is set if the body is read first, and resets if the connection is reset then.
	readsBody bool
	resets    bool
}

func newRawServer(t *testing.T, answer string, readsBody, resets bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{
		listener:  listener,
		answer:    answer,
		readsBody: readsBody,
		resets:    resets,
	}
	go s.run()
	return s
}

func (s *rawServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn.(*net.TCPConn))
	}
}

func (s *rawServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 256))
	if err != nil {
		return
	}
	if s.readsBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, s.answer)
	if s.resets {
		_ = conn.SetLinger(0)
	}
}

// TestInvalidHeadIsAnError guards against a response with an invalid head that is taken for a valid one: its status may say
// that a call was executed, or that nothing was written.
func TestInvalidHeadIsAnError(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, test := range map[string]struct {
		answer string
		// status is that of the error of a sound response, or zero if there is none.
		status  int
		isSound bool
	}{
		"sound":                  {answer: "HTTP/1.1 200 OK\r\n" + body, isSound: true},
		"sound refusal":          {answer: "HTTP/1.1 503 Full\r\n" + body, status: 503, isSound: true},
		"after a sound head":     {answer: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + body, isSound: true},
		"000":                    {answer: "HTTP/1.1 000 Odd\r\n" + body},
		"after 000":              {answer: "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		"after 101":              {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		"a blank in a name":      {answer: "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + body},
		"a blank after a name":   {answer: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + body},
		"refusal with a blank":   {answer: "HTTP/1.1 503 Full\r\nX Odd: 1\r\n" + body},
		"conflict with a blank":  {answer: "HTTP/1.1 409 Conflict\r\nX-Odd : 1\r\n" + body},
		"interim with a blank":   {answer: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		"interim, control bytes": {answer: "HTTP/1.1 103 Early Hints\r\nX\x07Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
	} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, test.answer, true, false)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			_, err := httpjson.Fetch(t.Context(), client, http.MethodPost, "http://"+server.listener.Addr().String(), bytes.NewReader([]byte("{}")), 100)
			var status *httpjson.StatusError
			if isStatus := errors.As(err, &status); isStatus != (test.status != 0) || isStatus && status.Status != test.status {
				t.Errorf("the error is %v", err)
			}
			if test.isSound != (err == nil || test.status != 0) {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

// TestJSONCutByResetIsAnError guards against a part of a response that is taken for the whole one as a reset has cut it while the
// request was on its way, of which an http.Transport may not tell.
func TestJSONCutByResetIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n{\"items\": [1, 2]",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\n\r\n{\"items\": [1, 2]",
	} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, answer, false, true)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range 20 {
				var into struct{ Items []int }
				err := httpjson.Call(t.Context(), client, http.MethodPost, "http://"+server.listener.Addr().String(), bytes.NewReader(make([]byte, 3<<20)), 100, &into)
				if err == nil {
					t.Errorf("got %v", into)
				}
			}
		})
	}
}
