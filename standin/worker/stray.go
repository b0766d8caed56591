package worker

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// silence is how long a request that has run gets no answer if its connection is to stay open.
const silence = 3 * time.Second

// keep keeps a refusal, which a fault may send again to another request.
func (n *incarnation) keep(id string, refusal []byte) {
	n.refusals[id] = refusal
	n.lastRefusal = refusal
}

// strayRefusal returns a refusal, or the beginning of one, that a fault sends before the answer to a
// request that runs, or nil.
func (s *session) strayRefusal(id string) []byte {
	w := s.worker
	switch {
	case w.happens(func(f Faults) float64 { return f.MisplacedRefusals }):
		return s.earlierRefusal(id)
	case w.happens(func(f Faults) float64 { return f.NamelessRefusals }):
		return w.encodeRefusal(w.drawStatus(), "")
	case w.happens(func(f Faults) float64 { return f.SplicedRefusals }):
		refusal := s.earlierRefusal(id)
		if refusal == nil || w.intN(2) == 0 {
			refusal = w.encodeRefusal(w.drawStatus(), []string{"", "another"}[w.intN(2)])
		}
		return refusal[:1+w.intN(bytes.Index(refusal, []byte("\r\n\r\n")))]
	case w.happens(func(f Faults) float64 { return f.ForeignRefusals }):
		return w.encodeRefusal(w.drawStatus(), "another")
	}
	return nil
}

// earlierRefusal returns the refusal of the same request if the endpoint has refused it, or else the
// last one, or nil.
func (s *session) earlierRefusal(id string) []byte {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	if refusal, ok := s.incarnation.refusals[id]; ok {
		return refusal
	}
	return s.incarnation.lastRefusal
}

// sendStray sends a refusal that does not belong to a request that runs: at once, together with the
// answer, or in two parts.
func (s *session) sendStray(refusal []byte) bool {
	now := len(refusal) * s.worker.intN(3) / 2
	if now > 0 && !s.write(refusal[:now]) {
		return false
	}
	s.pending = append(s.pending, refusal[now:]...)
	return true
}

// answerOddly ends a request that has run in a way that does not tell the outcome, or adds a refusal
// to a whole answer. It reports whether the connection stays open.
func (s *session) answerOddly(request *http.Request, id string, whole []byte) bool {
	switch s.worker.intN(6) {
	case 0:
		s.write([]byte("\x00\x01no answer\r\n\r\n"))
	case 1:
		s.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	case 2:
		return s.write(s.worker.encode(http.StatusInternalServerError, id, "", "failed\n")) && s.finish(request)
	case 3:
		s.await(silence)
	case 4:
		return s.write(append(whole, s.worker.encodeRefusal(http.StatusServiceUnavailable, id)...)) && s.finish(request)
	}
	return false
}

// refusalStatus returns the status of a refusal of a request that has found no room.
func (w *Worker) refusalStatus() int {
	if !w.happens(func(f Faults) float64 { return f.RefusalsWithOtherStatus }) {
		return http.StatusServiceUnavailable
	}
	statuses := []int{http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusBadRequest}
	return statuses[w.intN(len(statuses))]
}

// drawStatus draws the status of a refusal that belongs to no request.
func (w *Worker) drawStatus() int {
	statuses := []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusBadRequest}
	return statuses[w.intN(len(statuses))]
}

// encodeRefusal returns a refusal, which names no request if the ID is empty.
func (w *Worker) encodeRefusal(status int, id string) []byte {
	header := ""
	if status != http.StatusMisdirectedRequest {
		header = w.settings.Names.NotRun + ": 1\r\n"
	}
	if id != "" {
		return w.encode(status, id, header, "busy\n")
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 5\r\n\r\nbusy\n", status, http.StatusText(status), header)
}

func (w *Worker) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}
