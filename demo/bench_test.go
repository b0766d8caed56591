package demo_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"cactuswell/demo"
	"cactuswell/deployment"
)

const (
	benchmarkTokens  = 500
	benchmarkStreams = 16
)

// BenchmarkStreamedTokens measures streams from end to end, stand-ins and
// callers included, and reports allocations for each token.
func BenchmarkStreamedTokens(b *testing.B) {
	firm := deployment.Kelisim()
	firm.Pools[0].Slots = 64
	firm.Pools[0].TokenInterval = time.Millisecond
	firm.Pools[0].AnswerTokens = 4 * benchmarkTokens
	d, err := demo.New(firm, 1, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	ctx := b.Context()
	go func() { _ = d.Run(ctx, ctx) }()
	if err := d.PublishProfiles(ctx); err != nil {
		b.Fatal(err)
	}
	address := "http://" + d.Hosts()[0].CallerAddress() + "/v1/chat/completions"
	body := chatText("caseFileBriefing", true, benchmarkTokens)
	b.ReportAllocs()
	for b.Loop() {
		var group sync.WaitGroup
		for range benchmarkStreams {
			group.Go(func() {
				response, err := http.Post(address, "application/json", strings.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
		}
		group.Wait()
	}
}
