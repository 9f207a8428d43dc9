package retry

import "container/list"

// Set holds the budgets of many keys, such as endpoints or tenants. When it is full, it evicts the least recently used
// budget. An evicted key starts over when it is used again: with one token if there is a floor, otherwise with none.
// Set is not safe for concurrent use.
type Set[K comparable] struct {
	config     Config
	maxBudgets int
	elements   map[K]*list.Element
	byUse      *list.List // of *entry[K], the most recently used first
}

type entry[K comparable] struct {
	key    K
	budget Budget
}

// NewSet returns an empty set that holds up to maxBudgets budgets, or one if maxBudgets is less.
func NewSet[K comparable](config Config, maxBudgets int) *Set[K] {
	return &Set[K]{
		config: config, maxBudgets: max(1, maxBudgets),
		elements: map[K]*list.Element{}, byUse: list.New(),
	}
}

// Config returns the current settings.
func (s *Set[K]) Config() Config { return s.config }

// Configure replaces the settings. The budgets keep their tokens.
func (s *Set[K]) Configure(config Config) { s.config = config }

// Get returns the budget of a key, and adds it first if the set does not have it.
func (s *Set[K]) Get(key K) *Budget {
	if element := s.elements[key]; element != nil {
		s.byUse.MoveToFront(element)
		return &element.Value.(*entry[K]).budget
	}
	if len(s.elements) >= s.maxBudgets {
		oldest := s.byUse.Back()
		delete(s.elements, oldest.Value.(*entry[K]).key)
		s.byUse.Remove(oldest)
	}
	added := &entry[K]{key: key}
	s.elements[key] = s.byUse.PushFront(added)
	return &added.budget
}

// Len returns the number of budgets.
func (s *Set[K]) Len() int { return len(s.elements) }
