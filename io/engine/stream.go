package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Token is one token of an answer, or its end.
type Token struct {
	// Index numbers the tokens from 0.
	Index int
	Text  string
	// IsLast marks the end of the answer; it carries no text, and Index is the
	// answer's length.
	IsLast bool
	// FinishReason is set with Last.
	FinishReason string
}

// Stream is the answer to an attempt as it arrives. It is used by one goroutine.
type Stream struct {
	attemptID string
	body      io.ReadCloser
	lines     *bufio.Scanner
	next      int
	// chunk and choices are used again for each event.
	chunk   streamedChunk
	choices [1]ChunkChoice
}

// streamedChunk is the part of a ChatChunk that a stream needs.
type streamedChunk struct {
	ID         string        `json:"id"`
	Choices    []ChunkChoice `json:"choices"`
	TokenIndex int           `json:"token_index"`
}

func newStream(response *http.Response, attemptID string, from int) *Stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Stream{
		attemptID: attemptID,
		body:      response.Body,
		lines:     lines,
		next:      from,
	}
}

// Next returns the next token. Each token is checked to belong to the attempt
// and to follow the one before; the errors are *BrokenError and *MismatchError.
func (s *Stream) Next() (Token, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		s.choices[0] = ChunkChoice{}
		s.chunk = streamedChunk{
			Choices: s.choices[:0],
		}
		if err := json.Unmarshal(data, &s.chunk); err != nil {
			return Token{}, trace.Wrap(&IncompleteResponseError{Cause: &MalformedChunkError{Reason: err.Error()}})
		}
		return s.check(&s.chunk)
	}
	if err := s.lines.Err(); err != nil {
		return Token{}, trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	return Token{}, trace.Wrap(&IncompleteResponseError{Cause: &EarlyEndError{}})
}

func (s *Stream) check(chunk *streamedChunk) (Token, error) {
	if chunk.ID != s.attemptID {
		return Token{}, trace.Wrap(&AttemptMismatchError{
			Want: s.attemptID,
			Got:  chunk.ID,
		})
	}
	if chunk.TokenIndex != s.next {
		return Token{}, trace.Wrap(&IncompleteResponseError{Cause: &SequenceError{
			Want: s.next,
			Got:  chunk.TokenIndex,
		}})
	}
	if len(chunk.Choices) == 0 {
		return Token{}, trace.Wrap(&IncompleteResponseError{Cause: &MalformedChunkError{Reason: "no choice"}})
	}
	choice := chunk.Choices[0]
	token := Token{
		Index: chunk.TokenIndex,
		Text:  choice.Delta.Content,
	}
	if choice.FinishReason != nil {
		token.IsLast = true
		token.FinishReason = *choice.FinishReason
		return token, nil
	}
	s.next++
	return token, nil
}

// Close ends the stream.
func (s *Stream) Close() error {
	err := s.body.Close()
	if err != nil && !errors.Is(err, io.EOF) {
		return trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	return nil
}
