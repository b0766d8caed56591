package worker

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// refuse answers that the request was not run and never will be.
func (s *session) refuse(request *http.Request, id string, status int) bool {
	w := s.worker
	w.settings.Observer.ObserveDecline(s.incarnation.id, id, status)
	header := ""
	if status != http.StatusMisdirectedRequest {
		header = w.settings.Names.NotRun + ": 1\r\n"
	}
	refusal := w.encode(status, id, header, "busy\n")
	if !s.write(refusal) {
		return false
	}
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
	header := w.settings.Names.Mark + ": " + s.incarnation.id + "\r\n"
	if strings.HasSuffix(request.URL.Path, "stream") {
		return s.stream(id, header) && s.finish(request)
	}
	whole := w.encode(http.StatusOK, id, header, "answer to "+id+"\n")
	if w.happens(func(f Faults) float64 { return f.CutAnswers }) {
		s.write(whole[:len(whole)-4])
		return false
	}
	if !s.write(whole) {
		return false
	}
	if w.happens(func(f Faults) float64 { return f.ExtraAnswers }) {
		s.awaitExtra()
		s.write(whole)
	}
	return s.finish(request) && !w.happens(func(f Faults) float64 { return f.Closes })
}

// stream sends a stream, which a fault may cut off after an event.
func (s *session) stream(id, header string) bool {
	w := s.worker
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		w.settings.Names.RequestID, id, header)
	if !s.write([]byte(head)) {
		return false
	}
	tick := time.NewTicker(eventPause)
	defer tick.Stop()
	for i := range w.settings.Events {
		<-tick.C
		w.awaitThaw()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
		if !s.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)) || w.happens(func(f Faults) float64 { return f.CutAnswers }) {
			return false
		}
	}
	return s.write([]byte("0\r\n\r\n"))
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
	timer := time.NewTimer(delay)
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
