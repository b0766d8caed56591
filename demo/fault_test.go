package demo_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"cactuswell/deployment"
	"cactuswell/io/caller"
	"cactuswell/standin/fault"
)

// warmUpRequests are enough first attempts for the retries of the chat faults.
const warmUpRequests = 100

// small returns Kelisim with two endpoints a pool, so that faults can hit all.
func small() deployment.Deployment {
	firm := deployment.Kelisim()
	for i := range firm.Pools {
		firm.Pools[i].Count = 2
	}
	return firm
}

func (f *fleet) setFaults(faults fault.Faults) {
	for _, e := range f.Engines() {
		e.Faults().Set(faults)
	}
	for _, s := range f.Services() {
		s.Faults().Set(faults)
	}
}

func (f *fleet) book(key, reference string) (int, string) {
	f.t.Helper()
	header := map[string]string{caller.HeaderProfile: "roomHold"}
	if key != "" {
		header[caller.HeaderIdempotencyKey] = key
	}
	return f.post(0, "/v1/services/roomHold", header, `{"reference":"`+reference+`"}`)
}

// TestBookingUnderFaults checks what a caller is told of a booking against how
// often the booking was run.
func TestBookingUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startFleet(t, small())
	defer f.close()
	for _, test := range []struct {
		name       string
		faults     fault.Faults
		ran        string
		executions int
	}{
		{name: "answer lost", faults: fault.Faults{LostAnswers: true}, ran: "unknown", executions: 1},
		{name: "answer crossed", faults: fault.Faults{Crossed: true}, ran: "unknown", executions: 1},
		{name: "answer truncated", faults: fault.Faults{TruncateAfter: 1}, ran: "unknown", executions: 1},
		{name: "endpoint failing", faults: fault.Faults{Failing: true}, ran: "unknown", executions: 0},
		{name: "endpoint crashed", faults: fault.Faults{Crashed: true}, ran: "unknown", executions: 0},
		{name: "endpoint rejecting", faults: fault.Faults{Rejecting: true}, ran: "notRun", executions: 0},
	} {
		for _, keyed := range []bool{false, true} {
			name := test.name
			key := ""
			if keyed {
				name += " with a key"
				key = strings.ReplaceAll(test.name, " ", "-")
			}
			t.Run(name, func(t *testing.T) {
				f.setFaults(test.faults)
				status, answer := f.book(key, name)
				if status == http.StatusOK || !strings.Contains(answer, `"ran":"`+test.ran+`"`) {
					t.Errorf("status %d, answer %s; want ran %s", status, answer, test.ran)
				}
				f.setFaults(fault.Faults{})
				if got := f.executions(name); got != test.executions {
					t.Errorf("executions = %d, want %d", got, test.executions)
				}
				if !keyed {
					return
				}
				// The repetition runs the booking only if it was surely not run.
				status, answer = f.book(key, name)
				if want := test.ran == "notRun"; (status == http.StatusOK) != want {
					t.Errorf("repetition: status %d, answer %s", status, answer)
				}
				if got := f.executions(name); got > 1 {
					t.Errorf("executions after the repetition = %d", got)
				}
			})
		}
	}
}

// TestChatUnderFaults checks that a caller gets its own whole answer or an
// explicit problem, and never a part that looks whole.
func TestChatUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startFleet(t, small())
	defer f.close()
	// Retries are at most a tenth of the first attempts, so a pool that has
	// served nothing yet has none.
	for range warmUpRequests {
		body := chatText("schedulingDraft", true, 2)
		if status, answer := f.post(0, "/v1/chat/completions", nil, body); status != http.StatusOK {
			t.Fatalf("warm-up: status %d, answer %s", status, answer)
		}
	}
	for _, test := range []struct {
		name   string
		faults fault.Faults
		// first limits the fault to the first engine.
		first bool
		whole bool
	}{
		{name: "one crashed", faults: fault.Faults{Crashed: true}, first: true, whole: true},
		{name: "one rejecting", faults: fault.Faults{Rejecting: true}, first: true, whole: true},
		{name: "streams silent", faults: fault.Faults{Silent: true}, whole: true},
		{name: "answers late", faults: fault.Faults{AnswerDelayMs: 300}, whole: true},
		{name: "answers crossed", faults: fault.Faults{Crossed: true}},
		{name: "streams truncated", faults: fault.Faults{TruncateAfter: 3}},
		{name: "all crashed", faults: fault.Faults{Crashed: true}},
		{name: "all failing", faults: fault.Faults{Failing: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.setFaults(fault.Faults{})
			if test.first {
				f.Engines()[0].Faults().Set(test.faults)
			} else {
				f.setFaults(test.faults)
			}
			body := chatText("schedulingDraft", true, 8)
			status, answer := f.post(0, "/v1/chat/completions", nil, body)
			whole := status == http.StatusOK && wholeStream(t, body, answer)
			if whole != test.whole {
				t.Errorf("whole = %v, want %v; status %d, answer %s", whole, test.whole, status, answer)
			}
			if !whole && !strings.Contains(answer, `"ran":`) {
				t.Errorf("no explicit problem in %s", answer)
			}
		})
	}
}

// TestStopFinishesRequestsInFlight stops the hosts while streams run.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t)
	const streams = 20
	f := startFleet(t, deployment.Kelisim())
	body := chatText("schedulingDraft", true, 60)
	var running, done sync.WaitGroup
	running.Add(streams)
	for range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
				"http://"+f.Hosts()[0].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				t.Error(err)
				running.Done()
				return
			}
			response, err := f.http.Do(request)
			running.Done()
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			var answer strings.Builder
			buffer := make([]byte, 4096)
			for err == nil {
				var n int
				n, err = response.Body.Read(buffer)
				answer.Write(buffer[:n])
			}
			if response.StatusCode != http.StatusOK || !wholeStream(t, body, answer.String()) {
				t.Errorf("status %d, answer %s", response.StatusCode, answer.String())
			}
		}()
	}
	running.Wait()
	f.close()
	done.Wait()
	f.http.CloseIdleConnections()
}
