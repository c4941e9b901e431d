// Package ticket makes at-most-once hold over a caller's second try at another host, with no
// shared store. A ticket names the host that issued it, its home; a host may dispatch a ticketed
// request only after the home has given it the claim. The home keeps claims in memory: when it is
// lost, the answer is "may have run", never a second run.
package ticket

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TTL is how long a ticket can be claimed, on its home's clock.
const TTL = 10 * time.Minute

// maxClaims bounds a home's memory: at 33 requests a second for TTL there are 20,000.
const maxClaims = 200_000

const prefix = "fs1"

// Ticket is an issued permission to run once. Age is read on the clock that issued it, so clock
// skew between hosts has no part in it.
type Ticket struct {
	Home        string
	Incarnation uint64
	Issued      time.Duration
	Nonce       string
}

// String is the form that callers carry.
func (t Ticket) String() string {
	return strings.Join([]string{prefix, hex.EncodeToString([]byte(t.Home)), strconv.FormatUint(t.Incarnation, 36),
		strconv.FormatInt(t.Issued.Milliseconds(), 36), t.Nonce}, "_")
}

// Parse reads the form that callers carry.
func Parse(s string) (Ticket, error) {
	parts := strings.Split(s, "_")
	if len(s) > 256 || len(parts) != 5 || parts[0] != prefix || parts[4] == "" {
		return Ticket{}, fmt.Errorf("not a ticket of this system")
	}
	home, err := hex.DecodeString(parts[1])
	if err != nil {
		return Ticket{}, fmt.Errorf("the ticket's host is malformed")
	}
	incarnation, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("the ticket's incarnation is malformed")
	}
	issued, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil || issued < 0 || issued > int64(100*365*24*time.Hour/time.Millisecond) {
		return Ticket{}, fmt.Errorf("the ticket's time is malformed")
	}
	return Ticket{string(home), incarnation, time.Duration(issued) * time.Millisecond, parts[4]}, nil
}

// Verdict is the home's answer to a claim.
type Verdict int

// The verdicts.
const (
	Yours Verdict = iota + 1
	InProgress
	Done
	Expired
	OtherIncarnation
)

// claim is who holds a ticket and how it ended.
type claim struct {
	holder  string
	done    bool
	expires time.Duration
}

// Home keeps the claims on the tickets of one host incarnation. Not safe for concurrent use.
type Home struct {
	host        string
	incarnation uint64
	claims      map[string]claim
	order       []string
}

// NewHome returns a home with no claims. The incarnation must differ at each start of a host.
func NewHome(host string, incarnation uint64) *Home {
	return &Home{host: host, incarnation: incarnation, claims: map[string]claim{}}
}

// Issue makes a ticket.
func (h *Home) Issue(now time.Duration, nonce string) Ticket {
	return Ticket{h.host, h.incarnation, now, nonce}
}

// Claim gives a ticket to holder unless another has or had it. Repeating a claim is harmless: the
// same holder is told Yours again until it has settled.
//
// It guards against a doubled run when the balancer sends a second try elsewhere. It holds since
// only the home answers, a lost home has a new incarnation and answers OtherIncarnation, and a
// forgotten claim is past the TTL on the same clock and answers Expired.
func (h *Home) Claim(now time.Duration, t Ticket, workspace, holder string) Verdict {
	if t.Home != h.host || t.Incarnation != h.incarnation {
		return OtherIncarnation
	}
	h.forget(now)
	if now > t.Issued+TTL || t.Issued > now {
		return Expired
	}
	id := key(t, workspace)
	c, known := h.claims[id]
	switch {
	case !known && len(h.claims) >= maxClaims:
		return Expired
	case !known:
		h.claims[id] = claim{holder: holder, expires: t.Issued + TTL}
		h.order = append(h.order, id)
		return Yours
	case c.done:
		return Done
	case c.holder == "":
		c.holder = holder
		h.claims[id] = c
		return Yours
	case c.holder == holder:
		return Yours
	default:
		return InProgress
	}
}

// Settle ends a claim. A claim that is proved not to have run can be taken again.
func (h *Home) Settle(t Ticket, workspace, holder string, notRun bool) {
	id := key(t, workspace)
	c, known := h.claims[id]
	if !known || c.holder != holder || c.done {
		return
	}
	if notRun {
		c.holder = ""
	} else {
		c.done = true
	}
	h.claims[id] = c
}

// Len is how many claims are kept.
func (h *Home) Len() int { return len(h.claims) }

// forget drops claims whose ticket has expired. Claims are in the order of their arrival, which is
// not quite that of expiry; one that stays a little longer costs only memory.
func (h *Home) forget(now time.Duration) {
	n := 0
	for n < len(h.order) && h.claims[h.order[n]].expires < now {
		delete(h.claims, h.order[n])
		n++
	}
	h.order = h.order[n:]
}

// key keeps workspaces apart, so that one cannot spend another's ticket.
func key(t Ticket, workspace string) string { return workspace + "\x00" + t.String() }
