package membership

// listPass is one walk over a list.
type listPass struct {
	order []*record // the records of the list, in its order
	added []*record // those on which the source had no report, if it had any reports before
	known int       // the number of the others
}

// applyList takes the endpoints of a list.
func (t *Table) applyList(u update, endpoints []Endpoint) listPass {
	s := &t.sources[u.source]
	s.generation++
	pass := listPass{order: s.spare[:0]}
	hadReports := s.endpoints > 0
	expected := 0
	for i := range endpoints {
		received := &endpoints[i]
		r := t.lookUp(s, expected, received.ID)
		if r == nil {
			r = t.add(received.ID)
		}
		if r == nil {
			continue // the table is full
		}
		current := &r.reports[u.source]
		if current.generation == s.generation {
			t.notes.add(Note{Kind: DuplicateID, Source: u.source, Endpoint: received.ID})
			continue
		}
		if current.present {
			pass.known++
			expected = current.position + 1
		} else if hadReports {
			pass.added = append(pass.added, r)
		}
		current.generation = s.generation
		current.position = len(pass.order)
		pass.order = append(pass.order, r)
		t.apply(u, r, received)
	}
	return pass
}

// lookUp finds a record; nil: there is none. Sources name their endpoints in much the same order each time, so that a
// look at the expected position in the last order spares most look-ups in the map.
func (t *Table) lookUp(s *sourceState, expected int, id string) *record {
	if expected < len(s.order) && s.order[expected].id == id {
		return s.order[expected]
	}
	return t.records[id]
}

// keepUnnamed puts the endpoints that the list did not name behind the rest.
func (p *listPass) keepUnnamed(s *sourceState, source int) {
	for _, r := range s.order {
		current := &r.reports[source]
		if current.present && current.generation != s.generation {
			current.position = len(p.order)
			p.order = append(p.order, r)
		}
	}
}

// noteLeftOut notes how many endpoints of the current call the full table has left out.
func (t *Table) noteLeftOut(source int) {
	if t.leftOut > 0 {
		t.notes.add(Note{Kind: ListFull, Source: source, Count: t.leftOut, Of: t.cfg.MaxEndpoints})
		t.leftOut = 0
	}
}
