package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
)

// BenchmarkLines measures a call through a host with log lines and without them, as
// when the reader of the output is blocked, for one caller and for three concurrent
// ones.
func BenchmarkLines(b *testing.B) {
	for _, c := range []struct {
		name    string
		blocked bool
		callers int
	}{
		{"on/oneCaller", false, 1},
		{"off/oneCaller", true, 1},
		{"on/threeCallers", false, 3},
		{"off/threeCallers", true, 3},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newFixture(b, 2)
			if c.blocked {
				f.logLines.mu.Lock()
				defer f.logLines.mu.Unlock()
				eventually(b, "lines are suppressed", func() bool {
					f.get("/lookup/x")
					return f.gateway.IsLogOverloaded()
				})
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.callers}}
			defer client.CloseIdleConnections()
			remaining := atomic.Int64{}
			remaining.Store(int64(b.N))
			done := make(chan struct{})
			b.ResetTimer()
			for range c.callers {
				go func() {
					defer func() { done <- struct{}{} }()
					for remaining.Add(-1) >= 0 {
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
