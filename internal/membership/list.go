package membership

// listPass is the result of applying the endpoints of one list.
type listPass struct {
	order []*endpointRecord // the records of the listed endpoints, in the order of the list
	added []*endpointRecord // the listed endpoints new to this source; none if the source had no reports before
	known int               // number of listed endpoints on which the source had a report before
}

// applyList applies the reports of a list. Missing endpoints are not handled here.
func (t *Table) applyList(update sourceUpdate, endpoints []Endpoint) listPass {
	state := &t.sources[update.source]
	state.generation++
	pass := listPass{order: state.spareOrder[:0]}
	hadReports := state.confirmed() > 0
	expected := 0
	for i := range endpoints {
		received := &endpoints[i]
		record := t.lookUp(state, expected, received.ID)
		if record == nil {
			record = t.add(update, received.ID)
		}
		if record == nil {
			continue // the table is full
		}
		current := &record.reports[update.source]
		if current.generation == state.generation {
			t.notes.add(Note{Kind: DuplicateID, Source: update.source, Endpoint: received.ID})
			continue
		}
		if current.present && !current.unconfirmed {
			pass.known++
			expected = current.position + 1
		} else if hadReports {
			pass.added = append(pass.added, record)
		}
		current.generation = state.generation
		current.position = len(pass.order)
		pass.order = append(pass.order, record)
		t.applyReport(update, record, received)
	}
	return pass
}

// lookUp returns the record with an ID, or nil. Sources list their endpoints in much the same order each time, so
// checking the expected position in the previous order first avoids most map look-ups.
func (t *Table) lookUp(state *sourceState, expected int, id string) *endpointRecord {
	if expected < len(state.order) && state.order[expected].id == id {
		return state.order[expected]
	}
	return t.records[id]
}

// appendMissing appends the endpoints that the source has reported but the list lacks.
func (p *listPass) appendMissing(state *sourceState, source int) {
	for _, record := range state.order {
		current := &record.reports[source]
		if current.present && current.generation != state.generation {
			current.position = len(p.order)
			p.order = append(p.order, record)
		}
	}
}

// noteOverLimit adds a note with the number of endpoints that the current call dropped because the table was full.
func (t *Table) noteOverLimit(source int) {
	if t.overLimit > 0 {
		t.notes.add(Note{Kind: TableFull, Source: source, Count: t.overLimit, Total: t.cfg.MaxEndpoints})
		t.overLimit = 0
	}
}
