package worker

import (
	"fmt"
	"slices"
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

// The numbers of events that show how the events of an answer look, what their data begins with, and their pace.
const (
	formEvents    = 2
	openingEvents = 4
	paceEvents    = 6
)

// foreignForm is a way to go on with events of another answer.
type foreignForm struct {
	name string
	// least is the number of events of the answer that tell the form from it.
	least int
	parts []string
}

// foreignForms returns the forms in place of an event with an ID. Foreign returns the events of the other answer, which is as long,
// and an empty text behind them.
func foreignForms(own string, id int, foreign func(id int) string) []foreignForm {
	other, next := foreign(id), foreign(id+1)
	end := other[len(other)/2:]
	_, data, _ := strings.Cut(other, "\n")
	forms := []foreignForm{
		{name: "end of an event", least: 1, parts: []string{end, other, next}},
		{name: "blank line", least: formEvents, parts: []string{"\n", other, next}},
		{name: "comment", least: formEvents, parts: []string{": " + end, other, next}},
		{name: "event without an ID", least: formEvents, parts: []string{data, other, next}},
		{name: "whole events", least: openingEvents, parts: []string{other, next}},
	}
	if next != "" {
		// An event of both that is the last one need not differ from the answer's own.
		forms = append(forms, foreignForm{
			name:  "event of both",
			least: openingEvents,
			parts: []string{own[:len(own)/2] + end, next, foreign(id + 2)},
		})
	}
	return forms
}

// goOnForeign goes on with events of another answer in place of an event, in one chunk or at the pace of the answer, and ends the
// connection. Before is the number of events of the answer.
func (s *session) goOnForeign(part *message, id, before int) {
	own := string(part.text[part.pieces[0].start:part.pieces[0].end])
	forms := slices.DeleteFunc(foreignForms(own, id, func(id int) string {
		if id >= s.worker.settings.Events {
			return ""
		}
		return Event(id, s.incarnation.version, s.endpointName(), foreignRequest)
	}), func(form foreignForm) bool { return form.least > before })
	if len(forms) == 0 {
		return
	}
	form := forms[s.worker.intN(len(forms))]
	isBurst := before >= paceEvents && s.worker.intN(2) == 0
	s.tell(fmt.Sprintf("foreign events, %s, in one chunk %v,", form.name, isBurst), part, 0)
	parts := form.parts
	if isBurst {
		parts = []string{strings.Join(parts, "")}
	}
	for _, text := range parts {
		if text != "" && !s.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text)) || !s.awaitEvent(eventPause) {
			return
		}
	}
	if s.worker.intN(2) == 0 {
		s.reset()
	}
}
