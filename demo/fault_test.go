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

// warmUpRequests is the number of requests whose first attempts fill the retry budget
// for the chat faults.
const warmUpRequests = 100

// smallDeployment returns Kelisim with two endpoints per pool, so that faults can be
// injected into all endpoints.
func smallDeployment() deployment.Deployment {
	firm := deployment.Kelisim()
	for i := range firm.Pools {
		firm.Pools[i].Count = 2
	}
	return firm
}

func (f *testDemo) setFaults(faults fault.Faults) {
	for _, e := range f.Engines() {
		e.Faults().Set(faults)
	}
	for _, s := range f.Services() {
		s.Faults().Set(faults)
	}
}

func (f *testDemo) book(key, reference string) (int, string) {
	f.t.Helper()
	header := map[string]string{caller.HeaderProfile: "roomHold"}
	if key != "" {
		header[caller.HeaderIdempotencyKey] = key
	}
	return f.post(0, "/v1/services/roomHold", header, `{"reference":"`+reference+`"}`)
}

// TestBookingUnderFaults compares what the caller of a booking learns about its
// execution with how often the booking was run.
func TestBookingUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startDemo(t, smallDeployment())
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
				// The retry runs the booking only if it certainly has not run.
				status, answer = f.book(key, name)
				if want := test.ran == "notRun"; (status == http.StatusOK) != want {
					t.Errorf("retry: status %d, answer %s", status, answer)
				}
				if got := f.executions(name); got > 1 {
					t.Errorf("executions after the retry = %d", got)
				}
			})
		}
	}
}

// TestChatUnderFaults checks that a caller gets its own complete answer or an
// explicit problem, and never a truncated answer that looks complete.
func TestChatUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startDemo(t, smallDeployment())
	defer f.close()
	// Retries are limited to a tenth of the first attempts, so a pool that has not
	// served any request allows no retry.
	for range warmUpRequests {
		body := chatBody("schedulingDraft", true, 2)
		if status, answer := f.post(0, "/v1/chat/completions", nil, body); status != http.StatusOK {
			t.Fatalf("warm-up: status %d, answer %s", status, answer)
		}
	}
	for _, test := range []struct {
		name   string
		faults fault.Faults
		// onlyFirst injects the fault into the first engine only.
		onlyFirst    bool
		wantComplete bool
	}{
		{name: "one crashed", faults: fault.Faults{Crashed: true}, onlyFirst: true, wantComplete: true},
		{name: "one rejecting", faults: fault.Faults{Rejecting: true}, onlyFirst: true, wantComplete: true},
		{name: "streams silent", faults: fault.Faults{Silent: true}, wantComplete: true},
		{name: "answers late", faults: fault.Faults{AnswerDelayMs: 300}, wantComplete: true},
		{name: "answers crossed", faults: fault.Faults{Crossed: true}},
		{name: "streams truncated", faults: fault.Faults{TruncateAfter: 3}},
		{name: "all crashed", faults: fault.Faults{Crashed: true}},
		{name: "all failing", faults: fault.Faults{Failing: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.setFaults(fault.Faults{})
			if test.onlyFirst {
				f.Engines()[0].Faults().Set(test.faults)
			} else {
				f.setFaults(test.faults)
			}
			body := chatBody("schedulingDraft", true, 8)
			status, answer := f.post(0, "/v1/chat/completions", nil, body)
			complete := status == http.StatusOK && isCompleteStream(t, body, answer)
			if complete != test.wantComplete {
				t.Errorf("complete = %v, want %v; status %d, answer %s", complete, test.wantComplete, status, answer)
			}
			if !complete && !strings.Contains(answer, `"ran":`) {
				t.Errorf("no explicit problem in %s", answer)
			}
		})
	}
}

// TestStopFinishesRequestsInFlight stops the hosts while streams are running and
// checks that all answers are complete.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t)
	const streams = 20
	f := startDemo(t, deployment.Kelisim())
	body := chatBody("schedulingDraft", true, 60)
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
			response, err := f.client.Do(request)
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
			if response.StatusCode != http.StatusOK || !isCompleteStream(t, body, answer.String()) {
				t.Errorf("status %d, answer %s", response.StatusCode, answer.String())
			}
		}()
	}
	running.Wait()
	f.close()
	done.Wait()
	f.client.CloseIdleConnections()
}
