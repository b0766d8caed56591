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
	"cactuswell/io/clientconns"
	"cactuswell/io/engine"
)

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	submission, problem := s.readSubmission(w, r)
	if problem != nil {
		s.writeProblem(w, submission, *problem)
		return
	}
	var request engine.ChatRequest
	if err := json.Unmarshal(submission.Body, &request); err != nil || len(request.Messages) == 0 {
		s.writeProblem(w, submission, rejection(http.StatusBadRequest, CodeMalformed, "the body is not a chat with messages"))
		return
	}
	if request.MaxTokens < 0 {
		s.writeProblem(w, submission, rejection(http.StatusBadRequest, CodeMalformed, "max_tokens is negative"))
		return
	}
	name := r.Header.Get(HeaderProfile)
	if name == "" {
		name = request.Model
	}
	submission.Profile, problem = s.profileOf(name, profile.KindModel)
	if problem != nil {
		s.writeProblem(w, submission, *problem)
		return
	}
	if err := prepareChat(&submission, &request); err != nil {
		s.writeProblem(w, submission, rejection(http.StatusBadRequest, CodeMalformed, "the body is not a JSON object"))
		return
	}
	answer := s.backend.Submit(r.Context(), submission)
	if request.Stream {
		s.respondStreaming(w, r, submission, answer)
		return
	}
	s.respondWhole(w, r, submission, answer)
}

// prepareChat sets the fields of the submission that dispatch needs, and the body
// for the engine: the caller's body with the pool as the model, with streaming on
// and with the token limit, if there is one.
func prepareChat(submission *Submission, request *engine.ChatRequest) error {
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

// respondWhole sends the complete answer in one response.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, submission Submission, answer *Answer) {
	var text strings.Builder
	for {
		part, err := answer.Next(r.Context())
		if err != nil {
			abortResponse()
		}
		switch part := part.(type) {
		case TextPart:
			text.WriteString(part.Text)
		case EndPart:
			writeJSON(w, http.StatusOK, chatResponse(submission, text.String(), part))
			return
		case ProblemPart:
			s.writeProblem(w, submission, part.Problem)
			return
		case BodyPart:
			s.writeProblem(w, submission, Refusal(dispatch.RefuseEndpointError, dispatch.MayHaveRun, 0))
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

// respondStreaming sends the answer as server-sent events. It sends the status only
// with the first part, so that a refusal gets its own status.
func (s *Server) respondStreaming(w http.ResponseWriter, r *http.Request, submission Submission, answer *Answer) {
	events := newEventWriter(w, submission, unmarkedEnd(r))
	for {
		part, err := answer.Next(r.Context())
		if err != nil {
			abortResponse()
		}
		if problem, ok := part.(ProblemPart); ok && !events.started {
			s.writeProblem(w, submission, problem.Problem)
			return
		}
		last := events.writePart(part)
		for !last {
			pending, ok := answer.TryNext()
			if !ok {
				break
			}
			last = events.writePart(pending)
		}
		events.flush()
		if last {
			events.end()
			return
		}
	}
}

// eventWriter writes the parts of an answer as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	submission Submission
	// conn is the connection if its end alone marks the end of the stream, or nil.
	conn    *clientconns.Conn
	started bool
	tokens  int
	buffer  bytes.Buffer
	encoder *json.Encoder
	// chunk and choices are reused for each event.
	chunk   engine.ChatChunk
	choices [1]engine.ChunkChoice
}

// unmarkedEnd returns the connection of a request if nothing but its end marks the end of a response
// without a length, and nil otherwise.
func unmarkedEnd(r *http.Request) *clientconns.Conn {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	return clientconns.FromContext(r.Context())
}

func newEventWriter(w http.ResponseWriter, submission Submission, conn *clientconns.Conn) *eventWriter {
	e := &eventWriter{
		w:          w,
		controller: http.NewResponseController(w),
		submission: submission,
		conn:       conn,
		chunk: engine.ChatChunk{
			ID:      submission.RequestID,
			Object:  "chat.completion.chunk",
			Created: time.Now().Unix(),
			Model:   submission.Profile.Name(),
		},
	}
	e.encoder = json.NewEncoder(&e.buffer)
	return e
}

// writePart buffers the events for a part and reports whether it is the last.
func (e *eventWriter) writePart(part Part) bool {
	e.start()
	switch part := part.(type) {
	case TextPart:
		e.writeChunk(part.Text, nil)
		e.tokens++
		return false
	case EndPart:
		e.writeChunk("", &part.FinishReason)
		e.buffer.WriteString("data: [DONE]\n\n")
	case ProblemPart:
		part.Problem.RequestID = e.submission.RequestID
		e.writeEvent(problemBody{
			Error: part.Problem,
		})
	case BodyPart:
		e.writeEvent(problemBody{
			Error: Refusal(dispatch.RefuseEndpointError, dispatch.MayHaveRun, 0),
		})
	}
	return true
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	if e.conn != nil {
		// Until its end a stream must not appear whole, however it ends.
		e.conn.ResetOnClose()
	}
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) writeChunk(text string, reason *string) {
	e.choices[0] = engine.ChunkChoice{
		Delta: engine.ChunkDelta{
			Content: text,
		},
		FinishReason: reason,
	}
	e.chunk.Choices = e.choices[:]
	e.chunk.TokenIndex = e.tokens
	e.writeEvent(&e.chunk)
}

func (e *eventWriter) writeEvent(body any) {
	e.buffer.WriteString("data: ")
	_ = e.encoder.Encode(body)
	e.buffer.WriteByte('\n')
}

// end ends the stream, of which all has been written.
func (e *eventWriter) end() {
	if e.conn != nil {
		e.conn.CloseInOrder()
	}
}

func (e *eventWriter) flush() {
	_, _ = e.buffer.WriteTo(e.w)
	_ = e.controller.Flush()
}

// writeProblem responds with a problem.
func (s *Server) writeProblem(w http.ResponseWriter, submission Submission, problem Problem) {
	problem.RequestID = submission.RequestID
	problem.write(w)
}
