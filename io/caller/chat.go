package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/prefix"
	"cactuswell/core/profile"
	"cactuswell/io/engine"
)

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	submission, problem := s.intake(w, r)
	if problem != nil {
		s.refuse(w, submission, *problem)
		return
	}
	var request engine.ChatRequest
	if err := json.Unmarshal(submission.Body, &request); err != nil || len(request.Messages) == 0 {
		s.refuse(w, submission, fault(http.StatusBadRequest, CodeMalformed, "the body is not a chat with messages"))
		return
	}
	if request.MaxTokens < 0 {
		s.refuse(w, submission, fault(http.StatusBadRequest, CodeMalformed, "max_tokens is negative"))
		return
	}
	name := r.Header.Get(HeaderProfile)
	if name == "" {
		name = request.Model
	}
	submission.Profile, problem = s.profileOf(name, profile.KindModel)
	if problem != nil {
		s.refuse(w, submission, *problem)
		return
	}
	if err := describeChat(&submission, &request); err != nil {
		s.refuse(w, submission, fault(http.StatusBadRequest, CodeMalformed, "the body is not a JSON object"))
		return
	}
	answer := s.backend.Submit(r.Context(), submission)
	if request.Stream {
		s.streamChat(w, r, submission, answer)
		return
	}
	s.wholeChat(w, r, submission, answer)
}

// describeChat fills in what the decisions need to know, and the body for the
// engine: the caller's own, for the profile's pool and streamed.
func describeChat(submission *Submission, request *engine.ChatRequest) error {
	prompt := engine.PromptText(request.Messages)
	submission.PromptTokens = prefix.Tokens(len(prompt))
	submission.PrefixHashes = prefix.Hashes(prompt)
	submission.MaxTokens = request.MaxTokens
	if submission.MaxTokens == 0 {
		submission.MaxTokens = submission.Profile.MaxTokens()
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(submission.Body, &fields); err != nil {
		return err
	}
	model, err := json.Marshal(submission.Profile.Pool())
	if err != nil {
		return err
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	if submission.MaxTokens > 0 {
		fields["max_tokens"] = json.RawMessage(fmt.Sprint(submission.MaxTokens))
	}
	submission.Body, err = json.Marshal(fields)
	return err
}

// wholeChat answers with the whole answer at once.
func (s *Server) wholeChat(w http.ResponseWriter, r *http.Request, submission Submission, answer *Answer) {
	var text strings.Builder
	for {
		part, err := answer.Next(r.Context())
		if err != nil {
			return
		}
		switch part := part.(type) {
		case TextPart:
			text.WriteString(part.Text)
		case EndPart:
			writeJSON(w, http.StatusOK, chatResponse(submission, text.String(), part))
			return
		case ProblemPart:
			s.refuse(w, submission, part.Problem)
			return
		case BodyPart:
			s.refuse(w, submission, Refusal(dispatch.RefuseEndpointError, dispatch.MayHaveRun, 0))
			return
		}
	}
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int               `json:"index"`
	Message      engine.ChunkDelta `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func chatResponse(submission Submission, text string, end EndPart) chatCompletion {
	return chatCompletion{
		ID:      submission.RequestID,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   submission.Profile.Name(),
		Choices: []chatChoice{
			{
				Message: engine.ChunkDelta{
					Role:    "assistant",
					Content: text,
				},
				FinishReason: end.FinishReason,
			},
		},
		Usage: chatUsage{
			PromptTokens:     submission.PromptTokens,
			CompletionTokens: end.Tokens,
			TotalTokens:      submission.PromptTokens + end.Tokens,
		},
	}
}

// streamChat answers with server-sent events. The status is decided by the
// first part, so that a refusal has a status of its own.
func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, submission Submission, answer *Answer) {
	events := newEventWriter(w, submission)
	for {
		part, err := answer.Next(r.Context())
		if err != nil {
			return
		}
		if problem, ok := part.(ProblemPart); ok && !events.begun {
			s.refuse(w, submission, problem.Problem)
			return
		}
		last := events.write(part)
		for !last {
			waiting, ok := answer.TryNext()
			if !ok {
				break
			}
			last = events.write(waiting)
		}
		events.flush()
		if last {
			return
		}
	}
}

// eventWriter writes the parts of an answer as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	submission Submission
	begun      bool
	tokens     int
	buffer     bytes.Buffer
	encoder    *json.Encoder
	// frame and choices are used again for each event.
	frame   engine.ChatChunk
	choices [1]engine.ChunkChoice
}

func newEventWriter(w http.ResponseWriter, submission Submission) *eventWriter {
	e := &eventWriter{
		w:          w,
		controller: http.NewResponseController(w),
		submission: submission,
		frame: engine.ChatChunk{
			ID:      submission.RequestID,
			Object:  "chat.completion.chunk",
			Created: time.Now().Unix(),
			Model:   submission.Profile.Name(),
		},
	}
	e.encoder = json.NewEncoder(&e.buffer)
	return e
}

// write adds the events for a part and reports whether it was the last.
func (e *eventWriter) write(part Part) bool {
	e.begin()
	switch part := part.(type) {
	case TextPart:
		e.chunk(part.Text, nil)
		e.tokens++
		return false
	case EndPart:
		e.chunk("", &part.FinishReason)
		e.buffer.WriteString("data: [DONE]\n\n")
	case ProblemPart:
		part.Problem.RequestID = e.submission.RequestID
		e.event(problemBody{
			Error: part.Problem,
		})
	case BodyPart:
		e.event(problemBody{
			Error: Refusal(dispatch.RefuseEndpointError, dispatch.MayHaveRun, 0),
		})
	}
	return true
}

func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) chunk(text string, reason *string) {
	e.choices[0] = engine.ChunkChoice{
		Delta: engine.ChunkDelta{
			Content: text,
		},
		FinishReason: reason,
	}
	e.frame.Choices = e.choices[:]
	e.frame.TokenIndex = e.tokens
	e.event(&e.frame)
}

func (e *eventWriter) event(body any) {
	e.buffer.WriteString("data: ")
	_ = e.encoder.Encode(body)
	e.buffer.WriteByte('\n')
}

func (e *eventWriter) flush() {
	_, _ = e.buffer.WriteTo(e.w)
	_ = e.controller.Flush()
}

// refuse answers with a problem.
func (s *Server) refuse(w http.ResponseWriter, submission Submission, problem Problem) {
	problem.RequestID = submission.RequestID
	problem.write(w)
}
