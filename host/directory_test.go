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

// recorder records what a directory tells its pools.
type recorder struct {
	lines []string
}

func (r *recorder) post(pool string, event dispatch.Event) {
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

func newTestDirectory() (*directory, *recorder) {
	r := &recorder{}
	return newDirectory(directoryDependencies{
		timers:   timer.New(),
		logger:   log.NewNopLogger(),
		counters: metrics.New(),
		post:     r.post,
		added:    func(endpoint.Descriptor, <-chan struct{}) {},
		leaving:  func(endpoint.Key) {},
	}), r
}

// listOf returns a host list from entries written as name/incarnation, with "!"
// behind those that are leaving.
func listOf(entries ...string) hostlist.ListResponse {
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

func TestDirectoryFollowsTheHostList(t *testing.T) {
	for _, test := range []struct {
		name  string
		lists []hostlist.ListResponse
		want  []string
	}{
		{
			name:  "added once",
			lists: []hostlist.ListResponse{listOf("a/1"), listOf("a/1")},
			want:  []string{"added a/1"},
		},
		{
			name:  "replaced under the same name",
			lists: []hostlist.ListResponse{listOf("a/1"), listOf("a/2")},
			want:  []string{"added a/1", "removed a/1", "added a/2"},
		},
		{
			name:  "an older list is ignored",
			lists: []hostlist.ListResponse{listOf("a/2"), listOf("a/1")},
			want:  []string{"added a/2"},
		},
		{
			name:  "leaving is told once and holds for the incarnation",
			lists: []hostlist.ListResponse{listOf("a/1!"), listOf("a/1"), listOf("a/2")},
			want:  []string{"added a/1", "leaving a/1", "removed a/1", "added a/2"},
		},
		{
			name:  "one that is not listed takes no new work",
			lists: []hostlist.ListResponse{listOf("a/1", "b/1", "c/1"), listOf("a/1", "b/1")},
			want:  []string{"added a/1", "added b/1", "added c/1", "leaving c/1"},
		},
		{
			name:  "a list that loses most endpoints is not believed",
			lists: []hostlist.ListResponse{listOf("a/1", "b/1", "c/1"), listOf("a/1"), listOf()},
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

func TestDirectoryHearsOfANewIncarnationFromTheEndpoint(t *testing.T) {
	d, r := newTestDirectory()
	d.applyList(listOf("a/1"))
	descriptor := d.list()[0].descriptor
	d.heard(descriptor, endpoint.Report{Key: endpoint.Key{Name: "a", Incarnation: 2}})
	d.applyList(listOf("a/1"))
	want := []string{"drafting: added a/1", "drafting: removed a/1", "drafting: added a/2"}
	if diff := cmp.Diff(want, r.lines); diff != "" {
		t.Error(diff)
	}
}

func TestDirectoryDrainsCanBeTakenBack(t *testing.T) {
	d, r := newTestDirectory()
	d.applyList(listOf("a/1", "b/1"))
	drained := true
	wanted := func(key endpoint.Key) bool { return drained && key.Name == "a" }
	d.applyDrains(wanted)
	d.applyDrains(wanted)
	drained = false
	d.applyDrains(wanted)
	want := []string{
		"drafting: added a/1", "drafting: added b/1", "drafting: drained a/1 true", "drafting: drained a/1 false",
	}
	if diff := cmp.Diff(want, r.lines); diff != "" {
		t.Error(diff)
	}
}
