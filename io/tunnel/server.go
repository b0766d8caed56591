package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/detour"
	"cactuswell/io/tcp"
)

const (
	// MaxTunnels bounds the tunnels that a host serves at the same time: a share of its
	// descriptors and of its memory.
	MaxTunnels = 384
	// serverDialTimeout bounds the time to connect to an endpoint.
	serverDialTimeout = 150 * time.Millisecond
	// tunnelAckTimeout is how long bytes for the endpoint may remain unacknowledged: longer than a
	// call lasts.
	tunnelAckTimeout = 90 * time.Second
	// copyBufferBytes is the size of the buffer for each direction of a tunnel.
	copyBufferBytes = 4 << 10
)

// ServerDependencies holds what a Server needs.
type ServerDependencies struct {
	// Find returns the endpoint at an address, or why this host connects to none there.
	Find func(address string) (detour.Endpoint, Reason)
	// Dial connects to an endpoint, directly.
	Dial func(ctx context.Context, to detour.Endpoint) (net.Conn, error)
	// IsPathProven reports whether an endpoint that this host cannot reach is down, as it has
	// lately reached others of the service.
	IsPathProven func(to detour.Endpoint) bool
}

// Server serves tunnels to other hosts. It is safe for concurrent use.
type Server struct {
	ServerDependencies
	open   atomic.Int64
	served atomic.Int64

	mu      sync.Mutex
	tunnels map[*tunnel]bool
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a Server without tunnels.
func NewServer(dependencies ServerDependencies) *Server {
	return &Server{
		ServerDependencies: dependencies,
		tunnels:            make(map[*tunnel]bool),
	}
}

// OpenTunnels returns the number of open tunnels.
func (s *Server) OpenTunnels() int64 { return s.open.Load() }

// ServedTunnels returns the number of tunnels that were opened since the start.
func (s *Server) ServedTunnels() int64 { return s.served.Load() }

// ServeHTTP implements http.Handler for CONNECT requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	to, reason := s.Find(r.Host)
	if reason != "" {
		deny(w, http.StatusServiceUnavailable, reason)
		return
	}
	if s.open.Add(1) > MaxTunnels {
		s.open.Add(-1)
		deny(w, http.StatusServiceUnavailable, Full)
		return
	}
	defer s.open.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), serverDialTimeout)
	defer cancel()
	endpoint, err := s.Dial(ctx, to)
	if err != nil {
		deny(w, http.StatusBadGateway, s.failureReason(to, err))
		return
	}
	host, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = endpoint.Close()
		deny(w, http.StatusInternalServerError, Unreachable)
		return
	}
	if buffered.Reader.Buffered() > 0 {
		// The other host sends nothing before the response.
		_ = errors.Join(host.Close(), endpoint.Close())
		return
	}
	s.served.Add(1)
	s.serve(&tunnel{
		host:     host,
		endpoint: endpoint,
		isFramed: acceptsFrames(r.Header),
		// Receipts follow frames.
		sendsReceipts: acceptsFrames(r.Header) && acceptsReceipts(r.Header),
		requests:      newRequestWriter(endpoint),
	})
}

// failureReason returns why an endpoint was not reached.
func (s *Server) failureReason(to detour.Endpoint, err error) Reason {
	switch {
	case !s.IsPathProven(to):
		return Unproven
	case tcp.IsRefused(err):
		return Refused
	}
	return Unreachable
}

func deny(w http.ResponseWriter, status int, reason Reason) {
	w.Header().Set(reasonHeader, string(reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// serve copies bytes until the tunnel has ended.
func (s *Server) serve(t *tunnel) {
	s.mu.Lock()
	s.tunnels[t] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.tunnels, t)
		s.mu.Unlock()
	}()
	t.run()
}

// Abort ends all tunnels.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		t.abort()
	}
}

// tunnel is a pair of connections.
type tunnel struct {
	host     net.Conn
	endpoint net.Conn
	// isFramed is set if the other host expects frames.
	isFramed bool
	// sendsReceipts is set if it expects receipts.
	sendsReceipts bool
	requests      *requestWriter
}

// run copies bytes in both directions until either side has ended.
func (t *tunnel) run() {
	defer t.abort()
	// The other host, which knows the call, decides how long its endpoint may take to read.
	tcp.SetAckTimeout(t.endpoint, tunnelAckTimeout)
	// The deadlines are those of the server that has read the request.
	if t.host.SetDeadline(time.Time{}) != nil {
		return
	}
	response := "HTTP/1.1 200 OK\r\n\r\n"
	if t.isFramed {
		response = "HTTP/1.1 200 OK\r\n" + framingHeader + ": " + framingLength + "\r\n"
		if t.sendsReceipts {
			response += receiptsHeader + ": " + receiptsCount + "\r\n"
		}
		response += "\r\n"
	}
	if _, err := io.WriteString(t.host, response); err != nil {
		return
	}
	done := make(chan struct{})
	go t.loopRequests(done)
	t.loopResponses(done)
	t.abort()
	<-done
}

// loopRequests copies what the other host sends. A host that closes the tunnel no longer
// waits for a response.
func (t *tunnel) loopRequests(done chan<- struct{}) {
	defer close(done)
	_ = copyBytes(t.requests, t.host)
	_ = t.endpoint.Close()
}

// loopResponses copies what the endpoint sends, and ends the tunnel as the endpoint has
// ended the connection.
func (t *tunnel) loopResponses(requestsDone <-chan struct{}) {
	var frames *frameWriter
	to := io.Writer(t.host)
	if t.isFramed {
		frames = &frameWriter{conn: t.host}
		to = frames
	}
	if copyBytes(to, t.endpoint) == nil && t.endResponses(frames, requestsDone) {
		_ = t.host.Close()
	}
}

// abort closes both connections. One that is still open is reset.
func (t *tunnel) abort() {
	for _, conn := range []net.Conn{t.host, t.endpoint} {
		if lingerer, ok := conn.(interface{ SetLinger(int) error }); ok {
			_ = lingerer.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// copyBytes copies bytes until the end of the source, and returns nil, or until an error.
func copyBytes(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
