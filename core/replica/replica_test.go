package replica_test

import (
	"fmt"
	"strings"
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

// TestPreviousRecordIsOfTheSameEra guards against a record of another era, whose offset names another
// value at the hosts, as the one from which the difference is taken.
func TestPreviousRecordIsOfTheSameEra(t *testing.T) {
	large := func(offset int64, text string) replica.Record {
		return replica.Record{Key: "k", Value: []byte(strings.Repeat(text, 20_000)), Offset: offset}
	}
	table := replica.New()
	previous := func() int64 {
		record, ok := table.Previous("k")
		if !ok {
			return -1
		}
		return record.Offset
	}
	expect := func(step string, want int64) {
		t.Helper()
		if got := previous(); got != want {
			t.Errorf("%s: the previous record is at offset %d, want %d", step, got, want)
		}
	}
	table.Replace(replica.Position{Offset: 2}, []replica.Record{large(1, "a")})
	expect("first", -1)
	table.Apply(replica.Position{Offset: 3}, []replica.Record{large(2, "b")})
	expect("changed", 1)
	table.Apply(replica.Position{Offset: 3}, []replica.Record{large(2, "b")})
	expect("applied again", 1)
	table.Replace(replica.Position{Offset: 5}, []replica.Record{large(4, "c")})
	expect("listed", 2)
	table.Replace(replica.Position{Era: 1, Offset: 4}, []replica.Record{large(3, "d")})
	expect("rewound", -1)
	table.Apply(replica.Position{Era: 1, Offset: 5}, []replica.Record{{Key: "k", Value: []byte("small"), Offset: 4}})
	expect("small", -1)
}
