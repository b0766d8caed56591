package claims

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/claim"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
)

var booked = claim.Outcome{
	Status:      201,
	ContentType: "application/json",
	Body:        []byte(`{"hold":"4711"}`),
}

// mustRun returns the ticket of a call that may run.
func mustRun(t *testing.T, decision Decision) *Ticket {
	t.Helper()
	run, ok := decision.(Run)
	if !ok {
		t.Fatalf("got %T %+v, want Run", decision, decision)
	}
	return run.Ticket
}

func check(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// TestCallerKeyRunsOnceAndIsReplayedByAnyHost checks that retries get the
// recorded outcome on every host, also after the host that ran the call has
// crashed.
func TestCallerKeyRunsOnceAndIsReplayedByAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.decide("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), first.decide("hold-1", "a", time.Second))
		time.Sleep(time.Second)
		check(t, Decision(Replay{Outcome: booked}), second.decide("hold-1", "a", time.Second))
		check(t, Decision(Mismatch{}), second.decide("hold-1", "b", time.Second))
		first.crash()
		third := fleet.start("host-3")
		check(t, Decision(Replay{Outcome: booked}), third.decide("hold-1", "a", time.Second))
	})
}

// TestClaimWithoutOutcomeIsUnknown guards against a second run after the host
// that was granted the call has crashed: it may have run the call.
func TestClaimWithoutOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		mustRun(t, first.decide("hold-1", "a", time.Second))
		first.crash()
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), second.decide("hold-1", "a", time.Second))
	})
}

func TestRetryWaitsForTheOutcomeOfARunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.decide("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		time.AfterFunc(3*time.Second, func() { _ = ticket.Finish(booked) })
		check(t, Decision(Replay{Outcome: booked}), second.decide("hold-1", "a", 10*time.Second))
	})
}

func TestAbandonedClaimIsReleasedForAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first, second := fleet.start("host-1"), fleet.start("host-2")
		ticket := mustRun(t, first.decide("hold-1", "a", time.Second))
		time.AfterFunc(time.Second, func() { _ = ticket.Abandon() })
		check(t, Decision(Mismatch{}), second.decide("hold-1", "b", 10*time.Second))
		mustRun(t, second.decide("hold-1", "a", 10*time.Second))
		var used *TicketError
		if !errors.As(ticket.MarkStarted(), &used) || used.Reason != TicketUsed {
			t.Error("abandoned ticket could be started")
		}
	})
}

// disconnectableLog executes the first append and returns no response from then
// on, until it is connected again.
type disconnectableLog struct {
	logservice.Log
	appends      atomic.Int64
	disconnected atomic.Bool
}

func (l *disconnectableLog) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	if l.appends.Add(1) == 1 {
		l.disconnected.Store(true)
		_, _ = l.Log.Append(ctx, stream, records)
	}
	if l.disconnected.Load() {
		return 0, &logservice.UnavailableError{Cause: noResponseError{}}
	}
	return l.Log.Append(ctx, stream, records)
}

func (l *disconnectableLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := l.Log.Read(ctx, stream, from, options)
	if l.disconnected.Load() {
		return logservice.ReadResponse{}, &logservice.UnavailableError{Cause: noResponseError{}}
	}
	return response, err
}

// TestLogOutageRefusesAndALaterRetryRuns checks that a call whose claim got no
// response is refused as not run, and that its claim is released after the
// outage, so that a retry on another host can run.
func TestLogOutageRefusesAndALaterRetryRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		// The claim is written to the log, which disconnects before it
		// responds.
		log := &disconnectableLog{
			Log: fleet.store,
		}
		first := fleet.startOver("host-1", log)
		second := fleet.start("host-2")
		refused, ok := first.decide("hold-1", "a", time.Second).(Refused)
		if !ok || refused.Reason != claim.RefuseLogUnavailable || !refused.KeyUnchecked {
			t.Fatalf("got %+v", refused)
		}
		time.Sleep(time.Minute)
		log.disconnected.Store(false)
		appends, _ := fleet.store.Counts()
		check(t, uint64(1), appends)
		mustRun(t, second.decide("hold-1", "a", 10*time.Second))
	})
}

// TestTicketExpiresWhileTheHostIsPaused guards against a late run: a host that
// was paused for longer than the maximum age of a grant must not use it.
func TestTicketExpiresWhileTheHostIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		ticket := mustRun(t, fleet.start("host-1").decide("hold-1", "a", time.Second))
		time.Sleep(fleet.settings.MaxGrantAge + time.Second)
		var expired *TicketError
		if !errors.As(ticket.MarkStarted(), &expired) || expired.Reason != TicketExpired {
			t.Error("expired ticket could be started")
		}
	})
}

func TestCallWithoutKeyNeedsNoLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.store.SetFaults(standin.Faults{Down: true})
		ticket := mustRun(t, fleet.start("host-1").decide("", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.MarkNotStarted())
		check(t, nil, ticket.MarkStarted())
		ticket.Close()
		appends, _ := fleet.store.Counts()
		check(t, uint64(0), appends)
	})
}

func TestBeginAfterStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		host := fleet.start("host-1")
		synctest.Wait()
		host.crash()
		refused, ok := host.decide("hold-1", "a", time.Second).(Refused)
		if !ok || refused.Reason != claim.RefuseStopping {
			t.Errorf("got %+v", refused)
		}
		if _, err := host.claims.Issue(context.Background(), testTeam); err == nil {
			t.Error("stopped host issued a key")
		}
		fleet.stop()
	})
}

// TestRestartedDeciderCreatesANewInstance guards against a second run after the
// decider duty has lost its state in a panic: keys from before the restart are
// not run again, a call that is still running can record its outcome, and new
// keys can be used.
func TestRestartedDeciderCreatesANewInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		host := fleet.start("host-1")
		key := mustIssue(t, host)
		ticket := mustRun(t, host.decide("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		// A request without a waiter makes the duty panic.
		host.claims.requests.TryPush(request{
			event: claim.IssueRequested{},
		})
		time.Sleep(time.Second)
		check(t, Decision(Unknown{Reason: claim.UnknownIssuerStopped}), host.decide(key, "a", time.Second))
		check(t, Decision(Unknown{Reason: claim.UnknownNoOutcome}), host.decide("hold-1", "a", time.Second))
		check(t, nil, ticket.Finish(booked))
		check(t, Decision(Replay{Outcome: booked}), host.decide("hold-1", "a", time.Second))
		mustRun(t, host.decide(mustIssue(t, host), "a", time.Second))
	})
}

// TestOutcomeSurvivesReplacementOfAllHosts checks that an outcome is replayed
// after all hosts were replaced several times, as it is read from the log.
func TestOutcomeSurvivesReplacementOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		ticket := mustRun(t, first.decide("hold-1", "a", time.Second))
		check(t, nil, ticket.MarkStarted())
		check(t, nil, ticket.Finish(booked))
		check(t, nil, first.claims.Shutdown(context.Background()))
		for range 5 {
			for _, host := range fleet.hosts {
				host.crash()
			}
			time.Sleep(time.Hour)
			host := fleet.start("host-1")
			check(t, Decision(Replay{Outcome: booked}), host.decide("hold-1", "a", time.Second))
		}
	})
}

// gapLog omits the first record from every response.
type gapLog struct {
	logservice.Log
}

func (g gapLog) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	response, err := g.Log.Read(ctx, stream, from, options)
	if len(response.Records) > 0 {
		response.Records = response.Records[1:]
	}
	return response, err
}

// TestRecordsAfterAGapAreNotApplied guards against a second run when a
// response of the log lacks records: the missing records could be claims.
func TestRecordsAfterAGapAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		first := fleet.start("host-1")
		mustRun(t, first.decide("hold-1", "a", time.Second))
		second := fleet.startOver("host-2", gapLog{
			Log: fleet.store,
		})
		refused, ok := second.decide("hold-1", "a", time.Second).(Refused)
		if !ok || !refused.KeyUnchecked {
			t.Errorf("got %+v", refused)
		}
		check(t, record.Offset(0), second.claims.Dump().Position)
	})
}

// TestShutdownWritesOutcomesFinishedBefore guards against lost outcomes at
// shutdown. Outcomes and the shutdown request reach the decider through
// different rings; outcomes of calls finished before the request must be
// written before it returns.
func TestShutdownWritesOutcomesFinishedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		reader := fleet.start("reader")
		for i := range 100 {
			host, key := fleet.start("host-1"), fmt.Sprintf("hold-%d", i)
			ticket := mustRun(t, host.decide(key, "a", time.Second))
			check(t, nil, ticket.MarkStarted())
			check(t, nil, ticket.Finish(booked))
			check(t, nil, host.claims.Shutdown(context.Background()))
			host.crash()
			check(t, Decision(Replay{Outcome: booked}), reader.decide(key, "a", time.Second))
		}
	})
}
