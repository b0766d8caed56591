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

// handlerTransport passes requests to a handler without a network connection.
type handlerTransport struct {
	handler http.Handler
	// dropResponse is true if the response is dropped after the call took
	// effect.
	dropResponse bool
}

func (h handlerTransport) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	if h.dropResponse {
		return nil, context.DeadlineExceeded
	}
	return recorder.Result(), nil
}

// bookingRunner runs forwarded calls with the booking service.
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
		handler:      handler,
		dropResponse: loseAnswer,
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
		ticket := mustRun(t, host.decide(key, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), host.decide(key, "a", time.Second))
		check(t, Decision(Mismatch{}), host.decide(key, "b", time.Second))
	})
}

func TestIssuedKeyIsForwardedToItsIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		key := mustIssue(t, first)
		forward, ok := second.decide(key, "a", time.Second).(Forward)
		if !ok || forward.Issuer.Host != "host-1" || forward.Issuer.Incarnation != 1 {
			t.Fatalf("got %+v", forward)
		}
		service := newBookings()
		call := testCall(key)
		unanswered := forwarder(first, service, true).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Unknown{Reason: claim.UnknownForwardUnanswered}), unanswered)
		retried := forwarder(first, service, false).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Replay{Outcome: booked}), retried)
		call.Body = []byte("b")
		other := forwarder(first, service, false).Forward(context.Background(), "http://host-1", call)
		check(t, Decision(Mismatch{}), other)
		check(t, 1, service.runsOfKey(key))
		check(t, 1, service.runsOfRequest(call.RequestID))
	})
}

// TestForwardedKeyOfAnEarlierInstanceIsUnknown guards against a second run of a
// key after a crash of its issuer, whose next incarnation does not know whether
// the key was used.
func TestForwardedKeyOfAnEarlierInstanceIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		key := mustIssue(t, first)
		first.crash()
		replaced, service := fleet.start("host-1"), newBookings()
		decision := forwarder(replaced, service, false).Forward(context.Background(), "http://host-1", testCall(key))
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), decision)
		check(t, 0, service.runsOfKey(key))
	})
}

func TestOutcomeOfIssuedKeySurvivesItsIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		key := mustIssue(t, first)
		ticket := mustRun(t, first.decide(key, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		time.Sleep(time.Second)
		first.crash()
		check(t, Decision(Replay{Outcome: booked}), second.decide(key, "a", time.Second))
	})
}

// TestShutdownFreesUnusedKeys checks that after a shutdown of the issuer
// another host can claim the keys that were not used, and no others.
func TestShutdownFreesUnusedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		unused, used, open := mustIssue(t, first), mustIssue(t, first), mustIssue(t, first)
		ticket := mustRun(t, first.decide(used, "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		mustRun(t, first.decide(open, "a", time.Second))
		check(t, nil, first.claims.Shutdown(context.Background()))
		refused, _ := first.decide(unused, "a", time.Second).(Refused)
		check(t, claim.RefuseStopping, refused.Reason)
		first.crash()
		time.Sleep(time.Second)
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), second.decide(used, "a", time.Second))
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), second.decide(open, "a", time.Second))
		mustRun(t, second.decide(unused, "a", time.Second))
		third := fleet.start("host-3")
		time.Sleep(time.Second)
		check(t, true, third.claims.Dump().CaughtUp)
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), third.decide(unused, "a", time.Second))
	})
}

// TestHostWithoutLogForwardsAnotherHostsKey checks that a host which cannot
// read the log does not decide on a key of another host, even if that host has
// published the key as unused.
func TestHostWithoutLogForwardsAnotherHostsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		key := mustIssue(t, first)
		check(t, nil, first.claims.Shutdown(context.Background()))
		log := &disconnectableLog{
			Log: fleet.store,
		}
		log.disconnected.Store(true)
		second := fleet.startOver("host-2", log)
		if _, ok := second.decide(key, "a", time.Second).(Forward); !ok {
			t.Error("host that has not read the stream did not forward a key of another host")
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
		check(t, Decision(Unknown{Reason: claim.UnknownExpired}), host.decide(key, "a", time.Second))
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
		check(t, Decision(Invalid{Reason: claim.KeyNeverIssued}), host.decide(never, "a", time.Second))
		check(t, Decision(Invalid{Reason: claim.KeyNotPrintable}), host.decide("a b", "a", time.Second))
	})
}
