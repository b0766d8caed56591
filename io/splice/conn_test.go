package splice_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"cactuswell/io/splice"
)

// textConn is a connection on which a text arrives.
type textConn struct {
	net.Conn
	reader io.Reader
}

func (c *textConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// readAll reads a connection on which a text arrives, as a whole and byte by byte.
func readAll(t *testing.T, text string) (whole string, wholeErr, err error) {
	t.Helper()
	read := func(reader io.Reader) (string, error) {
		conn, err := splice.CheckFirst(func(context.Context, string, string) (net.Conn, error) {
			return &textConn{reader: reader}, nil
		})(context.Background(), "tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(conn)
		return string(got), err
	}
	_, err = read(iotest.OneByteReader(strings.NewReader(text)))
	whole, wholeErr = read(strings.NewReader(text))
	return whole, wholeErr, err
}

// TestConnFindsEveryTear guards against torn headers that the parser hides by deleting the field in which they run
// into the next response, and against sound responses that are taken for torn ones.
func TestConnFindsEveryTear(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	long := "X-Long: " + strings.Repeat("HTTP/1.1 2000 HTTP/1", 40) + "\r\n"
	refusals := map[string]string{
		"usual":               "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nTrailer: X-Sum\r\n" + long + "\r\n",
		"of HTTP/1.0":         "HTTP/1.0 503\nTransfer-Encoding: chunked\nVia: HTTP/1.1 proxy\n folded\n\n",
		"after interim ones":  interim + interim + "HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n",
		"after a spaced code": "HTTP/1.1   103 Hints\r\n\r\nHTTP/1.1 503  Full\r\nConnection: close\r\n\r\n",
	}
	answers := map[string]string{
		"closing":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
		"a bare status": "HTTP/1.0 204\n\n",
		"interim":       interim + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	}
	for refusalName, refusal := range refusals {
		for answerName, answer := range answers {
			t.Run(refusalName+", "+answerName, func(t *testing.T) {
				for size := 1; size < len(refusal); size++ {
					head := refusal[:size]
					if isWhole(head) {
						continue
					}
					got, whole, bytewise := readAll(t, head+answer)
					for _, err := range []error{whole, bytewise} {
						var spliced *splice.Error
						if !errors.As(err, &spliced) {
							t.Errorf("torn after %q: error %v, read %q", head, err, got)
						}
					}
				}
				for _, sound := range []string{refusal + answer, answer + refusal[:len(refusal)-2] + answer} {
					if got, whole, bytewise := readAll(t, sound); whole != nil || bytewise != nil || got != sound {
						t.Errorf("errors %v and %v for a whole response, read %q", whole, bytewise, got)
					}
				}
			})
		}
	}
}

// isWhole reports whether a text ends after an interim response: what follows is a response of its own.
func isWhole(text string) bool {
	input := strings.NewReader(text)
	reader := bufio.NewReader(input)
	for {
		if _, err := http.ReadResponse(reader, nil); err != nil {
			return false
		}
		if reader.Buffered() == 0 && input.Len() == 0 {
			return true
		}
	}
}

// TestConnNamesTornField guards against errors that send an operator to the wrong field.
func TestConnNamesTornField(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\n"
	for head, field := range map[string]string{
		"HTTP/1.1 503 Fu":                            "",
		"HTTP/1.1 503 Full\r\n":                      "",
		"HTTP/1.1 503 Full\r\nConnection: clo":       "Connection",
		"HTTP/1.1 503 Full\r\nConnection: close\r\n": "Connection",
		"HTTP/1.1 503 Full\r\nDate: now\r\nConn":     "Conn",
	} {
		_, err, _ := readAll(t, head+answer)
		var spliced *splice.Error
		if !errors.As(err, &spliced) || spliced.Field != field {
			t.Errorf("torn after %q: error %v, want field %q", head, err, field)
		}
	}
}
