package worker

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// refuse answers that the request was not run and never will be.
func (s *session) refuse(request *http.Request, id string, status int) bool {
	w := s.worker
	w.settings.Observer.ObserveDecline(s.incarnation.id, id, status)
	refusal := w.encodeRefusal(status, id)
	if !s.write(refusal) {
		return false
	}
	w.mu.Lock()
	s.incarnation.keep(id, refusal)
	w.mu.Unlock()
	if w.happens(func(f Faults) float64 { return f.RepeatedRefusals }) {
		s.pending = refusal
	}
	return s.finish(request)
}

// answer answers a request that has run.
func (s *session) answer(request *http.Request, id string) bool {
	w := s.worker
	switch {
	case w.happens(func(f Faults) float64 { return f.LostAnswers }):
		return false
	case w.happens(func(f Faults) float64 { return f.ResetAnswers }):
		s.reset()
		return false
	}
	if strings.HasSuffix(request.URL.Path, "stream") {
		return s.stream(request, id) && s.finish(request)
	}
	if isAnsweredEarly(request) {
		s.answerEarly(request, id)
		return false
	}
	m := s.compose(request, id)
	whole := m.text
	if w.happens(func(f Faults) float64 { return f.BadHeads }) {
		return s.write(s.spoilHead(m)) && m.framing != toEnd && s.finish(request)
	}
	if w.happens(func(f Faults) float64 { return f.OddAnswers }) {
		return s.answerOddly(request, id, whole)
	}
	if w.happens(func(f Faults) float64 { return f.CutAnswers }) {
		s.write(whole[:len(whole)-4])
		return false
	}
	if !s.send(m, m) {
		return false
	}
	if w.happens(func(f Faults) float64 { return f.ExtraAnswers }) {
		s.awaitExtra()
		s.tell("twice", m, len(whole))
		s.write(whole)
	}
	return s.keepSent(m) && s.finish(request) && !w.happens(func(f Faults) float64 { return f.Closes })
}

// stream sends a stream, from the event after the last one that the caller has. A fault may cut it off after an event,
// and affects one event otherwise.
func (s *session) stream(request *http.Request, id string) bool {
	w := s.worker
	var events [][]byte
	for i := s.firstEvent(request); i < w.settings.Events; i++ {
		events = append(events, []byte(Event(i, s.incarnation.version, s.endpointName(), id)))
	}
	whole := newMessage(id, w.identify(id)+s.markHeader()+"Content-Type: text/event-stream\r\n", chunked, events...)
	if !s.write(whole.text[:whole.headBytes]) {
		return false
	}
	affected := w.intN(w.settings.Events)
	isResumed := s.firstEvent(request) > 0
	sent := whole.headBytes
	for i, p := range whole.pieces {
		if i == affected && !isResumed && w.happens(func(f Faults) float64 { return f.Preemptions }) && !s.preempt(whole) || !s.awaitEvent(eventPause) {
			return false
		}
		w.awaitThaw()
		part := whole.part(sent, p)
		sent += len(part.text)
		if i == affected && w.happens(func(f Faults) float64 { return f.EndlessEvents }) {
			return s.sendEndless(part)
		}
		if i == affected && w.happens(func(f Faults) float64 { return f.ForeignPieces }) {
			return s.endForeign(part, s.firstEvent(request)+i, i == 0)
		}
		if i == affected && w.happens(func(f Faults) float64 { return f.ForeignEvents }) {
			s.goOnForeign(part, s.firstEvent(request)+i, i)
			return false
		}
		if i == affected && !s.send(part, whole) || i != affected && !s.write(part.text) || w.happens(func(f Faults) float64 { return f.CutAnswers }) {
			return false
		}
	}
	if s.write(whole.text[sent:]) && w.happens(func(f Faults) float64 { return f.ExtraAnswers }) {
		s.awaitExtra()
		s.tell("twice", whole, len(whole.text))
		s.write(whole.text)
	}
	return s.keepSent(whole)
}

// Event returns an event of a stream, which names the version, the endpoint and the request, and is of up to
// maxEventFill bytes more.
func Event(id int, version, endpointID, requestID string) string {
	fill := len(Body(endpointID, fmt.Sprint(requestID, " ", id), false)) % maxEventFill
	return fmt.Sprintf("id: %d\ndata: %s %s %s %s\n\n", id, version, endpointID, requestID, strings.Repeat("e", fill))
}

// firstEvent returns the ID of the first event that the caller does not have.
func (s *session) firstEvent(request *http.Request) int {
	last, err := strconv.Atoi(request.Header.Get(s.worker.settings.Names.LastEventID))
	if err != nil {
		return 0
	}
	return last + 1
}

// AnyEndpoint is what the events of deterministic endpoints name in place of an endpoint.
const AnyEndpoint = "any"

// endpointName returns the name in the events.
func (s *session) endpointName() string {
	if s.worker.settings.IsDeterministic {
		return AnyEndpoint
	}
	return s.incarnation.id
}

// awaitEvent waits until the next event is due, after a time. It reports false if the connection has ended.
func (s *session) awaitEvent(after time.Duration) bool {
	due := time.Now().Add(after)
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	_ = s.conn.SetReadDeadline(due)
	_, err := s.reader.Peek(1)
	if err == nil {
		// The rest of the request's body has arrived.
		s.await(time.Until(due))
	}
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// finish reads the rest of the request and reports whether the connection stays open.
func (s *session) finish(request *http.Request) bool {
	return !s.early || discardBody(request)
}

// write sends an answer or a part of it, and before it what is pending.
func (s *session) write(answer []byte) bool {
	_, err := s.conn.Write(append(s.pending, answer...))
	s.pending = nil
	return err == nil
}

func (s *session) awaitExtra() {
	s.worker.mu.Lock()
	delay := s.worker.faults.ExtraAnswerDelay
	s.worker.mu.Unlock()
	s.await(delay)
}

func (s *session) await(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
}

func (s *session) reset() {
	if lingerer, ok := s.conn.(interface{ SetLinger(int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
}

func (w *Worker) encode(status int, id, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), w.settings.Names.RequestID, id, header, len(body), body)
}
