package membership

import (
	"cmp"
	"slices"
)

// addressIndex has the records at each address, in the order in which they came there (record.arrival).
type addressIndex struct {
	records  map[string][]*endpointRecord
	arrivals uint64
}

// at gives the records at an address; the one that came there last stands last.
func (x *addressIndex) at(address string) []*endpointRecord { return x.records[address] }

// latest gives the record that came to an address last; nil: there is none.
func (x *addressIndex) latest(address string) *endpointRecord {
	records := x.records[address]
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}

// append makes a record the latest at its address.
func (x *addressIndex) append(r *endpointRecord) {
	x.arrivals++
	r.arrival = x.arrivals
	x.records[r.address] = append(x.records[r.address], r)
}

// remove takes a record away from its address, where it is there.
func (x *addressIndex) remove(r *endpointRecord) {
	records := x.records[r.address]
	i, found := slices.BinarySearchFunc(records, r.arrival, func(other *endpointRecord, arrival uint64) int {
		return cmp.Compare(other.arrival, arrival)
	})
	if found && records[i] == r {
		x.records[r.address] = slices.Delete(records, i, i+1)
	}
}

// moveTo has an endpoint come to another address.
func (t *Table) moveTo(r *endpointRecord, address string) {
	t.vacate(r)
	r.address = address
	t.arrive(r)
}

// arrive makes an endpoint the last that came to its address. Only the decision on the one that was the last until now
// may change by it: those before that were replaced already. By mistake a list may name thousands of endpoints at one
// address, and a look at all of them for each would hold the event loop for seconds.
func (t *Table) arrive(r *endpointRecord) {
	t.addresses.remove(r)
	if replaced := t.addresses.latest(r.address); replaced != nil && !replaced.queued {
		t.pending.pushRestricting(replaced)
	}
	t.addresses.append(r)
}

// vacate takes an endpoint away from its address. Only the decision on the last one that is left there may change by
// it; if that turns out to be gone it vacates the address in its turn.
func (t *Table) vacate(r *endpointRecord) {
	if r.address == "" {
		return
	}
	t.addresses.remove(r)
	if latest := t.addresses.latest(r.address); latest != nil {
		t.pending.push(latest)
	} else {
		delete(t.addresses.records, r.address)
	}
	r.address = ""
}
