package replica_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cactuswell/core/replica"
)

func TestPositionOrder(t *testing.T) {
	position := func(era, offset int64) replica.Position {
		return replica.Position{Era: era, Offset: offset}
	}
	for _, c := range []struct {
		name  string
		a, b  replica.Position
		after bool
	}{
		{"later offset", position(1, 5), position(1, 4), true},
		{"same", position(1, 5), position(1, 5), false},
		{"lower offset of a later era", position(2, 3), position(1, 900), true},
		{"higher offset of an earlier era", position(1, 900), position(2, 3), false},
		{"empty topic after no copy", position(0, 0), replica.Unknown(), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.a.After(c.b); got != c.after {
				t.Errorf("got %v", got)
			}
		})
	}
}

// values returns the values of a table, which it gets like a host that has nothing.
func values(table *replica.Table) map[string]string {
	all := make(map[string]string)
	for _, record := range table.Since(replica.Unknown()).Records {
		all[record.Key] = string(record.Value)
	}
	return all
}

// TestChangesConverge checks that a copy that gets its changes from another copy, at any
// times, becomes equal to it, for any records, deletions, expired deletions and rewinds
// of the log.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := replica.New(), replica.New()
		end := replica.Position{}
		source.Replace(end, nil)
		var listed []replica.Record
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				end.Era++
				end.Offset = rapid.Int64Range(0, end.Offset).Draw(t, "rewoundTo")
				source.Replace(end, listed)
			case 1, 2, 3:
				changes := source.Since(follower.End())
				if changes.Whole {
					follower.Replace(changes.End, changes.Records)
				} else {
					follower.Apply(changes.End, changes.Records)
				}
				if diff := cmp.Diff(values(source), values(follower)); diff != "" {
					t.Fatal(diff)
				}
			default:
				for range rapid.SampledFrom([]int{1, 1, 2, 1500}).Draw(t, "records") {
					key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
					record := replica.Record{
						Key:     key,
						Value:   []byte(fmt.Sprint(step)),
						Deleted: rapid.Bool().Draw(t, "deleted"),
						Offset:  end.Offset,
					}
					end.Offset++
					source.Apply(end, []replica.Record{record})
				}
				listed = source.Since(replica.Unknown()).Records
			}
		}
	})
}
