package opaque_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/io/opaque"
)

const (
	// silentPlaces is the number of calls that two endpoints of four slots take: half as many wait there.
	silentPlaces = 12
	// holdTime is how long the calls run that take the other places.
	holdTime = 1900 * time.Millisecond
	// waitFrom is when further calls come, just before a stream counts as silent.
	waitFrom = 900 * time.Millisecond
	// silentAt is the event before which the endpoint is silent.
	silentAt = 3
)

// silentCase is a call whose endpoint is silent for a while, beside calls that take other places.
type silentCase struct {
	path string
	// first is set if the endpoint is silent before its answer begins.
	first bool
	pause time.Duration
	// held is the number of other calls, of which one at each endpoint ends after freeAfter unless that is zero.
	held      int
	freeAfter time.Duration
	// waiting is the number of further calls, which wait for a place when the endpoint has been silent for long.
	waiting int
}

// silentPlay is the run of a case.
type silentPlay struct {
	silentCase
	runs atomic.Int64

	mu sync.Mutex
	// begun and ended are when the runs of the call have begun and ended.
	begun, ended []time.Time
}

// recordRun records that a run of the call begins. The returned function records its end.
func (p *silentPlay) recordRun() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = append(p.begun, time.Now())
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = append(p.ended, time.Now())
	}
}

// isSideBySide reports whether a run of the call began before the one before it had ended.
func (p *silentPlay) isSideBySide() bool {
	return len(p.begun) > 1 && p.begun[1].Before(p.ended[0])
}

// answer answers a request of the call or of another one.
func (p *silentPlay) answer(conn net.Conn, _ int, request *http.Request) (stays bool) {
	if rest, ok := strings.CutPrefix(request.URL.Path, "/stream/hold-"); ok {
		hold := holdTime
		if (rest == "0" || rest == "1") && p.freeAfter > 0 {
			hold = p.freeAfter
		}
		_, _ = io.WriteString(conn, eventHead(request, "", "chunks", 0)+asChunk(foreignEvent("hold", 0)))
		time.Sleep(hold)
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	defer p.recordRun()()
	isFirstRun := p.runs.Add(1) == 1
	if isFirstRun && p.first && !awaitEnd(conn, p.pause) {
		return false
	}
	if strings.HasPrefix(request.URL.Path, "/safe/") {
		_, err := io.WriteString(conn, answerHead(request, "200 OK", "Content-Length: 4\r\n")+"done")
		return err == nil
	}
	if _, err := io.WriteString(conn, eventHead(request, "", "chunks", 0)); err != nil {
		return false
	}
	from := 0
	if last, err := strconv.Atoi(request.Header.Get(opaque.DefaultHeaderNames().LastEventID)); err == nil {
		from = last + 1
	}
	for id := from; id < foreignEvents; id++ {
		if isFirstRun && !p.first && id == silentAt && !awaitEnd(conn, p.pause) {
			return false
		}
		if _, err := io.WriteString(conn, asChunk(foreignEvent(mixedID, id))); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// awaitEnd waits for a time, and reports false if the connection ends before.
func awaitEnd(conn net.Conn, pause time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(pause))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// play makes the calls and returns the reply to the one whose endpoint is silent.
func (p *silentPlay) play(t *testing.T) (reply mixedReply) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rig := newMixedPlay(mixedTable(t), 2, 1<<24, nil)
		defer rig.stop()
		rig.script = p.answer
		var others sync.WaitGroup
		for i := range p.held {
			others.Go(func() { rig.call(fmt.Sprintf("/stream/hold-%d", i), fmt.Sprintf("hold-%d", i)) })
			synctest.Wait()
		}
		for i := range p.waiting {
			others.Go(func() {
				time.Sleep(waitFrom)
				rig.call(fmt.Sprintf("/stream/hold-wait-%d", i), fmt.Sprintf("wait-%d", i))
			})
		}
		reply = rig.call(p.path, mixedID)
		others.Wait()
	})
	return reply
}

// TestSoundSilentAttemptIsNotGivenUp guards against an answer that is lost although its endpoint, which was silent for a while, would
// have gone on before the caller leaves: it was given up while no other endpoint had room, and refused when room did not come.
// Where there is room, or comes, another endpoint goes on at once, and an endpoint that is silent for good loses no answer. No
// two runs are under way at a time.
func TestSoundSilentAttemptIsNotGivenUp(t *testing.T) {
	const forGood = time.Hour
	for name, test := range map[string]struct {
		silentCase
		runs int64
	}{
		"stream, full":                      {silentCase: silentCase{path: "/resumable/x", pause: 1700 * time.Millisecond, held: silentPlaces - 1}, runs: 1},
		"stream, full, others wait":         {silentCase: silentCase{path: "/resumable/x", pause: 1700 * time.Millisecond, held: silentPlaces - 1, waiting: 2}, runs: 1},
		"stream, room":                      {silentCase: silentCase{path: "/resumable/x", pause: 1700 * time.Millisecond, held: 3}, runs: 2},
		"stream, room, for good":            {silentCase: silentCase{path: "/resumable/x", pause: forGood, held: 3}, runs: 2},
		"stream, room comes, for good":      {silentCase: silentCase{path: "/resumable/x", pause: forGood, held: silentPlaces - 1, freeAfter: 1100 * time.Millisecond}, runs: 2},
		"first event, full":                 {silentCase: silentCase{path: "/resumable/x", first: true, pause: 1700 * time.Millisecond, held: silentPlaces - 1}, runs: 1},
		"first event, room, for good":       {silentCase: silentCase{path: "/resumable/x", first: true, pause: forGood, held: 3}, runs: 2},
		"first event, room comes, for good": {silentCase: silentCase{path: "/resumable/x", first: true, pause: forGood, held: silentPlaces - 1, freeAfter: 900 * time.Millisecond}, runs: 2},
		"call, full":                        {silentCase: silentCase{path: "/safe/x", first: true, pause: 1500 * time.Millisecond, held: silentPlaces - 1}, runs: 1},
		"call, room, for good":              {silentCase: silentCase{path: "/safe/x", first: true, pause: forGood, held: 3}, runs: 2},
		"call, room comes, for good":        {silentCase: silentCase{path: "/safe/x", first: true, pause: forGood, held: silentPlaces - 1, freeAfter: 900 * time.Millisecond}, runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := &silentPlay{silentCase: test.silentCase}
			reply := p.play(t)
			if reply.status != http.StatusOK || !reply.isWhole || p.runs.Load() != test.runs || p.isSideBySide() {
				t.Errorf("status %d, whole %v after %v, %d runs, side by side %v: %q", reply.status, reply.isWhole, reply.after, p.runs.Load(), p.isSideBySide(), reply.body)
			}
			if strings.HasPrefix(test.path, "/resumable/") && strings.Count(reply.body, "\n\n") != foreignEvents {
				t.Errorf("the caller got %q", reply.body)
			}
		})
	}
}
