package clientbudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smallBody and mediumBody are sizes of bodies, in bytes. Larger bodies leave a part
	// of the memory to smaller ones, so that a few large ones do not block all others.
	smallBody  = 128 << 10
	mediumBody = 1 << 20
	// mediumCeiling and largeCeiling are the shares of the memory that medium and large
	// bodies fill up.
	mediumCeiling = 0.85
	largeCeiling  = 0.7
)

// BodyCeiling returns up to which total a body may grow to the given size. A body that
// is alone has the whole limit.
func BodyCeiling(limit, size int64, isAlone bool) int64 {
	switch {
	case size <= smallBody || isAlone:
		return limit
	case size <= mediumBody:
		return int64(mediumCeiling * float64(limit))
	}
	return int64(largeCeiling * float64(limit))
}

// Arrival describes a body or a header that is arriving.
type Arrival struct {
	// Taken is the memory that it has, in bytes.
	Taken int64
	// Elapsed is the time since it began, and Received the bytes that have arrived since.
	Elapsed  time.Duration
	Received int64
	// Silent is the time since its last bytes.
	Silent time.Duration
}

// lag returns by how much it is late. A large body that stops just before its end
// has arrived fast on average, and lags since then.
func (a *Arrival) lag() time.Duration { return max(Lag(a.Elapsed, a.Received), a.Silent) }

// SelectArrivals returns the indexes of the arrivals that are evicted to free need bytes: those that
// lag most. It returns none if they do not suffice.
func SelectArrivals(arrivals []Arrival, need int64) []int {
	var selected []int
	for i := range arrivals {
		if arrivals[i].Taken > 0 && arrivals[i].lag() >= minArrivalLag {
			selected = append(selected, i)
		}
	}
	slices.SortFunc(selected, func(i, j int) int {
		return cmp.Or(cmp.Compare(arrivals[j].lag(), arrivals[i].lag()), cmp.Compare(i, j))
	})
	for n, i := range selected {
		need -= arrivals[i].Taken
		if need <= 0 {
			return selected[:n+1]
		}
	}
	return nil
}
