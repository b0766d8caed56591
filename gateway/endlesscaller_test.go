package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactuswell/gateway"
	"cactuswell/standin/endless"
	standin "cactuswell/standin/opaque"
)

// requestHead is the beginning of a caller's request, without the fields that frame a body.
const requestHead = "POST /hold/x HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: endless\r\nAuthorization: Bearer secret\r\n" +
	"Cactuswell-Time-Left-Ms: 400\r\n"

// endlessRequests are requests of which a part does not end.
var endlessRequests = map[string]endless.Response{
	"request line":    {Beginning: "GET /hold/", Unit: "x"},
	"header line":     {Beginning: requestHead + "X-Long: ", Unit: "x"},
	"header fields":   {Beginning: requestHead, Unit: "X-More: 1\r\n"},
	"empty lines":     {Unit: "\r\n"},
	"chunk size":      {Beginning: requestHead + "Transfer-Encoding: chunked\r\n\r\n", Unit: "0"},
	"chunk extension": {Beginning: requestHead + "Transfer-Encoding: chunked\r\n\r\n6;x=", Unit: "y"},
	"trailers":        {Beginning: requestHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", Unit: "X-Trailer: 1\r\n"},
	"chunked body":    {Beginning: requestHead + "Transfer-Encoding: chunked\r\n\r\n", Unit: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"body over limit": {Beginning: requestHead + "Content-Length: 100000000\r\n\r\n", Unit: "x"},
	"body of a request without a key": {
		Beginning: "POST /hold/x HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n",
		Unit:      "400\r\n" + strings.Repeat("x", 0x400) + "\r\n",
	},
}

// TestEndlessRequest guards against callers that send without end. A header of many short
// fields takes a multiple of its size in memory, and the rest of a body that is not needed
// was read without a bound on time before the response was sent. No such request runs, and
// the host closes its connection.
func TestEndlessRequest(t *testing.T) {
	for name, request := range endlessRequests {
		for _, pace := range []endless.Pace{endless.NoPause, endless.ByteByByte} {
			t.Run(name+" "+string(pace), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 1)
				conn, reader := f.dialAndSend("")
				sent := make(chan error, 1)
				go func() { sent <- request.Send(conn, pace) }()
				status := readFinalStatus(t, reader)
				if status != 0 && (status < 400 || status >= 500) {
					t.Errorf("status %d", status)
				}
				if err := <-sent; err == nil {
					t.Error("the connection stays open")
				}
				if runs := f.runs(); len(runs) != 0 {
					t.Errorf("%d calls ran", len(runs))
				}
				if name == "header fields" && pace == endless.NoPause {
					f.awaitLine(`"event":"callerExcess"`)
				}
				f.checkNextCalls()
			})
		}
	}
}

// TestSlowBody guards against a caller whose body does not arrive in time and who gets a
// success that no endpoint gave: the read that timed out canceled the call, and the host
// ended it without a response of its own.
func TestSlowBody(t *testing.T) {
	f := newFixture(t, 1)
	conn, reader := f.dialAndSend("")
	go func() {
		request := endless.Response{
			Beginning: requestHead + "Content-Length: 1000\r\n\r\n",
			Unit:      "x",
		}
		_ = request.Send(conn, endless.ByteByByte)
	}()
	if status := readFinalStatus(t, reader); status != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", status)
	}
	if runs := f.runs(); len(runs) != 0 {
		t.Errorf("%d calls ran", len(runs))
	}
}

// readFinalStatus reads until the host closes the connection. It returns the status of its
// response, or zero if there was none. A reset may overtake the response.
func readFinalStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		t.Error("the response is incomplete")
	}
	_, _ = io.Copy(io.Discard, reader)
	return response.StatusCode
}

// TestUnreadResponse guards against a caller that does not read its response and keeps the
// call, and what is buffered of the response, without end.
func TestUnreadResponse(t *testing.T) {
	first := newFixture(t, 1)
	first.setBehaviour(func(*http.Request) standin.Behaviour { return standin.LargeAnswer{Bytes: 32 << 20} })
	f := &fixture{
		t:                  t,
		log:                first.log,
		spec:               first.spec,
		endpoints:          first.endpoints,
		callerWriteTimeout: 300 * time.Millisecond,
	}
	current := testSettings("host-2")
	// More than the sockets' buffers take.
	current.MaxResponseMB = 64
	f.startHost(current, first.log.NewClient())
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			})
			return errors.Join(err, setErr)
		},
	}
	conn, err := dialer.Dial("tcp", f.gateway.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, strings.Replace(requestHead, "400", "4000", 1)+"Content-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
	eventually(t, "the call has ended", func() bool { return strings.Contains(f.metrics(), "cactuswell_open_calls 0\n") })
	f.awaitLine(`"event":"callEnded"`, `"result":"callerLeft"`)
}

// TestHalfClosedCaller guards against a caller that closes its sending side after its
// request, which counts as leaving, and then reads a complete response that no endpoint
// gave: an empty one with status 200, or a stream that ends like a complete one.
func TestHalfClosedCaller(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		behaviour standin.Behaviour
	}{
		"call":   {path: "/hold/x", behaviour: standin.Hang{}},
		"stream": {path: "/draft/stream", behaviour: standin.EndlessAnswer{Part: endless.Comments, Pace: endless.ByteByByte, Events: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.setBehaviour(func(*http.Request) standin.Behaviour { return test.behaviour })
			conn, reader := f.dialAndSend(strings.Replace(requestHead, "/hold/x", test.path, 1) + "Content-Length: 1\r\n\r\nx")
			eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
			tcp, ok := conn.(*net.TCPConn)
			if !ok {
				t.Fatal("not a TCP connection")
			}
			if err := tcp.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Errorf("a complete response with status %d", response.StatusCode)
			}
		})
	}
}

// TestEndlessRequestToControl checks that hosts and operators which send without end are
// disconnected, and that the host's own requests to other hosts end.
func TestEndlessRequestToControl(t *testing.T) {
	f := newFixture(t, 1)
	for server, address := range map[string]string{
		"peers":     f.gateway.PeerAddress(),
		"operators": f.gateway.ReadyAddress(),
	} {
		for name, request := range map[string]endless.Response{
			"header line":   {Beginning: "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ", Unit: "x"},
			"header fields": {Beginning: "GET / HTTP/1.1\r\nHost: x\r\n", Unit: "X-More: 1\r\n"},
			"body":          {Beginning: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "1\r\nx\r\n"},
		} {
			for _, pace := range []endless.Pace{endless.NoPause, endless.ByteByByte} {
				t.Run(server+" "+name+" "+string(pace), func(t *testing.T) {
					t.Parallel()
					conn, err := net.Dial("tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { _ = conn.Close() })
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					// Send returns when the connection is closed.
					if err := request.Send(conn, pace); err == nil {
						t.Error("the connection stays open")
					}
				})
			}
		}
	}
	for _, part := range endless.Plain() {
		for _, pace := range []endless.Pace{endless.NoPause, endless.ByteByByte} {
			t.Run("response of a host "+string(part)+" "+string(pace), func(t *testing.T) {
				t.Parallel()
				server, err := endless.New(part.Response(""), pace)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				if err := gateway.FetchFromPeer(t.Context(), server.Address()); (err == nil) != (part == endless.AfterBody) {
					t.Errorf("error %v", err)
				}
				<-server.Cut()
			})
		}
	}
}

// TestHeaderWithinLimits checks that a request whose header is near its limits is served,
// also as the second one of a connection.
func TestHeaderWithinLimits(t *testing.T) {
	f := newFixture(t, 1)
	head := requestHead + strings.Repeat("X-More: 1\r\n", 200)
	conn, reader := f.dialAndSend("")
	for range 3 {
		if _, err := io.WriteString(conn, head+"Content-Length: 3\r\n\r\nabc"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || string(body) != string(standin.AnswerBody([]byte("abc"))) {
			t.Errorf("status %d, body %q, error %v", response.StatusCode, body, err)
		}
	}
}

// TestBodiesShareMemory guards against bodies of unknown length that exceed the memory of
// the host together: a sixteenth of the limit was reserved for each.
func TestBodiesShareMemory(t *testing.T) {
	f := newFixture(t, 1)
	f.spec.Version = 2
	f.spec.Limits.MaxBodyBytes = 8 << 20
	f.publishConfiguration()
	f.awaitLine(`"event":"configurationTaken"`, `"version":2`)
	chunk := "100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n"
	head := strings.ReplaceAll(requestHead, "400", "8000") + "Transfer-Encoding: chunked\r\n\r\n"
	var conns []net.Conn
	statuses := make(chan int, 8)
	for range 8 {
		conn, reader := f.dialAndSend("")
		conns = append(conns, conn)
		go func() { statuses <- readFinalStatus(t, reader) }()
		go func() { _, _ = io.WriteString(conn, head+strings.Repeat(chunk, 6)) }()
	}
	// Of 8 bodies of 6 MB and more, 0.15 x 128 MB have room for few.
	if status := <-statuses; status != http.StatusServiceUnavailable && status != 0 {
		t.Errorf("status %d, want 503", status)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.checkNextCalls()
}
