package opaque_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"cactuswell/io/opaque"
)

const foreignEvents = 13

// foreignEvent returns an event of an answer's run.
func foreignEvent(answer string, id int) string {
	return fmt.Sprintf("id: %d\ndata: answer to %s, event %d\n\n", id, answer, id)
}

// asChunk returns a chunk.
func asChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// streamBreak is how an endpoint's answer breaks off at an event.
type streamBreak struct {
	// last returns what the endpoint sends last, in place of an event: own is the event, and other that of another answer.
	last func(own, other string) string
	// isReset is set if a reset follows, and isSilent if nothing does.
	isReset, isSilent bool
	// isByLength is set if the answer has a length, and no chunks.
	isByLength bool
}

// tornAt returns the parts of an event before and behind the name of its answer.
func tornAt(event string) (before, rest string) {
	at := strings.Index(event, "answer to ") + len("answer to ")
	return event[:at], event[at:]
}

// endWithin is an event that is torn and ended by another answer's, in a chunk with so many bytes more.
func endWithin(lacks int, end string) func(own, other string) string {
	return func(own, other string) string {
		before, _ := tornAt(own)
		_, rest := tornAt(other)
		return fmt.Sprintf("%x\r\n%s%s%s", len(before)+len(rest)+lacks, before, rest, end)
	}
}

// foreignPieces are the ways in which a piece of another answer comes last.
var foreignPieces = map[string]streamBreak{
	"chunk not finished":               {last: endWithin(20, "")},
	"chunk not finished, reset":        {last: endWithin(20, ""), isReset: true},
	"chunk not finished, silent":       {last: endWithin(20, ""), isSilent: true},
	"chunk filled, no line break":      {last: endWithin(0, "")},
	"chunk filled, half a line break":  {last: endWithin(0, "\r")},
	"chunk filled, other bytes follow": {last: endWithin(0, "id: 9")},
	"whole chunk":                      {last: endWithin(0, "\r\n")},
	"whole chunk, reset":               {last: endWithin(0, "\r\n"), isReset: true},
	"whole chunk, silent":              {last: endWithin(0, "\r\n"), isSilent: true},
	"chunk of its own": {last: func(own, other string) string {
		before, _ := tornAt(own)
		_, rest := tornAt(other)
		return asChunk(before) + asChunk(rest)
	}},
	"event of its own": {last: func(_, other string) string { return asChunk(other) }},
	"end of an event alone": {last: func(_, other string) string {
		_, rest := tornAt(other)
		return asChunk(rest)
	}},
	"by length": {isByLength: true, last: func(own, other string) string {
		before, _ := tornAt(own)
		_, rest := tornAt(other)
		return before + rest
	}},
	"event of its own, by length": {isByLength: true, last: func(_, other string) string { return other }},
}

// soundBreaks are the ways in which a sound answer breaks off.
var soundBreaks = map[string]streamBreak{
	"between events":             {last: func(own, _ string) string { return asChunk(own) }},
	"between events, reset":      {last: func(own, _ string) string { return asChunk(own) }, isReset: true},
	"between events, silent":     {last: func(own, _ string) string { return asChunk(own) }, isSilent: true},
	"within an event":            {last: func(own, _ string) string { return asChunk(own)[:20] }},
	"within an event, reset":     {last: func(own, _ string) string { return asChunk(own)[:20] }, isReset: true},
	"within an event, silent":    {last: func(own, _ string) string { return asChunk(own)[:20] }, isSilent: true},
	"within a chunk's size":      {last: func(own, _ string) string { return asChunk(own)[:1] }},
	"between events, by length":  {isByLength: true, last: func(own, _ string) string { return own }},
	"within an event, by length": {isByLength: true, last: func(own, _ string) string { return own[:20] }},
	"behind a comment":           {last: func(own, _ string) string { return asChunk(own) + asChunk(": busy\n\n") }},
}

// playBreak makes a call of which the first attempt breaks off at an event. Runs differ if each names itself in its events. It
// returns the reply and the sound one.
func playBreak(t *testing.T, b streamBreak, at int, runsDiffer bool) (reply mixedReply, want string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newMixedPlay(mixedTable(t), 2, 1<<24, nil)
		defer p.stop()
		p.script = func(conn net.Conn, number int, request *http.Request) bool {
			run := mixedID
			if runsDiffer {
				run = fmt.Sprintf("%s, run %d", mixedID, number)
			}
			framing, asPart := framedByChunks, asChunk
			if b.isByLength && number == 1 {
				framing, asPart = framedByLength, func(data string) string { return data }
			}
			text := mixedHeadOf(namesOwn, mixedID, framing, 1000)
			first := 0
			if last, err := strconv.Atoi(request.Header.Get(opaque.DefaultHeaderNames().LastEventID)); err == nil {
				first = last + 1
			}
			for id := first; id < foreignEvents; id++ {
				event := foreignEvent(run, id)
				if number > 1 || id != at {
					text += asPart(event)
					continue
				}
				text += b.last(event, foreignEvent("call-0", id))
				break
			}
			if number > 1 {
				text += "0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, text)
			if memory, ok := conn.(*memoryConn); ok && number == 1 && b.isReset {
				memory.reset()
			}
			if number == 1 && b.isSilent {
				_, _ = io.Copy(io.Discard, conn)
			}
			return number > 1
		}
		reply = p.call("/resumable/x", mixedID)
	})
	first := strings.Count(reply.body, "run 1,")
	for id := range foreignEvents {
		switch {
		case !runsDiffer:
			want += foreignEvent(mixedID, id)
		case id < first:
			want += foreignEvent(mixedID+", run 1", id)
		default:
			want += foreignEvent(mixedID+", run 2", id)
		}
	}
	return reply, want
}

// TestForeignPieceEndsNoWholeStream guards against a stream that goes on and ends as complete after a piece of another
// answer: the endpoint stops within an event, sends a part of an earlier answer and ends the connection, so that the piece is
// the last that the caller has of the attempt, and nothing that follows tells it from an event of the endpoint's own.
func TestForeignPieceEndsNoWholeStream(t *testing.T) {
	for name, b := range foreignPieces {
		t.Run(name, func(t *testing.T) {
			for at := 1; at < foreignEvents; at++ {
				reply, want := playBreak(t, b, at, false)
				if reply.isWhole && reply.body != want {
					t.Errorf("event %d, after %d attempts: %q", at, reply.attempts, reply.body)
				}
			}
		})
	}
}

// TestUnfinishedChunkEndsNoWholeStream guards against the same where the runs of two endpoints differ, or nothing is before the
// event, so that only the framing tells: the chunk of the event has no sound end.
func TestUnfinishedChunkEndsNoWholeStream(t *testing.T) {
	for name, b := range foreignPieces {
		if !strings.Contains(name, "chunk not finished") && !strings.Contains(name, "chunk filled") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for at := range foreignEvents {
				for _, runsDiffer := range []bool{false, true} {
					reply, _ := playBreak(t, b, at, runsDiffer)
					if reply.isWhole && strings.Contains(reply.body, "call-0") {
						t.Errorf("event %d, runs differ %v, after %d attempts: %q", at, runsDiffer, reply.attempts, reply.body)
					}
				}
			}
		})
	}
}

// TestSoundStreamIsResumed guards against streams that are lost by the check of what came last: each sound stream that
// breaks off is resumed, whether the endpoints' runs are the same or differ.
func TestSoundStreamIsResumed(t *testing.T) {
	for name, b := range soundBreaks {
		t.Run(name, func(t *testing.T) {
			for at := range foreignEvents {
				for _, runsDiffer := range []bool{false, true} {
					reply, want := playBreak(t, b, at, runsDiffer)
					if body := strings.ReplaceAll(reply.body, ": busy\n\n", ""); !reply.isWhole || body != want || reply.attempts != 2 {
						t.Errorf("event %d, runs differ %v, %d attempts, whole %v: %q", at, runsDiffer, reply.attempts, reply.isWhole, reply.body)
					}
				}
			}
		})
	}
}
