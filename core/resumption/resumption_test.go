package resumption_test

import (
	"errors"
	"fmt"
	"testing"

	"cactuswell/core/resumption"
)

// event returns an event of a run.
func event(run string, id int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s %d\n\n", id, run, id)
}

// TestResumptionNeedsProofOfLastEvent guards against a stream that goes on after an event that is not its own, and against one
// that ends although its last event is sound.
func TestResumptionNeedsProofOfLastEvent(t *testing.T) {
	for name, test := range map[string]struct {
		had      []string
		repeated []string
		doubt    resumption.Doubt
		finding  resumption.Finding
		permits  bool
	}{
		"same":                           {had: []string{"a", "a", "a"}, repeated: []string{"a", "a"}, finding: resumption.FindingSame, permits: true},
		"same, doubtful":                 {had: []string{"a", "a", "a"}, repeated: []string{"a", "a"}, doubt: resumption.DoubtFraming, finding: resumption.FindingSame, permits: true},
		"same after a difference":        {had: []string{"a", "a", "a"}, repeated: []string{"b", "a"}, finding: resumption.FindingSame, permits: true},
		"another last event":             {had: []string{"a", "a", "x"}, repeated: []string{"a", "a"}, finding: resumption.FindingOther},
		"another run":                    {had: []string{"a", "a", "a"}, repeated: []string{"b", "b"}, finding: resumption.FindingOtherRun, permits: true},
		"another run, doubtful":          {had: []string{"a", "a", "a"}, repeated: []string{"b", "b"}, doubt: resumption.DoubtFollowed, finding: resumption.FindingOtherRun},
		"only event, same":               {had: []string{"a"}, repeated: []string{"a"}, finding: resumption.FindingSame, permits: true},
		"only event, another":            {had: []string{"a"}, repeated: []string{"b"}, finding: resumption.FindingOtherRun, permits: true},
		"only event, another, doubtful":  {had: []string{"a"}, repeated: []string{"b"}, doubt: resumption.DoubtFraming, finding: resumption.FindingOtherRun},
		"repeated events are incomplete": {had: []string{"a", "a", "a"}, repeated: []string{"a"}, finding: resumption.FindingOpen},
	} {
		t.Run(name, func(t *testing.T) {
			var tail resumption.Tail
			var at resumption.Position
			for id, run := range test.had {
				tail.Add(event(run, id), int64(id), true, at)
				at = resumption.Position{ID: int64(id), HasID: true}
			}
			tail.Question(test.doubt)
			check := tail.Resume()
			first := max(0, len(test.had)-2)
			if after := check.After(); after.HasID != (first > 0) || after.HasID && after.ID != int64(first-1) {
				t.Errorf("asks for events after %+v, want the %d last ones", after, len(test.had)-first)
			}
			for i, run := range test.repeated {
				if err := check.Compare(event(run, first+i), int64(first+i), true); err != nil {
					t.Fatal(err)
				}
			}
			if check.Finding() != test.finding || check.Permits() != test.permits {
				t.Errorf("finding %s, permits %v; want %s, %v", check.Finding(), check.Permits(), test.finding, test.permits)
			}
		})
	}
}

// TestRepeatedEventsAreThoseAskedFor guards against a comparison of two different places of a stream.
func TestRepeatedEventsAreThoseAskedFor(t *testing.T) {
	var tail resumption.Tail
	tail.Add(event("a", 4), 4, true, resumption.Position{})
	var order *resumption.OrderError
	if err := tail.Resume().Compare(event("a", 5), 5, true); !errors.As(err, &order) {
		t.Errorf("event 5 in place of event 4: %v", err)
	}
}

// TestEventsWithoutIDAreNotCompared guards against sound streams that end as some events have no ID.
func TestEventsWithoutIDAreNotCompared(t *testing.T) {
	var tail resumption.Tail
	ping := []byte("data: ping\n\n")
	tail.Add(event("a", 0), 0, true, resumption.Position{})
	tail.Add(ping, 0, false, resumption.Position{HasID: true})
	if tail.IsResumable() {
		t.Error("the stream goes on after an event without an ID")
	}
	tail.Add(event("a", 1), 1, true, resumption.Position{HasID: true})
	check := tail.Resume()
	for _, repeated := range []struct {
		text  []byte
		id    int64
		hasID bool
	}{{text: event("a", 0), hasID: true}, {text: ping}, {text: event("a", 1), id: 1, hasID: true}} {
		if err := check.Compare(repeated.text, repeated.id, repeated.hasID); err != nil {
			t.Fatal(err)
		}
	}
	if !tail.IsResumable() || check.Finding() != resumption.FindingSame {
		t.Errorf("finding %s", check.Finding())
	}
}

// TestCommentsMakeNoOtherEvent guards against sound streams that end as a comment or a line break differs.
func TestCommentsMakeNoOtherEvent(t *testing.T) {
	var tail resumption.Tail
	tail.Add([]byte(": busy\nid: 0\ndata: a\n\n"), 0, true, resumption.Position{})
	check := tail.Resume()
	if err := check.Compare([]byte("id: 0\r\ndata: a\r\n\r\n"), 0, true); err != nil || check.Finding() != resumption.FindingSame {
		t.Errorf("finding %s, %v", check.Finding(), err)
	}
}
