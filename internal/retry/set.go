package retry

import "container/list"

// Set is the budgets of many keys: endpoints, or teams. When it is full, the budget that was used the longest ago makes
// way. Its key begins anew: with one retry if there is a floor, else with none. It is not safe for concurrent use.
type Set[K comparable] struct {
	config     Config
	maxBudgets int
	elements   map[K]*list.Element
	recent     *list.List // of *entry[K], that which was used last first
}

type entry[K comparable] struct {
	key    K
	budget Budget
}

// NewSet returns an empty set of at most so many budgets, and at least one.
func NewSet[K comparable](config Config, maxBudgets int) *Set[K] {
	return &Set[K]{
		config: config, maxBudgets: max(1, maxBudgets),
		elements: map[K]*list.Element{}, recent: list.New(),
	}
}

// Config returns the settings in force.
func (s *Set[K]) Config() Config { return s.config }

// Configure puts other settings in force; the tokens stay.
func (s *Set[K]) Configure(config Config) { s.config = config }

// Get returns the budget of a key, which it adds if the set does not have it.
func (s *Set[K]) Get(key K) *Budget {
	if element := s.elements[key]; element != nil {
		s.recent.MoveToFront(element)
		return &element.Value.(*entry[K]).budget
	}
	if len(s.elements) >= s.maxBudgets {
		oldest := s.recent.Back()
		delete(s.elements, oldest.Value.(*entry[K]).key)
		s.recent.Remove(oldest)
	}
	added := &entry[K]{key: key}
	s.elements[key] = s.recent.PushFront(added)
	return &added.budget
}

// Len returns the number of budgets.
func (s *Set[K]) Len() int { return len(s.elements) }
