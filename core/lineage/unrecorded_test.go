package lineage_test

import (
	"errors"
	"testing"
	"time"

	"cactuswell/core/lineage"
	"cactuswell/core/replica"
)

// requireUnrecorded checks what a missing record tells: a version, or why it tells none.
func (f *fixture) requireUnrecorded(end replica.Position, wantVersion string, wantReason lineage.UnknownReason) {
	f.t.Helper()
	got, err := f.Unrecorded(f.now, models, f.End(), end)
	var unknown *lineage.VersionUnknownError
	errors.As(err, &unknown)
	switch {
	case got != wantVersion, (err == nil) != (wantReason == ""):
		f.t.Errorf("version %q, %v, want %q, reason %q", got, err, wantVersion, wantReason)
	case unknown != nil && unknown.Reason != wantReason:
		f.t.Errorf("reason %q, want %q", unknown.Reason, wantReason)
	}
}

// at returns a position of the records.
func at(era, offset int64) replica.Position {
	return replica.Position{
		Era:    era,
		Offset: offset,
	}
}

// TestMissingRecordTellsNothingAfterLoss guards against a stream that is taken for one of the base
// version after the store has lost its record.
func TestMissingRecordTellsNothingAfterLoss(t *testing.T) {
	f := newFixture(t)
	f.observe(0, "v1", "v2")
	f.SetBase(models, "v1")
	f.requireUnrecorded(at(3, 10), "", lineage.UnknownEra)
	f.SetEra(f.now, 3, time.Time{})
	f.requireUnrecorded(at(3, 11), "v1", "")
	f.requireUnrecorded(at(3, 10), "", lineage.UnknownEnd)
	f.requireUnrecorded(at(2, 90), "", lineage.UnknownEnd)
	f.requireUnrecorded(at(4, 2), "", lineage.UnknownEra)
	f.now = f.now.Add(lifetime - 1)
	f.requireUnrecorded(at(4, 3), "", lineage.UnknownEra)
	f.now = f.now.Add(1)
	f.requireUnrecorded(at(4, 3), "v1", "")
}

// TestStartedHostLearnsOfLoss guards against a host that takes the store for complete as it has
// started after the loss.
func TestStartedHostLearnsOfLoss(t *testing.T) {
	tests := []struct {
		name       string
		era        int64
		age        time.Duration
		wantAfter  time.Duration
		wantReason lineage.UnknownReason
	}{
		{name: "loss that nobody has recorded", era: 3, age: time.Hour, wantAfter: lifetime, wantReason: lineage.UnknownEra},
		{name: "recent loss", era: 4, age: lifetime / 2, wantAfter: lifetime / 2, wantReason: lineage.UnknownEra},
		{name: "old loss", era: 4, age: lifetime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.observe(0, "v1", "v2")
			f.SetBase(models, "v1")
			f.ObserveEnd(f.now, at(4, 5))
			f.SetEra(f.now, test.era, f.now.Add(-test.age))
			if test.wantReason != "" {
				f.requireUnrecorded(at(4, 5), "", test.wantReason)
			}
			f.now = f.now.Add(test.wantAfter)
			f.requireUnrecorded(at(4, 5), "v1", "")
		})
	}
}

// TestBaseThatReturnsIsInDoubt guards against streams of two versions after a release is taken
// back: some hosts may have changed the base, and streams may have begun without a record.
func TestBaseThatReturnsIsInDoubt(t *testing.T) {
	f := newFixture(t)
	f.SetEra(f.now, -1, time.Time{})
	f.observe(0, "v1")
	f.SetBase(models, "v1")
	if f.IsBaseInDoubt(f.now, models) {
		t.Error("the base is in doubt although endpoints have it")
	}
	f.observe(time.Second, "v2")
	if !f.IsBaseInDoubt(f.now, models) {
		t.Error("the base is not in doubt although no endpoint has it")
	}
	f.observe(time.Second, "v1", "v2")
	if !f.IsBaseInDoubt(f.now, models) || !f.MustRecord(f.now, models, "v1") {
		t.Error("the base that has returned is not in doubt")
	}
	f.requireUnrecorded(at(0, 1), "", lineage.UnknownReturn)
	f.SetBase(models, "v1")
	f.requireUnrecorded(at(0, 1), "", lineage.UnknownReturn)
	f.now = f.now.Add(lifetime)
	if f.MustRecord(f.now, models, "v1") {
		t.Error("the base is in doubt for longer than a stream lasts")
	}
}

// TestOverlappingReadsAreBelieved guards against streams that are refused because the answers of
// two reads overtake each other.
func TestOverlappingReadsAreBelieved(t *testing.T) {
	f := newFixture(t)
	f.ObserveEnd(f.now, at(0, 1))
	f.SetEra(f.now, 0, time.Time{})
	f.observe(0, "v1", "v2")
	f.SetBase(models, "v1")
	f.requireUnrecorded(at(0, 5), "v1", "")
	before := f.End()
	f.requireUnrecorded(at(0, 8), "v1", "")
	if got, err := f.Unrecorded(f.now, models, before, at(0, 7)); got != "v1" || err != nil {
		t.Errorf("version %q, %v", got, err)
	}
}

// TestBaseThatReturnedStaysInDoubtUntilRead guards against streams that are not recorded at a version that other hosts have replaced as the base, while the store cannot be read for longer than a stream lasts.
func TestBaseThatReturnedStaysInDoubtUntilRead(t *testing.T) {
	f := newFixture(t)
	f.observe(0, "v1")
	f.SetBase(models, "v1")
	f.observe(time.Second, "v2")
	f.observe(2*lifetime, "v1", "v2")
	f.now = f.now.Add(2 * lifetime)
	if !f.MustRecord(f.now, models, "v1") || !f.IsBaseInDoubt(f.now, models) {
		t.Error("the base counts as known although it has not been read again")
	}
	f.SetBase(models, "v1")
	if f.MustRecord(f.now, models, "v1") || f.IsBaseInDoubt(f.now, models) {
		t.Error("the base is in doubt after it has been read again")
	}
}
