package host

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/io/hostlist"
	"cactuswell/metrics"
	"cactuswell/timer"
)

// eventRecorder records the events that a directory posts to its pools.
type eventRecorder struct {
	lines []string
}

func (r *eventRecorder) post(pool string, event dispatch.Event) {
	var text string
	switch event := event.(type) {
	case dispatch.EndpointAdded:
		text = fmt.Sprintf("added %s/%d", event.Descriptor.Key.Name, event.Descriptor.Key.Incarnation)
	case dispatch.EndpointRemoved:
		text = fmt.Sprintf("removed %s/%d", event.Key.Name, event.Key.Incarnation)
	case dispatch.EndpointLeaving:
		text = fmt.Sprintf("leaving %s/%d", event.Key.Name, event.Key.Incarnation)
	case dispatch.EndpointDrainChanged:
		text = fmt.Sprintf("drained %s/%d %v", event.Key.Name, event.Key.Incarnation, event.Drained)
	default:
		return
	}
	r.lines = append(r.lines, pool+": "+text)
}

func newTestDirectory() (*directory, *eventRecorder) {
	r := &eventRecorder{}
	return newDirectory(directoryDependencies{
		timers:    timer.New(),
		logger:    log.NewNopLogger(),
		counters:  metrics.New(),
		post:      r.post,
		onAdded:   func(endpoint.Descriptor, <-chan struct{}) {},
		onLeaving: func(endpoint.Key) {},
	}), r
}

// hostListOf returns a host list from entries in the form name/incarnation, with
// the suffix "!" for a leaving one.
func hostListOf(entries ...string) hostlist.ListResponse {
	var list hostlist.ListResponse
	for _, text := range entries {
		entry := hostlist.Entry{
			Pool:  "drafting",
			State: hostlist.StateLive,
		}
		if strings.HasSuffix(text, "!") {
			entry.State = hostlist.StateLeaving
		}
		name, incarnation, _ := strings.Cut(strings.TrimSuffix(text, "!"), "/")
		entry.Name = name
		_, _ = fmt.Sscan(incarnation, &entry.Incarnation)
		list.Entries = append(list.Entries, entry)
	}
	return list
}

// TestUnusableEntryIsNotLost guards against an endpoint that counts as leaving because another writer spoiled its entry.
func TestUnusableEntryIsNotLost(t *testing.T) {
	d, r := newTestDirectory()
	d.applyList(hostListOf("a/1", "b/1", "c/1"))
	list := hostListOf("a/1", "b/1")
	list.Unusable = []string{"c", ""}
	d.applyList(list)
	if diff := cmp.Diff([]string{"drafting: added a/1", "drafting: added b/1", "drafting: added c/1"}, r.lines); diff != "" {
		t.Error(diff)
	}
}

func TestDirectoryFollowsTheHostList(t *testing.T) {
	for _, test := range []struct {
		name  string
		lists []hostlist.ListResponse
		want  []string
	}{
		{
			name:  "added once",
			lists: []hostlist.ListResponse{hostListOf("a/1"), hostListOf("a/1")},
			want:  []string{"added a/1"},
		},
		{
			name:  "replaced under the same name",
			lists: []hostlist.ListResponse{hostListOf("a/1"), hostListOf("a/2")},
			want:  []string{"added a/1", "removed a/1", "added a/2"},
		},
		{
			name:  "an older list is ignored",
			lists: []hostlist.ListResponse{hostListOf("a/2"), hostListOf("a/1")},
			want:  []string{"added a/2"},
		},
		{
			name:  "leaving is posted once and applies to the incarnation",
			lists: []hostlist.ListResponse{hostListOf("a/1!"), hostListOf("a/1"), hostListOf("a/2")},
			want:  []string{"added a/1", "leaving a/1", "removed a/1", "added a/2"},
		},
		{
			name:  "an unlisted endpoint is leaving",
			lists: []hostlist.ListResponse{hostListOf("a/1", "b/1", "c/1"), hostListOf("a/1", "b/1")},
			want:  []string{"added a/1", "added b/1", "added c/1", "leaving c/1"},
		},
		{
			name:  "a list without most endpoints is ignored",
			lists: []hostlist.ListResponse{hostListOf("a/1", "b/1", "c/1"), hostListOf("a/1"), hostListOf()},
			want:  []string{"added a/1", "added b/1", "added c/1"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, r := newTestDirectory()
			for _, list := range test.lists {
				d.applyList(list)
			}
			want := make([]string, 0, len(test.want))
			for _, line := range test.want {
				want = append(want, "drafting: "+line)
			}
			if diff := cmp.Diff(want, r.lines); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestDirectoryAddsIncarnationFromReport(t *testing.T) {
	d, r := newTestDirectory()
	d.applyList(hostListOf("a/1"))
	descriptor := d.list()[0].descriptor
	d.handleReport(descriptor, endpoint.Report{Key: endpoint.Key{Name: "a", Incarnation: 2}})
	d.applyList(hostListOf("a/1"))
	want := []string{"drafting: added a/1", "drafting: removed a/1", "drafting: added a/2"}
	if diff := cmp.Diff(want, r.lines); diff != "" {
		t.Error(diff)
	}
}

func TestDirectoryDrainsCanBeReverted(t *testing.T) {
	d, r := newTestDirectory()
	d.applyList(hostListOf("a/1", "b/1"))
	drained := true
	isDrained := func(key endpoint.Key) bool { return drained && key.Name == "a" }
	d.applyDrains(isDrained)
	d.applyDrains(isDrained)
	drained = false
	d.applyDrains(isDrained)
	want := []string{
		"drafting: added a/1", "drafting: added b/1", "drafting: drained a/1 true", "drafting: drained a/1 false",
	}
	if diff := cmp.Diff(want, r.lines); diff != "" {
		t.Error(diff)
	}
}
