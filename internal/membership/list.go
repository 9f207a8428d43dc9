package membership

// listPass is one walk over a list.
type listPass struct {
	order []*endpointRecord // the records of the list, in its order
	added []*endpointRecord // those on which the source had no report, if it had any reports before
	known int               // the number of the others
}

// applyList takes the endpoints of a list.
func (t *Table) applyList(update sourceUpdate, endpoints []Endpoint) listPass {
	state := &t.sources[update.source]
	state.generation++
	pass := listPass{order: state.spare[:0]}
	hadReports := state.endpoints > 0
	expected := 0
	for i := range endpoints {
		received := &endpoints[i]
		record := t.lookUp(state, expected, received.ID)
		if record == nil {
			record = t.add(received.ID)
		}
		if record == nil {
			continue // the table is full
		}
		current := &record.reports[update.source]
		if current.generation == state.generation {
			t.notes.add(Note{Kind: DuplicateID, Source: update.source, Endpoint: received.ID})
			continue
		}
		if current.present {
			pass.known++
			expected = current.position + 1
		} else if hadReports {
			pass.added = append(pass.added, record)
		}
		current.generation = state.generation
		current.position = len(pass.order)
		pass.order = append(pass.order, record)
		t.apply(update, record, received)
	}
	return pass
}

// lookUp finds a record; nil: there is none. Sources name their endpoints in much the same order each time, so that a
// look at the expected position in the last order spares most look-ups in the map.
func (t *Table) lookUp(state *sourceState, expected int, id string) *endpointRecord {
	if expected < len(state.order) && state.order[expected].id == id {
		return state.order[expected]
	}
	return t.records[id]
}

// keepUnnamed puts the endpoints that the list did not name behind the rest.
func (p *listPass) keepUnnamed(state *sourceState, source int) {
	for _, record := range state.order {
		current := &record.reports[source]
		if current.present && current.generation != state.generation {
			current.position = len(p.order)
			p.order = append(p.order, record)
		}
	}
}

// noteLeftOut notes how many endpoints of the current call the full table has left out.
func (t *Table) noteLeftOut(source int) {
	if t.leftOut > 0 {
		t.notes.add(Note{Kind: TableFull, Source: source, Count: t.leftOut, Total: t.cfg.MaxEndpoints})
		t.leftOut = 0
	}
}
