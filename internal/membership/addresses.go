package membership

import (
	"cmp"
	"slices"
)

// confirmedClaim is set in the claim sequence of a record with a confirmed report.
const confirmedClaim = 1 << 63

// addressIndex holds the records at each address: first those without a confirmed report, then the others, each in the
// order in which they claimed the address. So a record without a confirmed report never replaces one that has one.
type addressIndex struct {
	records   map[string][]*endpointRecord
	lastClaim uint64
}

// at returns the records at an address, ending with the latest to claim it.
func (x *addressIndex) at(address string) []*endpointRecord { return x.records[address] }

// latest returns the record that claimed an address last, or nil.
func (x *addressIndex) latest(address string) *endpointRecord {
	records := x.records[address]
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}

// add adds a record as the latest of its sort at its address.
func (x *addressIndex) add(r *endpointRecord) {
	x.lastClaim++
	r.claimSequence = x.lastClaim
	if r.isConfirmed() {
		r.claimSequence |= confirmedClaim
	}
	records := x.records[r.address]
	i, _ := slices.BinarySearchFunc(records, r.claimSequence, compareClaim)
	x.records[r.address] = slices.Insert(records, i, r)
}

func compareClaim(r *endpointRecord, sequence uint64) int {
	return cmp.Compare(r.claimSequence, sequence)
}

// remove removes a record from its address, if it is there.
func (x *addressIndex) remove(r *endpointRecord) {
	records := x.records[r.address]
	i, found := slices.BinarySearchFunc(records, r.claimSequence, compareClaim)
	if found && records[i] == r {
		x.records[r.address] = slices.Delete(records, i, i+1)
	}
}

// moveToAddress moves an endpoint to another address.
func (t *Table) moveToAddress(r *endpointRecord, address string) {
	t.releaseAddress(r)
	r.address = address
	t.claimAddress(r)
}

// claimAddress makes an endpoint the latest of its sort to claim its address. Only the previous latest is re-evaluated:
// those before it are replaced already. A faulty list may contain thousands of endpoints at one address, and
// re-evaluating all of them for each claim would block the event loop for seconds.
func (t *Table) claimAddress(r *endpointRecord) {
	t.addresses.remove(r)
	if replaced := t.addresses.latest(r.address); replaced != nil && !replaced.queued {
		t.pending.pushRestricting(replaced)
	}
	t.addresses.add(r)
}

// releaseAddress removes an endpoint from its address. Only the latest of the remaining endpoints is re-evaluated; if
// that one is found to be gone, it releases the address in turn.
func (t *Table) releaseAddress(r *endpointRecord) {
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
