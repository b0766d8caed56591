package gateway_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"cactuswell/core/route"
	"cactuswell/standin/keyedlog"
)

const (
	// thinLinkBytes is the bandwidth, in bytes a second, that calls leave on the thinnest link of a
	// host: 1 of 10 Mbit/s.
	thinLinkBytes = 1_000_000 / 8
	// thinLinkBurst is what a link sends at once.
	thinLinkBurst = 4 << 10
	// randomRoutes is the number of routes with random names that take over a second on it.
	randomRoutes = 300
	// randomNameBytes is the size of the random names of routes that cannot be compressed.
	randomNameBytes = 400
	// manyRoutes is the number of routes of a large configuration.
	manyRoutes = 1450
	// maxChangeBytes is what a host may send to another for one change: 3 KB a second for control, and
	// 11,000 changes a day.
	maxChangeBytes = 3 << 10 * 86_400 / 11_000
)

// thinLink is the link of a host, over which it sends to others no faster than the bandwidth.
type thinLink struct {
	net.Listener
	limiter *rate.Limiter

	mu   sync.Mutex
	sent int
	// received holds the heads of the others' requests.
	received strings.Builder
	// isHeld is set while nothing passes.
	isHeld bool
	opened chan struct{}
}

func newThinLink() *thinLink {
	return &thinLink{limiter: rate.NewLimiter(thinLinkBytes, thinLinkBurst)}
}

func (l *thinLink) listen(inner net.Listener) net.Listener {
	l.Listener = inner
	return l
}

// Accept implements net.Listener.
func (l *thinLink) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &thinConn{
		Conn: conn,
		link: l,
	}, nil
}

// hold lets nothing pass until release.
func (l *thinLink) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isHeld = true
	l.opened = make(chan struct{})
}

func (l *thinLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isHeld {
		l.isHeld = false
		close(l.opened)
	}
}

// sentBytes returns the bytes that have passed.
func (l *thinLink) sentBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// requests returns how often a path was requested.
func (l *thinLink) requests(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.received.String(), "GET "+path)
}

// thinConn is a connection over a thin link.
type thinConn struct {
	net.Conn
	link *thinLink
}

// Read implements net.Conn.
func (c *thinConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.received.Write(p[:n])
	return n, err
}

// Write implements net.Conn.
func (c *thinConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(written+thinLinkBurst, len(p))]
		c.link.mu.Lock()
		isHeld, opened := c.link.isHeld, c.link.opened
		c.link.mu.Unlock()
		if isHeld {
			<-opened
		}
		// It waits for any number of bytes up to the burst.
		_ = c.link.limiter.WaitN(context.Background(), len(part))
		n, err := c.Conn.Write(part)
		written += n
		c.link.mu.Lock()
		c.link.sent += n
		c.link.mu.Unlock()
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// startBehindThinLink starts two hosts, of which the second gets the configuration from the first
// alone, over a thin link.
func startBehindThinLink(t *testing.T) (first, second *fixture, link *thinLink) {
	t.Helper()
	link = newThinLink()
	first = newFixtureBehind(t, &fixture{wrapPeerListener: link.listen}, 1)
	log := first.log.NewClient()
	second = first.startSecondHost(log)
	t.Cleanup(link.release)
	log.SetFault(keyedlog.RefusedTopic{Topic: configurationTopic})
	return first, second, link
}

// publishRoutes publishes the next version, with a number of routes besides those of the tests.
func (f *fixture) publishRoutes(routes int) {
	f.spec.Version++
	f.spec.Routes = f.spec.Routes[:len(testSpec().Routes)]
	for i := range routes {
		f.spec.Routes = append(f.spec.Routes, route.Route{
			Name:          fmt.Sprintf("added-%d", i),
			Host:          fmt.Sprintf("host-%d.example", i%97),
			PathPrefix:    fmt.Sprintf("/added-%d/", i),
			Kind:          route.Safe,
			MaxAttempts:   2,
			Timeout:       5 * time.Second,
			TargetLatency: time.Second,
			Targets:       []route.Target{{Service: service, Weight: 1}},
		})
	}
	f.publishConfiguration()
}

// publishRandomRoutes is like publishRoutes, with names that do not get smaller by half when they are
// compressed.
func (f *fixture) publishRandomRoutes(routes int) {
	random := rand.NewChaCha8([32]byte{})
	name := make([]byte, randomNameBytes)
	f.spec.Version++
	for range routes {
		// It never fails.
		_, _ = random.Read(name)
		added := f.spec.Routes[0]
		added.Name = hex.EncodeToString(name)
		added.Host = "random.example"
		f.spec.Routes = append(f.spec.Routes, added)
	}
	f.publishConfiguration()
}

func (f *fixture) awaitVersion(version int64) {
	f.t.Helper()
	f.awaitLine(`"event":"configurationTaken"`, fmt.Sprintf(`"version":%d,`, version))
}

// TestLargeConfigurationCrossesThinLink guards against fetches that are given up while their bytes arrive.
func TestLargeConfigurationCrossesThinLink(t *testing.T) {
	first, second, _ := startBehindThinLink(t)
	first.publishRandomRoutes(randomRoutes)
	second.awaitVersion(2)
	if lines := second.logLines.String(); strings.Contains(lines, "peerFetchFailed") {
		t.Errorf("fetches failed:\n%s", linesWith(lines, "peerFetchFailed"))
	}
}

// configuration returns the encoded configuration that the host has in force.
func (f *fixture) configuration() string {
	f.t.Helper()
	response, err := http.Get("http://" + f.gateway.PeerAddress() + "/v1/configuration")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(body)
}

func linesWith(lines, text string) string {
	var found []string
	for line := range strings.Lines(lines) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// TestConfigurationIsTransferredOnce guards against a second transfer of a configuration over the
// link over which the first is still coming.
func TestConfigurationIsTransferredOnce(t *testing.T) {
	first, second, link := startBehindThinLink(t)
	first.publishRandomRoutes(randomRoutes)
	second.awaitVersion(2)
	if requests := link.requests("/v1/configuration"); requests > 0 {
		t.Errorf("the configuration was requested %d times past the copy", requests)
	}
	if requests := link.requests("/v1/changes?base=-1&era=0&offset=1&packing=zstd&topic=" + configurationTopic); requests != 1 {
		t.Errorf("the changes were requested %d times", requests)
	}
}

// TestSmallChangeOfLargeConfigurationIsSmall guards against changes that cost the size of the whole
// configuration, so that the link bounds how many there may be.
func TestSmallChangeOfLargeConfigurationIsSmall(t *testing.T) {
	first, second, link := startBehindThinLink(t)
	first.publishRoutes(manyRoutes)
	second.awaitVersion(2)
	for version := int64(3); version <= 6; version++ {
		first.awaitVersion(version - 1)
		before := link.sentBytes()
		first.spec.Routes[0].Timeout += time.Second
		first.spec.Version = version
		first.publishConfiguration()
		second.awaitVersion(version)
		if sent := link.sentBytes() - before; sent > maxChangeBytes {
			t.Errorf("version %d took %d bytes, at most %d are allowed", version, sent, maxChangeBytes)
		}
	}
	want, err := json.Marshal(first.spec)
	if err != nil {
		t.Fatal(err)
	}
	if second.configuration() != string(want) {
		t.Error("the second host has another configuration")
	}
}
