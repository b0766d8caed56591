package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/directory"
)

// harness feeds events to a directory and records the changes as short texts.
type harness struct {
	directory *directory.Directory
	now       time.Time
	changes   []string
}

func newHarness() *harness {
	return &harness{
		directory: directory.New(directory.Settings{}),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.record(h.directory.Tick(h.now, nil))
}

func (h *harness) observe(id string, born int64, leaving bool) {
	h.record(h.directory.Observe(h.now, directory.Entry{
		ID:      id,
		Born:    born,
		Service: "models",
		Address: "10.0.0.1:80",
		Slots:   4,
		Leaving: leaving,
	}, nil))
}

// list applies a listing of ready endpoints of the first incarnation, whose entries are the
// store's first records.
func (h *harness) list(ids ...string) { h.listAt(0, ids...) }

// listAt is like list, for entries that were written at an offset.
func (h *harness) listAt(offset int64, ids ...string) {
	listed := make(map[string]bool)
	for _, id := range ids {
		listed[id] = true
		h.record(h.directory.ObserveListed(h.now, directory.Listed{
			Entry: directory.Entry{
				ID:      id,
				Born:    1,
				Service: "models",
				Address: "10.0.0.1:80",
				Slots:   4,
			},
			Offset: offset,
		}, nil))
	}
	h.record(h.directory.Reconcile(h.now, listed, nil))
}

func (h *harness) expire(id string) { h.record(h.directory.Expire(h.now, id, nil)) }

func (h *harness) record(changes []directory.Change) {
	for _, change := range changes {
		switch change := change.(type) {
		case directory.Appeared:
			h.changes = append(h.changes, fmt.Sprintf("appeared %s/%d", change.Entry.ID, change.Entry.Born))
		case directory.Withheld:
			h.changes = append(h.changes, fmt.Sprintf("withheld %s/%d", change.Entry.ID, change.Entry.Born))
		case directory.Leaving:
			h.changes = append(h.changes, fmt.Sprintf("leaving %s/%d %s", change.Entry.ID, change.Entry.Born, change.Reason))
		case directory.Removed:
			h.changes = append(h.changes, fmt.Sprintf("removed %s/%d %s", change.Entry.ID, change.Entry.Born, change.Reason))
		case directory.Updated:
			h.changes = append(h.changes, fmt.Sprintf("updated %s/%d", change.Entry.ID, change.Entry.Born))
		}
	}
}

func TestDirectory(t *testing.T) {
	for name, test := range map[string]struct {
		scenario func(h *harness)
		want     []string
	}{
		"expired entry is removed at once": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed"},
		},
		"expiry during an outage is ignored": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.SetSourceUnavailable()
				h.expire("a")
				h.advance(time.Minute)
			},
			want: []string{"appeared a/1"},
		},
		"entry renewed soon after the recovery is kept": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.SetSourceUnavailable()
				h.advance(5 * time.Second)
				h.directory.SetSourceAvailable(h.now)
				h.expire("a")
				h.advance(1900 * time.Millisecond)
				h.observe("a", 1, false)
				h.advance(time.Minute)
			},
			want: []string{"appeared a/1"},
		},
		"entry not renewed after the recovery is removed": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.SetSourceUnavailable()
				h.expire("a")
				h.directory.SetSourceAvailable(h.now)
				h.advance(2300 * time.Millisecond)
			},
			want: []string{"appeared a/1", "removed a/1 notBackAfterOutage"},
		},
		"entry that the log has forgotten is kept until it is written again": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.Rewind(h.now)
				h.list()
				h.advance(1900 * time.Millisecond)
				h.observe("a", 1, false)
				h.advance(time.Minute)
			},
			want: []string{"appeared a/1"},
		},
		"entry that the log has forgotten and nobody writes again is removed": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.Rewind(h.now)
				h.list()
				h.advance(2300 * time.Millisecond)
			},
			want: []string{"appeared a/1", "removed a/1 notBackAfterOutage"},
		},
		"endpoint whose leaving the log has forgotten is still leaving": {
			scenario: func(h *harness) {
				h.observe("a", 1, true)
				h.directory.Rewind(h.now)
				h.list("a")
				h.observe("a", 1, false)
				h.advance(time.Minute)
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo"},
		},
		"removed endpoint that an older listing has is not used at once": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(time.Second)
				h.expire("a")
				h.advance(time.Hour)
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1"},
		},
		"removed endpoint is used again once it writes its entry": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(time.Second)
				h.observe("a", 1, false)
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1", "appeared a/1"},
		},
		"removed endpoint is used again once a later listing shows that it was written again": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(10 * time.Second)
				h.listAt(0, "a")
				h.listAt(1, "a")
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1", "appeared a/1"},
		},
		"removed endpoint is not used while its removal may still be on its way": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(30 * time.Second)
				h.expire("a")
				h.advance(time.Hour)
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1"},
		},
		"removed endpoint is not used if the second rewind is heard of late": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(10 * time.Second)
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(10 * time.Second)
				h.expire("a")
				h.advance(time.Hour)
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1", "withheld a/1"},
		},
		"removed endpoint that stays listed for longer than a removal can be missing is used again": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(2 * time.Minute)
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "withheld a/1", "appeared a/1"},
		},
		"endpoint that was removed after the rewind is used as soon as it is listed": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(3 * time.Second)
				h.expire("a")
				h.advance(time.Second)
				h.listAt(5, "a")
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed", "appeared a/1"},
		},
		"leaving endpoint that an older listing has as ready stays leaving": {
			scenario: func(h *harness) {
				h.observe("a", 1, true)
				h.expire("a")
				h.directory.Rewind(h.now)
				h.list("a")
				h.advance(2 * time.Minute)
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo", "removed a/1 entryLapsed", "withheld a/1", "appeared a/1", "leaving a/1 endpointSaidSo"},
		},
		"new incarnation of a leaving endpoint is used": {
			scenario: func(h *harness) {
				h.observe("a", 1, true)
				h.expire("a")
				h.observe("a", 2, false)
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo", "removed a/1 entryLapsed", "appeared a/2"},
		},
		"endpoint that an answer says is leaving stays so": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.record(h.directory.SetLeaving("a", 1, directory.ReasonAnswered, nil))
				h.record(h.directory.SetLeaving("a", 1, directory.ReasonHeard, nil))
				h.observe("a", 1, false)
			},
			want: []string{"appeared a/1", "leaving a/1 answerSaidSo"},
		},
		"expired leaving endpoint is removed even during an outage": {
			scenario: func(h *harness) {
				h.observe("a", 1, true)
				h.directory.SetSourceUnavailable()
				h.expire("a")
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo", "removed a/1 entryLapsed"},
		},
		"leaving cannot be undone within an incarnation": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.observe("a", 1, true)
				h.observe("a", 1, false)
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo"},
		},
		"new incarnation replaces a leaving one": {
			scenario: func(h *harness) {
				h.observe("a", 1, true)
				h.observe("a", 2, false)
			},
			want: []string{"appeared a/1", "leaving a/1 endpointSaidSo", "removed a/1 newIncarnation", "appeared a/2"},
		},
		"entry of an earlier incarnation is ignored": {
			scenario: func(h *harness) {
				h.observe("a", 2, false)
				h.observe("a", 1, true)
			},
			want: []string{"appeared a/2"},
		},
		"listing removes endpoints that it does not contain": {
			scenario: func(h *harness) {
				h.observe("a", 1, false)
				h.observe("b", 1, false)
				h.record(h.directory.Reconcile(h.now, map[string]bool{"a": true}, nil))
			},
			want: []string{"appeared a/1", "appeared b/1", "removed b/1 notInListing"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			test.scenario(h)
			if diff := cmp.Diff(test.want, h.changes); diff != "" {
				t.Error(diff)
			}
		})
	}
}
