package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cactuswell/core/detour"
	"cactuswell/io/tcp"
	"cactuswell/io/tunnel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hostList lists the hosts in the order in which they are asked.
type hostList []string

func (l hostList) PickHost(isExcluded func(string) bool) string {
	i := slices.IndexFunc(l, func(host string) bool { return !isExcluded(host) })
	if i < 0 {
		return ""
	}
	return l[i]
}

// host is a host that serves tunnels.
type host struct {
	server  *tunnel.Server
	address string
	// reason is why it denies a tunnel, and dialErr the error of its connections.
	reason   tunnel.Reason
	dialErr  error
	isProven bool
	asked    atomic.Int64
	// asks receives each question, notify is closed at the first one, and the host answers
	// none before await is closed.
	asks   chan struct{}
	notify chan struct{}
	await  chan struct{}
	// notified is set once notify is closed.
	notified atomic.Bool
	// dialer opens its connections, if it is set.
	dialer *tcp.Dialer
}

// handleQuestion waits until the host may answer.
func (h *host) handleQuestion() {
	if h.asks != nil {
		h.asks <- struct{}{}
	}
	if h.notify != nil && h.notified.CompareAndSwap(false, true) {
		close(h.notify)
	}
	if h.await != nil {
		<-h.await
	}
}

func newHost(t *testing.T) *host {
	t.Helper()
	h := &host{isProven: true}
	h.server = tunnel.NewServer(tunnel.ServerDependencies{
		Find: func(address string) (detour.Endpoint, tunnel.Reason) {
			h.handleQuestion()
			h.asked.Add(1)
			return detour.Endpoint{Address: address}, h.reason
		},
		Dial: func(ctx context.Context, to detour.Endpoint) (net.Conn, error) {
			if h.dialErr != nil {
				return nil, h.dialErr
			}
			if h.dialer != nil {
				return h.dialer.DialContext(ctx, "tcp", to.Address)
			}
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", to.Address)
		},
		IsPathProven: func(detour.Endpoint) bool { return h.isProven },
	})
	server := httptest.NewUnstartedServer(h.server)
	server.Config.ReadTimeout = 50 * time.Millisecond
	server.Config.WriteTimeout = 50 * time.Millisecond
	server.Start()
	t.Cleanup(func() {
		h.server.Abort()
		server.Close()
	})
	h.address = server.Listener.Addr().String()
	return h
}

// listen starts an endpoint, and returns its address and its connections.
func listen(t *testing.T) (string, <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan *net.TCPConn, 8)
	go func() {
		defer close(conns)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- conn.(*net.TCPConn)
		}
	}()
	return listener.Addr().String(), conns
}

func connect(t *testing.T, hosts hostList, address string) (net.Conn, error) {
	t.Helper()
	conn, _, err := tunnel.NewClient(hosts).Connect(t.Context(), address)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

func TestTunnelCarriesBytesAndEnds(t *testing.T) {
	for name, test := range map[string]struct {
		end       func(*net.TCPConn)
		wantReset bool
	}{
		"closed": {
			end: func(conn *net.TCPConn) { _ = conn.Close() },
		},
		"reset": {
			end: func(conn *net.TCPConn) {
				_ = conn.SetLinger(0)
				_ = conn.Close()
			},
			wantReset: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			conn, err := connect(t, hostList{newHost(t).address}, address)
			if err != nil {
				t.Fatal(err)
			}
			endpoint := <-conns
			exchange(t, conn, endpoint, "request", "request")
			exchange(t, endpoint, conn, "response", "response")
			test.end(endpoint)
			_, err = conn.Read(make([]byte, 1))
			if isReset := errors.Is(err, syscall.ECONNRESET); isReset != test.wantReset || !isReset && !errors.Is(err, io.EOF) {
				t.Errorf("the tunnel ended with %v", err)
			}
		})
	}
}

// exchange sends text over one connection and expects another text on the other.
func exchange(t *testing.T, from, to net.Conn, text, want string) {
	t.Helper()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v", got, err)
	}
}

// answerTunnel starts a host that answers the first request for a tunnel with the given bytes and
// ends the connection as the kernel does for a process that was killed.
func answerTunnel(t *testing.T, answer string) string {
	t.Helper()
	address, conns := listen(t)
	go func() {
		conn := <-conns
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}()
	return address
}

// TestEndOfHostIsNoEndOfAnswer guards against the end of a host that is taken for that of the
// endpoint's connection, and so for the end of an answer without a length. Hosts of earlier versions
// do not say which of the two it is.
func TestEndOfHostIsNoEndOfAnswer(t *testing.T) {
	const framed = "HTTP/1.1 200 OK\r\nCactuswell-Framing: length\r\n\r\n"
	for name, answer := range map[string]string{
		"afterFrame":     framed,
		"withinHeader":   framed + "\x00",
		"earlierVersion": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := connect(t, hostList{answerTunnel(t, answer)}, "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("the tunnel ended with %v", err)
			}
		})
	}
}

// TestInvalidHeadOpensNoTunnel guards against a tunnel, or a reason why there is none, by the word of an invalid head.
func TestInvalidHeadOpensNoTunnel(t *testing.T) {
	for name, answer := range map[string]string{
		"a blank in a name":           "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
		"a blank after a name":        "HTTP/1.1 200 OK\r\nCactuswell-Framing : length\r\n\r\n",
		"an invalid status":           "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"a denial with a blank":       "HTTP/1.1 502 Bad Gateway\r\nCactuswell-Reason: refused\r\nX Odd: 1\r\n\r\n",
		"a denial, an invalid status": "HTTP/1.1 -02 Bad Gateway\r\nCactuswell-Reason: refused\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := connect(t, hostList{answerTunnel(t, answer)}, "127.0.0.1:1")
			var failure *tunnel.ConnectError
			if !errors.As(err, &failure) || failure.Reason != tunnel.HostUnreachable {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

// TestEndpointThatClosesAtOnceEndsTunnel guards against a host that counts as unreachable because
// the end of the endpoint's connection has arrived together with its response.
func TestEndpointThatClosesAtOnceEndsTunnel(t *testing.T) {
	conn, err := connect(t, hostList{answerTunnel(t, "HTTP/1.1 200 OK\r\nCactuswell-Framing: length\r\n\r\n\x00\x00")}, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the tunnel ended with %v", err)
	}
}

// TestHostOfEarlierVersionGetsBytes guards against frames that are sent to a host that has not asked
// for them.
func TestHostOfEarlierVersionGetsBytes(t *testing.T) {
	address, conns := listen(t)
	conn, err := net.Dial("tcp", newHost(t).address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	exchange(t, conn, conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n")
	endpoint := <-conns
	exchange(t, endpoint, conn, "response", "response")
	_ = endpoint.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the tunnel ended with %v", err)
	}
}

// TestUnreadBytesOfIdleTunnel guards against an endpoint that is blamed for bytes that nobody has
// requested because a host has said that the endpoint has closed an idle connection.
func TestUnreadBytesOfIdleTunnel(t *testing.T) {
	for name, test := range map[string]struct {
		send string
		want bool
	}{
		"closed":      {},
		"unsolicited": {send: "bytes", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			conn, err := connect(t, hostList{newHost(t).address}, address)
			if err != nil {
				t.Fatal(err)
			}
			endpoint := <-conns
			exchange(t, endpoint, conn, "response", "response")
			if !tcp.IsIdle(conn) {
				t.Error("the tunnel is not idle after a response")
			}
			_, _ = io.WriteString(endpoint, test.send)
			_ = endpoint.Close()
			for tcp.IsIdle(conn) {
				runtime.Gosched()
			}
			if got := tcp.HasUnreadBytes(conn); got != test.want {
				t.Errorf("the tunnel has unread bytes: %v, want %v", got, test.want)
			}
		})
	}
}

// TestEndpointLearnsThatHostHasLeft guards against endpoints that work on for a host which has
// closed its tunnel.
func TestEndpointLearnsThatHostHasLeft(t *testing.T) {
	address, conns := listen(t)
	conn, err := connect(t, hostList{newHost(t).address}, address)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := <-conns
	_ = conn.Close()
	if _, err := endpoint.Read(make([]byte, 1)); err == nil {
		t.Error("the endpoint's connection is still open")
	}
	_ = endpoint.Close()
}

func TestHostsThatCannotHelpArePassedOver(t *testing.T) {
	for reason, set := range map[tunnel.Reason]func(*host){
		tunnel.PathLost: func(h *host) { h.reason = tunnel.PathLost },
		tunnel.Stopping: func(h *host) { h.reason = tunnel.Stopping },
		tunnel.Full:     func(h *host) { h.reason = tunnel.Full },
		tunnel.Unproven: func(h *host) {
			h.dialErr = syscall.ECONNREFUSED
			h.isProven = false
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			address, conns := listen(t)
			useless, useful := newHost(t), newHost(t)
			set(useless)
			client := tunnel.NewClient(hostList{useless.address, "127.0.0.1:1", useful.address})
			for range 2 {
				conn, host, err := client.Connect(t.Context(), address)
				if err != nil || host != useful.address {
					t.Fatalf("connected through %q, %v", host, err)
				}
				_ = conn.Close()
				_ = (<-conns).Close()
			}
			wantAsked := int64(1)
			if reason == tunnel.Unproven {
				wantAsked = 2
			}
			if useless.asked.Load() != wantAsked {
				t.Errorf("the host was asked %d times, want %d", useless.asked.Load(), wantAsked)
			}
		})
	}
}

func TestEndpointThatIsDownIsReported(t *testing.T) {
	for _, test := range []struct {
		err  error
		want tunnel.Reason
	}{
		{err: syscall.ECONNREFUSED, want: tunnel.Refused},
		{err: context.DeadlineExceeded, want: tunnel.Unreachable},
	} {
		first, second := newHost(t), newHost(t)
		first.dialErr = test.err
		_, err := connect(t, hostList{first.address, second.address}, "127.0.0.1:1")
		var failure *tunnel.ConnectError
		if !errors.As(err, &failure) || failure.Reason != test.want || !failure.IsEndpointDown() {
			t.Errorf("got %v, want %s", err, test.want)
		}
		if got := tcp.IsRefused(err); got != (test.want == tunnel.Refused) {
			t.Errorf("the connection counts as refused: %v, after %v", got, test.err)
		}
		if second.asked.Load() > 0 {
			t.Error("a second host was asked about an endpoint that is down")
		}
	}
}

func TestNoHostCanBeAsked(t *testing.T) {
	_, err := connect(t, nil, "127.0.0.1:1")
	var failure *tunnel.ConnectError
	if !errors.As(err, &failure) || failure.Reason != tunnel.NoHost || failure.IsEndpointDown() {
		t.Errorf("got %v, want %s", err, tunnel.NoHost)
	}
}

func TestTunnelsAreBounded(t *testing.T) {
	address, conns := listen(t)
	h := newHost(t)
	client := tunnel.NewClient(hostList{h.address})
	for range tunnel.MaxTunnels {
		conn, _, err := client.Connect(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		defer func(endpoint net.Conn) { _ = endpoint.Close() }(<-conns)
	}
	_, _, err := client.Connect(t.Context(), address)
	var failure *tunnel.ConnectError
	if !errors.As(err, &failure) || failure.Reason != tunnel.Full {
		t.Errorf("got %v, want %s", err, tunnel.Full)
	}
	if open := h.server.OpenTunnels(); open != tunnel.MaxTunnels {
		t.Errorf("%d tunnels are open, want %d", open, tunnel.MaxTunnels)
	}
}

// TestResponseOfAnotherServer guards against a tunnel through something that is no host.
func TestResponseOfAnotherServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := connect(t, hostList{server.Listener.Addr().String()}, "127.0.0.1:1")
	if err == nil {
		t.Error("a response with status 404 opened a tunnel")
	}
}

// TestEndlessResponseOpensNoTunnel guards against a host whose response does not end.
func TestEndlessResponseOpensNoTunnel(t *testing.T) {
	address, conns := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn := <-conns
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Field: ")
		for err == nil {
			_, err = conn.Write(make([]byte, 1024))
		}
	}()
	_, err := connect(t, hostList{address}, "127.0.0.1:1")
	var failure *tunnel.ConnectError
	if !errors.As(err, &failure) || failure.Reason != tunnel.HostUnreachable {
		t.Errorf("got %v, want %s", err, tunnel.HostUnreachable)
	}
	<-done
}

// TestSlowHostIsWaitedFor guards against tunnels that are given up because the only host that can
// open them is slow.
func TestSlowHostIsWaitedFor(t *testing.T) {
	address, conns := listen(t)
	slow, useless := newHost(t), newHost(t)
	othersAsked := make(chan struct{})
	slow.await = othersAsked
	useless.reason = tunnel.PathLost
	useless.notify = othersAsked
	client := tunnel.NewClient(hostList{slow.address, useless.address})
	conn, host, err := client.Connect(t.Context(), address)
	if err != nil || host != slow.address {
		t.Fatalf("connected through %q, %v", host, err)
	}
	_ = conn.Close()
	_ = (<-conns).Close()
}

// TestSilentHostIsAskedAgainIfThereIsNoOther guards against hosts that are left without a path
// because the only host that can help was slow once.
func TestSilentHostIsAskedAgainIfThereIsNoOther(t *testing.T) {
	h := newHost(t)
	asked, answer := make(chan struct{}), make(chan struct{})
	h.notify, h.await = asked, answer
	client := tunnel.NewClient(hostList{h.address})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	_, _, err := client.Connect(ctx, "127.0.0.1:1")
	var failure *tunnel.ConnectError
	if !errors.As(err, &failure) || failure.Reason != tunnel.HostUnreachable {
		t.Errorf("got %v, want %s", err, tunnel.HostUnreachable)
	}
	close(answer)
	address, conns := listen(t)
	conn, _, err := client.Connect(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = (<-conns).Close()
}

// TestHostThatStaysSilentIsAskedAgainIfThereIsNoOther guards against hosts that are left without a path because the only host that can help did not answer for so long that others are preferred.
func TestHostThatStaysSilentIsAskedAgainIfThereIsNoOther(t *testing.T) {
	const patience = 300 * time.Millisecond
	h := newHost(t)
	answer := make(chan struct{})
	h.await = answer
	client := tunnel.NewClient(hostList{h.address})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if _, _, err := client.Connect(ctx, "127.0.0.1:1"); err == nil {
		t.Fatal("a host that does not answer has connected")
	}
	close(answer)
	address, conns := listen(t)
	conn, _, err := client.Connect(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = (<-conns).Close()
}

// TestSilentHostIsAskedLast guards against a host that is asked first each time although it does
// not answer.
func TestSilentHostIsAskedLast(t *testing.T) {
	address, conns := listen(t)
	silent, useful := newHost(t), newHost(t)
	useful.asks = make(chan struct{}, 8)
	answer := make(chan struct{})
	defer close(answer)
	silent.await = answer
	silent.asks = make(chan struct{}, 8)
	client := tunnel.NewClient(hostList{silent.address, useful.address})
	for range 3 {
		conn, host, err := client.Connect(t.Context(), address)
		if err != nil || host != useful.address {
			t.Fatalf("connected through %q, %v", host, err)
		}
		_ = conn.Close()
		_ = (<-conns).Close()
	}
	if len(silent.asks) != 1 || len(useful.asks) != 3 {
		t.Errorf("asked %d and %d times, want 1 and 3", len(silent.asks), len(useful.asks))
	}
}

// TestEndpointBehindTunnelMayReadLate guards against a tunnel that ends because the endpoint has no room for a long body
// yet: the host's own connections to endpoints give up after bytes have not been acknowledged for a while.
func TestEndpointBehindTunnelMayReadLate(t *testing.T) {
	const size, lateness = 1 << 20, 2 * time.Second
	address, conns := listen(t)
	h := newHost(t)
	h.dialer = tcp.NewDialer(tcp.Settings{
		DialTimeout: time.Second,
		AckTimeout:  500 * time.Millisecond,
		KeepAlive:   time.Second,
	})
	conn, err := connect(t, hostList{h.address}, address)
	if err != nil {
		t.Fatal(err)
	}
	// The host that asks decides for its own connection.
	tcp.SetAckTimeout(conn, time.Minute)
	endpoint := <-conns
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	<-time.After(lateness)
	if n, err := io.ReadFull(endpoint, make([]byte, size)); err != nil {
		t.Errorf("the endpoint got %d bytes, %v", n, err)
	}
	_ = endpoint.Close()
	if err := <-written; err != nil {
		t.Error(err)
	}
}
