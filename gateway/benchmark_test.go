package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
)

// BenchmarkLines measures a call through a host with its lines and without them,
// as under a reader that takes none, for one caller and for three at a time.
func BenchmarkLines(b *testing.B) {
	for _, c := range []struct {
		name    string
		stuck   bool
		callers int
	}{
		{"on/oneCaller", false, 1},
		{"off/oneCaller", true, 1},
		{"on/threeCallers", false, 3},
		{"off/threeCallers", true, 3},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newFixture(b, 2)
			if c.stuck {
				f.lines.mu.Lock()
				defer f.lines.mu.Unlock()
				eventually(b, "lines are left out", func() bool {
					f.get("/lookup/x")
					return f.gateway.LeavesOutLines()
				})
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.callers}}
			defer client.CloseIdleConnections()
			left := atomic.Int64{}
			left.Store(int64(b.N))
			done := make(chan struct{})
			b.ResetTimer()
			for range c.callers {
				go func() {
					defer func() { done <- struct{}{} }()
					for left.Add(-1) >= 0 {
						response, err := client.Do(f.request(http.MethodGet, "/lookup/x", nil))
						if err != nil {
							b.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}()
			}
			for range c.callers {
				<-done
			}
			b.StopTimer()
		})
	}
}
