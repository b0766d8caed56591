// Package set provides a small generic set of comparable values.
//
// # Usage
//
//	zones := set.New("alm-a", "alm-b")
//	zones.Add("shy-a")
//	if zones.Has("alm-a") {
//		...
//	}
package set

// Set is an unordered collection of distinct values. The zero value is an empty
// set to which nothing can be added; use New to create other sets.
type Set[T comparable] struct {
	members map[T]struct{}
}

// New returns a set with the given values.
func New[T comparable](values ...T) Set[T] {
	s := Set[T]{
		members: make(map[T]struct{}, len(values)),
	}
	for _, value := range values {
		s.members[value] = struct{}{}
	}
	return s
}

// Add adds value to the set.
func (s Set[T]) Add(value T) {
	s.members[value] = struct{}{}
}

// Remove removes value from the set, if present.
func (s Set[T]) Remove(value T) {
	delete(s.members, value)
}

// Has reports whether value is in the set.
func (s Set[T]) Has(value T) bool {
	_, ok := s.members[value]
	return ok
}

// Len returns the number of values in the set.
func (s Set[T]) Len() int {
	return len(s.members)
}

// Values returns the values in no particular order.
func (s Set[T]) Values() []T {
	values := make([]T, 0, len(s.members))
	for value := range s.members {
		values = append(values, value)
	}
	return values
}
