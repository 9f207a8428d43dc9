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
			more := Need{Bytes: rapid.IntRange(0, limit/2).Draw(t, "more")}
			if rapid.Bool().Draw(t, "reserves") {
				more.Reserve = rapid.IntRange(0, limit/2).Draw(t, "reserve")
			}
			before := account.Total()
			committed := before + reservesOf(charges)
			had := charge.Need()
			switch rapid.SampledFrom([]string{"admit", "continue", "grow", "force", "release"}).Draw(t, "step") {
			case "admit":
				after := had.Plus(more)
				isSmall := after.Bytes <= smallOwnerBytes && more.Reserve == 0
				want := before+more.Bytes <= admissible(limit, after.Bytes) &&
					(isSmall || committed+more.sum() <= committable(account.Process(), more.Reserve > 0, after.sum()))
				if got := account.Admits(had, more); got != want {
					t.Fatalf("%+v more for %+v at %d of %d: got admitted %v", more, had, before, limit, got)
				}
				if want {
					charge.Set(after.Bytes)
					charge.SetReserve(after.Reserve)
				}
			case "continue":
				if account.Fits(had.Bytes, more.Bytes) {
					if before+more.Bytes > limit {
						t.Fatalf("%d more bytes fit at %d of %d", more.Bytes, before, limit)
					}
					charge.Set(had.Bytes + more.Bytes)
				}
			case "grow":
				beyond := more.Bytes - had.sum()
				want := beyond <= 0 || account.Fits(0, beyond) &&
					committed+beyond <= committable(account.Process(), false, 0)
				if got := charge.TryGrow(more.Bytes); got != want {
					t.Fatalf("growing from %+v to %d: got %v", had, more.Bytes, got)
				}
				if left := max(0, had.Reserve-max(0, more.Bytes-had.Bytes)); want && (charge.Need() != Need{
					max(had.Bytes, more.Bytes), left}) {
					t.Fatalf("growing from %+v to %d: got %+v", had, more.Bytes, charge.Need())
				}
			case "force":
				charge.Set(more.Bytes)
			case "release":
				charge.Release()
			}
			checkSums(t, account, charges)
		}
		for i := range charges {
			charges[i].Release()
			charges[i].Release()
		}
		if account.Total() != 0 || account.reserves != 0 || account.IsExceeded() {
			t.Fatalf("got %d bytes held and %d reserved after all were released, want 0", account.Total(),
				account.reserves)
		}
	})
}

// reservesOf returns the sum of the reserves of some charges.
func reservesOf(charges []Charge) (sum int) {
	for i := range charges {
		sum += charges[i].Need().Reserve
	}
	return sum
}

// committable returns the sum of charges and reserves up to which new work is admitted for an owner that then has the
// given bytes.
func committable(process int, reserves bool, ownerBytes int) int {
	usable := max(process-16<<20, process/4)
	reserving := usable / 16 * 11
	switch {
	case !reserves:
		return usable / 4 * 3
	case ownerBytes > reserving/8:
		return reserving / 4 * 3
	}
	return reserving
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
	if account.reserves != reservesOf(charges) {
		t.Fatalf("got %d bytes reserved, want %d", account.reserves, reservesOf(charges))
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
	kilobyte := Need{Bytes: 1 << 10}
	for account.Admits(large.Need(), kilobyte) {
		large.Set(large.Bytes() + 1<<10)
	}
	fair := account.NewCharge(Answers, 0)
	for account.Admits(fair.Need(), kilobyte) {
		fair.Set(fair.Bytes() + 1<<10)
	}
	if want := account.Limit()/progressDivisor - 1<<10; fair.Bytes() < want {
		t.Errorf("got %d bytes admitted for an owner beside one with much, want %d", fair.Bytes(), want)
	}
	isSmallAdmitted := account.Admits(Need{}, kilobyte)
	isLargeAdmitted := account.Admits(Need{}, Need{Bytes: 2 * smallOwnerBytes})
	if !isSmallAdmitted || isLargeAdmitted {
		t.Errorf("at %d of %d bytes: got small work admitted %v, large %v, want true and false", account.Total(),
			account.Limit(), isSmallAdmitted, isLargeAdmitted)
	}
	if !account.Fits(0, account.Limit()/progressDivisor) || account.Fits(large.Bytes(), 1<<10) {
		t.Error("work that goes on: want that of another owner to fit, and not that of the large one")
	}
}
