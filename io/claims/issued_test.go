package claims

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/claim"
	standin "cactuswell/standin/logservice"
)

// handlerTransport hands requests to a handler, without sockets.
type handlerTransport struct {
	handler http.Handler
	// loseAnswer drops the answer after the call took effect.
	loseAnswer bool
}

func (h handlerTransport) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	if h.loseAnswer {
		return nil, context.DeadlineExceeded
	}
	return recorder.Result(), nil
}

// bookingRunner runs forwarded calls at the booking service.
type bookingRunner struct {
	service *bookings
}

func (b bookingRunner) RunForwarded(_ context.Context, call ForwardedCall, ticket *Ticket) Decision {
	if err := ticket.MarkStarted(); err != nil {
		return Refused{}
	}
	b.service.run(call.Key, call.RequestID)
	_ = ticket.Finish(booked)
	return Replay{Outcome: booked}
}

func mustIssue(t *testing.T, host *testHost) string {
	t.Helper()
	key, err := host.claims.Issue(context.Background(), testTeam)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func forwarder(host *testHost, service *bookings, loseAnswer bool) *Forwarder {
	_, handler := NewHandler(host.claims, bookingRunner{
		service: service,
	})
	return NewForwarder(handlerTransport{
		handler:    handler,
		loseAnswer: loseAnswer,
	})
}

func testCall(key string) ForwardedCall {
	return ForwardedCall{
		Key:       key,
		Team:      testTeam,
		Profile:   "room-holds",
		RequestID: "request-1",
		Path:      "/v1/holds",
		Body:      []byte("a"),
	}
}

func TestIssuedKeysRunDuringALogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.store.SetFaults(standin.Faults{Down: true})
		host := fleet.start("host-1")
		key := mustIssue(t, host)
		ticket := mustRun(t, host.begin(key, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), host.begin(key, "a", time.Second))
		check(t, Decision(Mismatch{}), host.begin(key, "b", time.Second))
	})
}

func TestIssuedKeyIsForwardedToItsIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		key := mustIssue(t, first)
		forward, ok := second.begin(key, "a", time.Second).(Forward)
		if !ok || forward.Issuer.Host != "host-1" || forward.Issuer.Incarnation != 1 {
			t.Fatalf("got %+v", forward)
		}
		service := newBookings()
		call := testCall(key)
		lost := forwarder(first, service, true).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Unknown{Reason: claim.UnknownForwardUnanswered}), lost)
		again := forwarder(first, service, false).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Replay{Outcome: booked}), again)
		call.Body = []byte("b")
		other := forwarder(first, service, false).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Mismatch{}), other)
		check(t, 1, service.ofKey(key))
		check(t, 1, service.ofRequest(call.RequestID))
	})
}

func TestForwardedKeyOfAnEarlierLifeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		key := mustIssue(t, first)
		first.crash()
		replaced, service := fleet.start("host-1"), newBookings()
		answer := forwarder(replaced, service, false).Forward(context.Background(), "http://host-1", testCall(key))
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), answer)
		check(t, 0, service.ofKey(key))
	})
}

func TestOutcomeOfIssuedKeySurvivesItsIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		key := mustIssue(t, first)
		ticket := mustRun(t, first.begin(key, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		time.Sleep(time.Second)
		first.crash()
		check(t, Decision(Replay{Outcome: booked}), second.begin(key, "a", time.Second))
	})
}

func TestGracefulLeaveFreesUnusedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		unused, used, open := mustIssue(t, first), mustIssue(t, first), mustIssue(t, first)
		ticket := mustRun(t, first.begin(used, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		mustRun(t, first.begin(open, "a", time.Second))
		check(t, nil, first.claims.Shutdown(context.Background()))
		refused, _ := first.begin(unused, "a", time.Second).(Refused)
		check(t, claim.RefuseStopping, refused.Reason)
		first.crash()
		time.Sleep(time.Second)
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), second.begin(used, "a", time.Second))
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), second.begin(open, "a", time.Second))
		mustRun(t, second.begin(unused, "a", time.Second))
		third := fleet.start("host-3")
		time.Sleep(time.Second)
		check(t, true, third.claims.Dump().CaughtUp)
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), third.begin(unused, "a", time.Second))
	})
}

func TestHostWithoutLogForwardsAnotherHostsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		key := mustIssue(t, first)
		check(t, nil, first.claims.Shutdown(context.Background()))
		cut := &cutLog{
			Log: fleet.store,
		}
		cut.cut.Store(true)
		second := fleet.startOver("host-2", cut)
		if _, ok := second.begin(key, "a", time.Second).(Forward); !ok {
			t.Error("a host that has not read the stream decided on a key of another host")
		}
		check(t, false, second.claims.Dump().CaughtUp)
	})
}

func TestIssuedKeyIsNeverRunAfterTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		host := fleet.start("host-1")
		key := mustIssue(t, host)
		time.Sleep(claim.Window + 2*claim.Window/64)
		check(t, Decision(Unknown{Reason: claim.UnknownExpired}), host.begin(key, "a", time.Second))
	})
}

func TestKeyOfAnotherTeamOrFormIsInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		host := fleet.start("host-1")
		key := mustIssue(t, host)
		decision := host.claims.Decide(t.Context(), "other-team", key, fingerprint("a"))
		check(t, Decision(Invalid{Reason: claim.KeyChecksum}), decision)
		never := claim.IssuedKey{
			Issuer:   host.claims.Dump().Issuer,
			Sequence: 99,
		}.Encode(testTeam)
		check(t, Decision(Invalid{Reason: claim.KeyNeverIssued}), host.begin(never, "a", time.Second))
		check(t, Decision(Invalid{Reason: claim.KeyNotPrintable}), host.begin("a b", "a", time.Second))
	})
}
