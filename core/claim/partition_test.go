package claim

import (
	"fmt"
	"testing"
)

func TestWritersMoveFewKeys(t *testing.T) {
	var hosts []string
	for i := range 2400 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	before := SelectWriters(hosts, 24)
	gone := before[5]
	var rest []string
	for _, host := range hosts {
		if host != gone {
			rest = append(rest, host)
		}
	}
	after := SelectWriters(rest, 24)
	perWriter := make(map[string]int)
	for i := range 24000 {
		ref := KeyRef{
			Team: "team",
			Key:  fmt.Sprintf("key-%d", i),
		}
		old, _ := SelectWriter(ref, before)
		now, _ := SelectWriter(ref, after)
		perWriter[old]++
		if old != gone && now != old && now != after[len(after)-1] {
			t.Fatalf("key %d moved from %s to %s", i, old, now)
		}
	}
	for writer, keys := range perWriter {
		if keys < 500 || keys > 2000 {
			t.Errorf("%s has %d keys of 24000, want about 1000", writer, keys)
		}
	}
}

func TestWriterOfNoWriters(t *testing.T) {
	if _, ok := SelectWriter(KeyRef{}, SelectWriters(nil, 24)); ok {
		t.Error("found a writer among none")
	}
}
