package gateway_test

import (
	"io"
	"net/http"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestStreamWithoutEventGetsAnswerAtTimeout guards against a stream without an event at the timeout of its route
// that ends with a closed connection and no answer. The endpoint has sent the header of its response; from then on the
// deadline of the call was also that of writes to the caller, and so of the host's own response.
func TestStreamWithoutEventGetsAnswerAtTimeout(t *testing.T) {
	const streams = 6
	f := newFixture(t, 1)
	for _, path := range []string{"/draft/stream", "/summary/stream"} {
		t.Run(path[1:len(path)-len("/stream")], func(t *testing.T) {
			f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.StalledUnframedAnswer{} })
			conn, reader := f.dialAndSend("")
			for range streams {
				request := f.request(http.MethodPost, path, []byte("x"))
				request.Header.Set("Cactuswell-Time-Left-Ms", "200")
				if err := request.Write(conn); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(reader, request)
				if err != nil {
					t.Fatalf("no answer: %v", err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusGatewayTimeout {
					t.Errorf("status %d, %v", response.StatusCode, err)
				}
			}
			// The connection carries further requests.
			f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
			request := f.request(http.MethodPost, path, []byte("x"))
			if err := request.Write(conn); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(reader, request)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != completeStream() {
				t.Errorf("the caller got %q, %v", body, err)
			}
		})
	}
}
