package memory

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAccountMatchesModel checks over random owners that the account is the sum of its charges, that new work is
// admitted only up to the part of the limit that its owner may use, and that a charge
// grows only if that fits.
func TestAccountMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := NewAccount(rapid.IntRange(1<<20, 192<<20).Draw(t, "process"))
		limit := account.Limit()
		charges := make([]Charge, 8)
		for i := range charges {
			charges[i] = account.NewCharge(Kinds()[i%len(Kinds())], 0)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			charge := &charges[rapid.IntRange(0, len(charges)-1).Draw(t, "owner")]
			more := rapid.IntRange(0, limit/2).Draw(t, "more")
			before := account.Total()
			switch rapid.SampledFrom([]string{"admit", "continue", "grow", "force", "release"}).Draw(t, "step") {
			case "admit":
				isAdmitted := account.Admits(charge.Bytes(), more)
				want := before+more <= admissible(limit, charge.Bytes()+more)
				if isAdmitted != want {
					t.Fatalf("%d more bytes at %d of %d: admitted %v", more, before, limit, isAdmitted)
				}
				if isAdmitted {
					charge.Set(charge.Bytes() + more)
				}
			case "continue":
				if account.Fits(charge.Bytes(), more) {
					if before+more > limit {
						t.Fatalf("%d more bytes fit at %d of %d", more, before, limit)
					}
					charge.Set(charge.Bytes() + more)
				}
			case "grow":
				had := charge.Bytes()
				fits := more <= had || account.Fits(0, more-had)
				if got := charge.TryGrow(more); got != fits || got && charge.Bytes() != max(had, more) {
					t.Fatalf("growing from %d to %d: got %v and %d bytes", had, more, got, charge.Bytes())
				}
			case "force":
				charge.Set(more)
			case "release":
				charge.Release()
			}
			checkSums(t, account, charges)
		}
		for i := range charges {
			charges[i].Release()
			charges[i].Release()
		}
		if account.Total() != 0 || account.IsExceeded() {
			t.Fatalf("got %d bytes held after all were released, want 0", account.Total())
		}
	})
}

// admissible returns the total up to which an owner that then has the given bytes may begin new work.
func admissible(limit, ownerBytes int) int {
	switch {
	case ownerBytes <= smallOwnerBytes:
		return limit / 4 * 3
	case ownerBytes <= limit/8:
		return limit / 8 * 5
	}
	return limit / 2
}

// checkSums checks that the account's sums are those of its charges.
func checkSums(t *rapid.T, account *Account, charges []Charge) {
	total := 0
	byKind := map[Kind]int{}
	for i := range charges {
		total += charges[i].Bytes()
		byKind[charges[i].kind] += charges[i].Bytes()
	}
	if account.Total() != total || account.IsExceeded() != (total > account.Limit()) {
		t.Fatalf("got total %d, exceeded %v, want total %d of %d",
			account.Total(), account.IsExceeded(), total, account.Limit())
	}
	for _, kind := range Kinds() {
		if account.Reserved(kind) != byKind[kind] {
			t.Fatalf("%s: got %d bytes, want %d", kind, account.Reserved(kind), byKind[kind])
		}
	}
}

// TestSmallOwnersAreAdmitted guards against owners with much that have the work of those with less rejected.
func TestSmallOwnersAreAdmitted(t *testing.T) {
	account := NewAccount(32 << 20)
	large := account.NewCharge(Output, 0)
	for account.Admits(large.Bytes(), 1<<10) {
		large.Set(large.Bytes() + 1<<10)
	}
	fair := account.NewCharge(Answers, 0)
	for account.Admits(fair.Bytes(), 1<<10) {
		fair.Set(fair.Bytes() + 1<<10)
	}
	if want := account.Limit()/progressDivisor - 1<<10; fair.Bytes() < want {
		t.Errorf("got %d bytes admitted for an owner beside one with much, want %d", fair.Bytes(), want)
	}
	if !account.Admits(0, 1<<10) || account.Admits(0, 2*smallOwnerBytes) {
		t.Errorf("at %d of %d bytes: got small work admitted %v, large %v, want true and false", account.Total(),
			account.Limit(), account.Admits(0, 1<<10), account.Admits(0, 2*smallOwnerBytes))
	}
	if !account.Fits(0, account.Limit()/progressDivisor) || account.Fits(large.Bytes(), 1<<10) {
		t.Error("work that goes on: want that of another owner to fit, and not that of the large one")
	}
}
