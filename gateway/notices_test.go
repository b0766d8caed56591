package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestLeavingAnswerEndsCalls checks that an endpoint that says in an answer that it is
// leaving gets no further call, although its entry in the store does not say so. Another
// host, which it has not answered, leaves it alone as well.
func TestLeavingAnswerEndsCalls(t *testing.T) {
	f := newFixture(t, 2)
	second := f.startSecondHost(f.log.NewClient())
	f.endpoints[0].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.LeavingAnswer{} })
	eventually(t, "the endpoint has answered", func() bool {
		f.get("/lookup/x")
		return len(f.endpoints[0].Runs()) > 0
	})
	eventually(t, "the host knows that the endpoint is leaving", func() bool {
		return strings.Contains(f.logLines.String(), `"reason":"answerSaidSo"`)
	})
	eventually(t, "the other host knows it too", func() bool {
		return strings.Contains(second.logLines.String(), `"reason":"otherHostSaidSo"`)
	})
	before := len(f.endpoints[0].Runs())
	for range 10 {
		if got := f.get("/lookup/x"); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
		if got := second.get("/lookup/x"); got.status != http.StatusOK {
			t.Errorf("status %d at the other host", got.status)
		}
	}
	if runs := len(f.endpoints[0].Runs()); runs != before {
		t.Errorf("%d further calls reached the leaving endpoint", runs-before)
	}
}

// TestQuietEndpointIsLeftAlone checks that an endpoint that declined a call with a
// Retry-After gets no request for so long, and that callers are refused at once as not
// run, with the time that is left, if no other endpoint is there.
func TestQuietEndpointIsLeftAlone(t *testing.T) {
	f := newFixture(t, 1)
	requests := make(chan struct{}, 100)
	f.endpoints[0].SetBehaviour(func(*http.Request) standin.Behaviour {
		requests <- struct{}{}
		return standin.Decline{RetryAfter: "30"}
	})
	for range 5 {
		got := f.get("/lookup/x")
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d", got.status)
		}
		delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil || delay < 20 || delay > 30 {
			t.Errorf("Retry-After %q, want the 30 s that the endpoint asked for", got.header.Get("Retry-After"))
		}
	}
	if len(requests) != 1 {
		t.Errorf("the endpoint got %d requests, want 1", len(requests))
	}
}

// TestMalformedRetryAfterIsLogged checks that a Retry-After of nonsense neither stops the
// calls to an endpoint nor overflows, and is logged.
func TestMalformedRetryAfterIsLogged(t *testing.T) {
	for _, value := range []string{"-5", "soon", "NaN"} {
		t.Run(value, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(firstThen(standin.Decline{RetryAfter: value}))
			f.get("/lookup/x")
			eventually(t, "the endpoint is used again", func() bool {
				return f.get("/lookup/x").status == http.StatusOK
			})
			eventually(t, "the value is logged", func() bool {
				return strings.Contains(f.logLines.String(), `"event":"retryAfterMalformed"`)
			})
		})
	}
	for _, value := range []string{"1e300", "Inf", "99999999"} {
		t.Run(value, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(firstThen(standin.Decline{RetryAfter: value}))
			f.get("/lookup/x")
			got := f.get("/lookup/x")
			if delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || delay > 60 {
				t.Errorf("status %d, Retry-After %q, want at most a minute", got.status, got.header.Get("Retry-After"))
			}
		})
	}
}
