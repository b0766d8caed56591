package tunnel_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"cactuswell/core/upload"
	"cactuswell/io/tcp"
)

// TestReceiptsTellWhatHasArrived guards against an answer without a length that counts as complete because the host between has
// ended the tunnel, or has sent something else than a receipt.
func TestReceiptsTellWhatHasArrived(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nCactuswell-Framing: length\r\nCactuswell-Receipts: count\r\n\r\n"
		none    = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
		four    = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x04\x00"
		fourOut = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x04\x01"
		seven   = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x07\x00"
	)
	for name, test := range map[string]struct {
		answer string
		want   upload.Transfer
	}{
		"none has arrived":  {answer: none, want: upload.Transfer{IsReset: true, IsKnown: true, Unacked: 7}},
		"some has":          {answer: none + four, want: upload.Transfer{IsReset: true, IsKnown: true, Unacked: 3, Acked: 4}},
		"the rest is held":  {answer: none + fourOut, want: upload.Transfer{IsReset: true, IsKnown: true, Unacked: 3, Acked: 4, IsHeldBack: true}},
		"all has":           {answer: none + four + seven, want: upload.Transfer{IsReset: true, IsKnown: true, Acked: 7}},
		"all has, then cut": {answer: none + seven + four[:5], want: upload.Transfer{IsKnown: true, Acked: 7}},
		"other bytes":       {answer: none + "\x00\x09answer ab", want: upload.Transfer{IsReset: true, IsKnown: true, Unacked: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn := <-conns
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, head)
				_, _ = io.CopyN(io.Discard, reader, int64(len("request")))
				_, _ = io.WriteString(conn, test.answer)
			}()
			conn, err := connect(t, hostList{address}, "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "request")
			<-done
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Fatalf("the answer ended with %v", err)
			}
			if got, err := tcp.InspectTransfer(conn); err != nil || got != test.want {
				t.Errorf("got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

// TestHostOfEarlierVersionGetsNoFalseEnd guards against a host of the version before that is told of the end of an answer which
// a reset has cut while the request was on its way.
func TestHostOfEarlierVersionGetsNoFalseEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(*net.TCPConn)
		wantsEnd bool
	}{
		"resets": {end: func(conn *net.TCPConn) { _ = errors.Join(conn.SetLinger(0), conn.Close()) }},
		"closes": {end: func(conn *net.TCPConn) { _ = conn.Close() }},
		"ends its side, reads on": {
			end: func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			},
			wantsEnd: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			conn, err := net.Dial("tcp", newHost(t).address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			exchange(t, conn, conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\nCactuswell-Framing: length\r\n\r\n",
				"HTTP/1.1 200 OK\r\nCactuswell-Framing: length\r\n\r\n")
			endpoint := <-conns
			go func() { _, _ = conn.Write(make([]byte, 3<<20)) }()
			_, _ = io.CopyN(io.Discard, endpoint, 20<<10)
			_, _ = io.WriteString(endpoint, "part")
			go test.end(endpoint)
			got, err := io.ReadAll(io.LimitReader(conn, int64(len("\x00\x04part\x00\x00"))))
			if hasEnd := string(got) == "\x00\x04part\x00\x00"; hasEnd != test.wantsEnd {
				t.Errorf("the host got %q, %v", got, err)
			}
		})
	}
}
