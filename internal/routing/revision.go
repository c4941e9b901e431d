package routing

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Revision orders what the platform's store says. The store may come back from an older copy of itself; then it gives numbers
// out again, and its era is a later one. So numbers compare within one era, and any revision of a later era comes after
// all of an earlier one. The zero revision comes before all others.
type Revision struct{ Era, Number uint64 }

// Compare is negative where r comes before o, zero where they are the same, and positive where r comes after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// After tells whether r comes after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// MarshalJSON writes a plain number in the first era, as hosts that know no eras do, and else era and number.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Era == 0 {
		return json.Marshal(r.Number)
	}
	return json.Marshal([2]uint64{r.Era, r.Number})
}

// UnmarshalJSON reads both forms.
func (r *Revision) UnmarshalJSON(data []byte) error {
	if json.Unmarshal(data, &r.Number) == nil {
		r.Era = 0
		return nil
	}
	var both [2]uint64
	if err := json.Unmarshal(data, &both); err != nil {
		return err
	}
	r.Era, r.Number = both[0], both[1]
	return nil
}

// String is the revision as logs tell it.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// Latest is the one of two revisions that comes after the other.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
