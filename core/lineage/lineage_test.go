package lineage_test

import (
	"slices"
	"testing"
	"time"

	"cactuswell/core/lineage"
	"cactuswell/set"
)

const (
	models   = "models"
	lifetime = 10 * time.Second
)

// fixture is a tracker with a clock.
type fixture struct {
	*lineage.Tracker
	t   *testing.T
	now time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		Tracker: lineage.New(),
		t:       t,
		now:     time.Unix(1000, 0),
	}
	f.SetLifetime(models, lifetime)
	return f
}

// observe lets time pass and then records versions of endpoints.
func (f *fixture) observe(after time.Duration, versions ...string) {
	f.now = f.now.Add(after)
	f.Observe(f.now, models, set.New(versions...))
}

// requireProposal checks which base is proposed after some time, if any.
func (f *fixture) requireProposal(after time.Duration, want string) {
	f.t.Helper()
	f.now = f.now.Add(after)
	if got, _ := f.ProposedBase(f.now, models); got != want {
		f.t.Errorf("proposed base %q, want %q", got, want)
	}
}

func TestBaseFollowsReleaseOnceOldStreamsHaveEnded(t *testing.T) {
	f := newFixture(t)
	f.observe(0, "v1")
	if !f.MustRecord(f.now, models, "v1") {
		t.Error("streams are not recorded although no base is known")
	}
	f.requireProposal(0, "v1")
	f.SetBase(models, "v1")
	f.now = f.now.Add(lifetime)
	if f.MustRecord(f.now, models, "v1") || !f.MustRecord(f.now, models, "v2") {
		t.Error("only streams of other versions than the base are to be recorded")
	}
	if !f.IsSettled(f.now, models) {
		t.Error("the only version is the base, but it is not settled")
	}
	f.observe(time.Second, "v1", "v2")
	if f.IsSettled(f.now, models) {
		t.Error("settled with two versions")
	}
	f.requireProposal(time.Minute, "")
	f.observe(0, "v2")
	f.requireProposal(lifetime-1, "")
	f.requireProposal(1, "v2")
	f.SetBase(models, "v2")
	if f.MustRecord(f.now, models, "v2") || !f.IsSettled(f.now, models) {
		t.Error("the new base is not in force")
	}
}

// TestRollbackStartsTheWaitAgain guards against a base that changes while streams of the old one
// are left.
func TestRollbackStartsTheWaitAgain(t *testing.T) {
	f := newFixture(t)
	f.SetBase(models, "v1")
	f.observe(0, "v2")
	f.observe(lifetime-time.Second, "v1", "v2")
	f.observe(0, "v2")
	f.requireProposal(lifetime-1, "")
	f.requireProposal(1, "v2")
}

// TestAbsentEndpointsChangeNothing guards against a base that is proposed because endpoints are
// away for a moment.
func TestAbsentEndpointsChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.SetBase(models, "v1")
	f.observe(0, "v2")
	f.observe(lifetime / 2)
	f.observe(0, "v2")
	f.requireProposal(lifetime/2, "v2")
}

func TestServicesWithoutStreamsAreNotTracked(t *testing.T) {
	f := newFixture(t)
	f.Observe(f.now, "booking", set.New("v1"))
	if _, ok := f.ProposedBase(f.now.Add(time.Hour), "booking"); ok {
		t.Error("a base is proposed for a service without streams")
	}
	if got := f.Services(); !slices.Equal(got, []string{models}) {
		t.Errorf("services %v", got)
	}
}
