package trail_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/timer"
	"cactuswell/trail"
)

// blockedWriter blocks each write until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// startTrail runs a trail and returns a function that stops it.
func startTrail(t *testing.T, out io.Writer) (*trail.Trail, func()) {
	t.Helper()
	timers := timer.New()
	lines := trail.New(out, "host-1", timers)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- timers.Run(ctx) }()
	go func() { done <- lines.Run(ctx) }()
	return lines, func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
}

func TestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lines, stop := startTrail(t, &out)
		lines.Event("callSent").Text("request", "a\"b\\c\n\xff").Int("attempt", 2).Bool("repeat", true).
			Float("share", 0.25).Millis("first", 1500*time.Microsecond).Err(errors.New("x")).Err(nil).End()
		time.Sleep(time.Second)
		stop()
		want := `{"time":"2000-01-01T00:00:00.000Z","level":"info","event":"callSent","host":"host-1",` +
			`"request":"a\"b\\c\u000a\u00ff","attempt":2,"repeat":true,"share":0.250,"firstMs":1.5,"error":"x"}` + "\n"
		if out.String() != want {
			t.Errorf("line is %s", out.String())
		}
		if !json.Valid(out.Bytes()) {
			t.Error("the line is not valid JSON")
		}
	})
}

// TestBlockedWriterDoesNotBlockCallers checks that a blocked output does not block
// those who log, that failures are kept longest, and that dropped lines are
// reported.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		lines, stop := startTrail(t, out)
		startedAt := time.Now()
		text := strings.Repeat("x", 1000)
		lines.Event("first").End()
		time.Sleep(time.Second)
		for range 2000 {
			lines.Event("callSent").Text("text", text).End()
		}
		lines.Failure("callRefused").Text("request", "r1").End()
		if elapsed := time.Since(startedAt); elapsed != time.Second {
			t.Errorf("writing lines took %v", elapsed-time.Second)
		}
		if !lines.IsOverloaded() || lines.DroppedCount() == 0 {
			t.Errorf("overloaded %v, dropped %d", lines.IsOverloaded(), lines.DroppedCount())
		}
		close(out.release)
		time.Sleep(time.Second)
		stop()
		for _, want := range []string{`"event":"callRefused"`, `"event":"linesDropped"`} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no line with %s", want)
			}
		}
	})
}

// TestMerge logs one endpoint that is ejected five times within a second, and
// another that is ejected once.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lines, stop := startTrail(t, &out)
		for i := range 5 {
			lines.Notice("endpointEjected").Int("number", int64(i)).Merge("endpoint-1")
			time.Sleep(50 * time.Millisecond)
		}
		lines.Notice("endpointEjected").Int("number", 10).Merge("endpoint-2")
		time.Sleep(3 * time.Second)
		lines.Notice("endpointTakenBack").Int("number", 20).Merge("endpoint-1")
		lines.Notice("endpointEjected").Int("number", 21).Merge("endpoint-1")
		lines.Notice("endpointEjected").Int("number", 22).Merge("endpoint-1")
		stop()
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var decoded struct {
				Event  string
				Number int
				Merged int
			}
			if err := json.Unmarshal([]byte(line), &decoded); err != nil {
				t.Fatalf("line %q: %v", line, err)
			}
			got = append(got, fmt.Sprintf("%s %d+%d", decoded.Event, decoded.Number, decoded.Merged))
		}
		want := []string{
			"endpointEjected 0+0",
			"endpointEjected 10+0",
			"endpointEjected 4+3",
			"endpointTakenBack 20+0",
			"endpointEjected 21+0",
			"endpointEjected 22+0",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

func TestDiscardedLine(t *testing.T) {
	var out bytes.Buffer
	lines := trail.New(&out, "host-1", timer.New())
	lines.DiscardedLine().Text("request", "r1").End()
	if lines.LineCount() != 0 {
		t.Error("the line was accepted")
	}
}

func BenchmarkLine(b *testing.B) {
	lines := trail.New(&bytes.Buffer{}, "host-1", timer.New())
	for b.Loop() {
		lines.Event("callSent").Text("request", "9c41d07be2a35f68").Text("endpoint", "i-7f3a91c2").
			Int("attempt", 1).Millis("first", 35*time.Millisecond).Int("running", 7).End()
	}
}
