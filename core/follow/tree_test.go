package follow

import (
	"fmt"
	"slices"
	"testing"
)

func members(count int, zone string) []Member {
	var all []Member
	for i := range count {
		all = append(all, Member{
			Name: fmt.Sprintf("host-%d", i),
			Zone: zone,
		})
	}
	return all
}

// TestTreeReachesEveryHostOnce follows the pushes from the readers down.
func TestTreeReachesEveryHostOnce(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 10, 11, 100, 800} {
		all := append(members(count, "alm-a"), Member{Name: "elsewhere", Zone: "shy-a"})
		parents := make(map[string]string)
		readers := 0
		for _, self := range all[:count] {
			own := newTree(self, all)
			if own.isReader() {
				readers++
			}
			if len(own.targets()) > FanOut+1 {
				t.Errorf("%d hosts: %s has %d targets", count, self.Name, len(own.targets()))
			}
			for _, target := range own.targets() {
				if newTree(Member{Name: target, Zone: "alm-a"}, all).isReader() {
					continue
				}
				if other, taken := parents[target]; taken {
					t.Errorf("%d hosts: %s is reached from %s and %s", count, target, other, self.Name)
				}
				parents[target] = self.Name
			}
		}
		if readers != min(count, ReadersPerZone) || len(parents) != count-readers {
			t.Errorf("%d hosts: %d readers reach %d others", count, readers, len(parents))
		}
		for child, parent := range parents {
			if got, _ := newTree(Member{Name: child, Zone: "alm-a"}, all).parent(); got != parent {
				t.Errorf("%d hosts: %s takes %s for its parent, which is %s", count, child, got, parent)
			}
		}
	}
}

func TestOrderOfOthersStaysWhenOneGoes(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	whole := RendezvousOrder("key", names)
	for _, gone := range names {
		isGone := func(name string) bool { return name == gone }
		want := slices.DeleteFunc(slices.Clone(whole), isGone)
		got := RendezvousOrder("key", slices.DeleteFunc(slices.Clone(names), isGone))
		if !slices.Equal(got, want) {
			t.Errorf("without %s: %v, want %v", gone, got, want)
		}
	}
}
