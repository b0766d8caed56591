package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/directory"
)

// play feeds a course of events to a directory and returns what changed, in
// short.
type play struct {
	directory *directory.Directory
	now       time.Time
	changes   []string
}

func newPlay() *play {
	return &play{
		directory: directory.New(directory.Settings{}),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (p *play) wait(d time.Duration) {
	p.now = p.now.Add(d)
	p.note(p.directory.Tick(p.now, nil))
}

func (p *play) observe(id string, born int64, leaving bool) {
	p.note(p.directory.Observe(p.now, directory.Entry{
		ID:      id,
		Born:    born,
		Service: "models",
		Address: "10.0.0.1:80",
		Slots:   4,
		Leaving: leaving,
	}, nil))
}

func (p *play) lapse(id string) { p.note(p.directory.Expire(p.now, id, nil)) }

func (p *play) note(changes []directory.Change) {
	for _, change := range changes {
		switch change := change.(type) {
		case directory.Appeared:
			p.changes = append(p.changes, fmt.Sprintf("appeared %s/%d", change.Entry.ID, change.Entry.Born))
		case directory.Leaving:
			p.changes = append(p.changes, fmt.Sprintf("left %s/%d %s", change.Entry.ID, change.Entry.Born, change.Reason))
		case directory.Removed:
			p.changes = append(p.changes, fmt.Sprintf("removed %s/%d %s", change.Entry.ID, change.Entry.Born, change.Reason))
		case directory.Updated:
			p.changes = append(p.changes, fmt.Sprintf("updated %s/%d", change.Entry.ID, change.Entry.Born))
		}
	}
}

func TestDirectory(t *testing.T) {
	for name, test := range map[string]struct {
		course func(p *play)
		want   []string
	}{
		"an entry that lapses is gone at once": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.lapse("a")
			},
			want: []string{"appeared a/1", "removed a/1 entryLapsed"},
		},
		"a lapse while the source is away is not believed": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.directory.SetSourceUnavailable()
				p.lapse("a")
				p.wait(time.Minute)
			},
			want: []string{"appeared a/1"},
		},
		"an entry that is back soon after the source stays": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.directory.SetSourceUnavailable()
				p.wait(5 * time.Second)
				p.directory.SetSourceAvailable(p.now)
				p.lapse("a")
				p.wait(1900 * time.Millisecond)
				p.observe("a", 1, false)
				p.wait(time.Minute)
			},
			want: []string{"appeared a/1"},
		},
		"an entry that is not back is gone": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.directory.SetSourceUnavailable()
				p.lapse("a")
				p.directory.SetSourceAvailable(p.now)
				p.wait(2300 * time.Millisecond)
			},
			want: []string{"appeared a/1", "removed a/1 notBackAfterOutage"},
		},
		"an endpoint that was leaving is gone even during an outage": {
			course: func(p *play) {
				p.observe("a", 1, true)
				p.directory.SetSourceUnavailable()
				p.lapse("a")
			},
			want: []string{"appeared a/1", "left a/1 endpointSaidSo", "removed a/1 entryLapsed"},
		},
		"leaving holds for an incarnation": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.observe("a", 1, true)
				p.observe("a", 1, false)
			},
			want: []string{"appeared a/1", "left a/1 endpointSaidSo"},
		},
		"a new incarnation starts anew": {
			course: func(p *play) {
				p.observe("a", 1, true)
				p.observe("a", 2, false)
			},
			want: []string{"appeared a/1", "left a/1 endpointSaidSo", "removed a/1 newIncarnation", "appeared a/2"},
		},
		"an entry of an earlier incarnation is dropped": {
			course: func(p *play) {
				p.observe("a", 2, false)
				p.observe("a", 1, true)
			},
			want: []string{"appeared a/2"},
		},
		"a listing drops what it does not hold": {
			course: func(p *play) {
				p.observe("a", 1, false)
				p.observe("b", 1, false)
				p.note(p.directory.Reconcile(p.now, map[string]bool{"a": true}, nil))
			},
			want: []string{"appeared a/1", "appeared b/1", "removed b/1 notInListing"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay()
			test.course(p)
			if diff := cmp.Diff(test.want, p.changes); diff != "" {
				t.Error(diff)
			}
		})
	}
}
