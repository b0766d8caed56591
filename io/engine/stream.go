package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 64 << 10
	// maxPaddingBytes bounds what comes between two events, such as comments.
	maxPaddingBytes = 16 << 10
)

// Token is one token of an answer, or the end of the answer.
type Token struct {
	// Index numbers the tokens from 0.
	Index int
	Text  string
	// IsLast is set for the end of the answer. The Text is then empty, and Index is
	// the number of tokens in the answer.
	IsLast bool
	// FinishReason is set only with IsLast.
	FinishReason string
}

// Stream is the streamed answer to an attempt. It is not safe for concurrent use.
type Stream struct {
	attemptID string
	body      io.ReadCloser
	lines     *bufio.Scanner
	next      int
	// chunk and choices are reused for each event.
	chunk   streamedChunk
	choices [1]ChunkChoice
}

// streamedChunk has the fields of a ChatChunk that a Stream needs.
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

// PaddingError reports a stream with too many bytes between two events.
type PaddingError struct{}

// Error returns a message with the limit.
func (*PaddingError) Error() string {
	return fmt.Sprintf("more than %d bytes came between two events", maxPaddingBytes)
}

// Next returns the next token. It checks that the token belongs to the attempt and
// follows the previous one. The errors are *IncompleteResponseError and
// *AttemptMismatchError.
func (s *Stream) Next() (Token, error) {
	padding := 0
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data: "))
		if !ok {
			padding += len(s.lines.Bytes()) + 1
			if padding > maxPaddingBytes {
				return Token{}, trace.Wrap(&IncompleteResponseError{Cause: &PaddingError{}})
			}
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

// Close closes the stream's connection.
func (s *Stream) Close() error {
	err := s.body.Close()
	if err != nil && !errors.Is(err, io.EOF) {
		return trace.Wrap(&IncompleteResponseError{Cause: err})
	}
	return nil
}
