package worker

import (
	"fmt"
	"strings"
	"time"
)

const (
	// minPreemption and maxPreemption are the times for which a stream pauses.
	minPreemption = 600 * time.Millisecond
	maxPreemption = 1900 * time.Millisecond
	// foreignRequest is the request whose answer a foreign piece is of.
	foreignRequest = "foreign-1"
	// missingBytes is the number of bytes that an unfinished chunk lacks.
	missingBytes = 20
)

// preempt pauses a stream. It reports false if the connection has ended.
func (s *session) preempt(whole *message) bool {
	pause := minPreemption + time.Duration(s.worker.intN(int((maxPreemption-minPreemption)/time.Millisecond)))*time.Millisecond
	s.tell(fmt.Sprintf("paused for %v", pause), whole, whole.headBytes)
	return s.awaitEvent(pause)
}

// endForeign sends the beginning of an event and the end of another answer's, and ends the connection. The chunk has a sound
// end, or the piece is a whole event, only if endpoints are deterministic and it is not the first event: nothing else would tell
// it from the event.
func (s *session) endForeign(part *message, id int, isFirst bool) bool {
	own := string(part.text[part.pieces[0].start:part.pieces[0].end])
	foreign := Event(id, s.incarnation.version, s.endpointName(), foreignRequest)
	at := strings.Index(foreign, foreignRequest)
	piece := own[:at] + foreign[at:]
	forms := []string{
		fmt.Sprintf("%x\r\n%s", len(piece)+missingBytes, piece),
		fmt.Sprintf("%x\r\n%s", len(piece), piece),
	}
	if s.worker.settings.IsDeterministic && !isFirst {
		forms = append(forms,
			fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece),
			fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n", at, own[:at], len(foreign)-at, foreign[at:]),
			fmt.Sprintf("%x\r\n%s\r\n", len(foreign), foreign))
	}
	form := s.worker.intN(len(forms))
	s.tell(fmt.Sprintf("foreign piece, form %d,", form), part, at)
	if s.write([]byte(forms[form])) && s.worker.intN(2) == 0 {
		s.pause()
		s.reset()
	}
	return false
}
