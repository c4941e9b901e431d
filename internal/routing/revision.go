package routing

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Revision orders the writes to the platform's store. The store may be restored from an older copy of itself; it then
// assigns the same numbers again, in a later era. So numbers compare within one era, and any revision of a later era
// follows all of an earlier one. The zero revision precedes all others.
type Revision struct{ Era, Number uint64 }

// Compare returns a negative number if r precedes o, zero if they are equal, and a positive number if r follows o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// After reports whether r follows o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// MarshalJSON writes a plain number in the first era, as hosts without support for eras do, and otherwise [era,
// number].
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

// String returns the revision as era/number, for logs.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
