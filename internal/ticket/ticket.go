// Package ticket provides at-most-once execution when a caller retries at another host, without a
// shared store. A ticket names the host that issued it, its home. A host may dispatch a request with
// a ticket only after the home has granted it the claim. The home keeps claims in memory: if it is
// lost, callers get "may have run", never a second run.
package ticket

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TTL is how long a ticket can be claimed, measured on its home's clock.
const TTL = 10 * time.Minute

// maxClaims bounds the memory of a home. 33 requests per second over TTL make about 20,000 claims.
const maxClaims = 200_000

const prefix = "fs1"

// Ticket is a permission to run a request once. Its age is measured on the clock of the host that
// issued it, so clock skew between hosts does not matter.
type Ticket struct {
	Home        string
	Incarnation uint64
	Issued      time.Duration
	Nonce       string
}

// String encodes the ticket for the ticket header.
func (t Ticket) String() string {
	return strings.Join([]string{prefix, hex.EncodeToString([]byte(t.Home)), strconv.FormatUint(t.Incarnation, 36),
		strconv.FormatInt(t.Issued.Milliseconds(), 36), t.Nonce}, "_")
}

// Parse decodes a ticket that String encoded.
func Parse(s string) (Ticket, error) {
	parts := strings.Split(s, "_")
	if len(s) > 256 || len(parts) != 5 || parts[0] != prefix || parts[4] == "" {
		return Ticket{}, fmt.Errorf("malformed ticket")
	}
	home, err := hex.DecodeString(parts[1])
	if err != nil {
		return Ticket{}, fmt.Errorf("malformed host in ticket")
	}
	incarnation, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("malformed incarnation in ticket")
	}
	issued, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil || issued < 0 || issued > int64(100*365*24*time.Hour/time.Millisecond) {
		return Ticket{}, fmt.Errorf("malformed issue time in ticket")
	}
	return Ticket{string(home), incarnation, time.Duration(issued) * time.Millisecond, parts[4]}, nil
}

// Verdict is the home's answer to a claim.
type Verdict int

// The values match peerpb.Claim.
const (
	Granted Verdict = iota + 1
	InProgress
	Done
	Expired
	OtherIncarnation
)

// claim is the state of one claimed ticket. holder is empty if the last holder proved that the
// request did not run.
type claim struct {
	holder  string
	done    bool
	expires time.Duration
}

// Home keeps the claims on tickets issued by one incarnation of a host. It is not safe for
// concurrent use.
type Home struct {
	host        string
	incarnation uint64
	claims      map[string]claim
	order       []string
}

// NewHome returns a Home without claims. The incarnation must differ at each start of the host.
func NewHome(host string, incarnation uint64) *Home {
	return &Home{host: host, incarnation: incarnation, claims: map[string]claim{}}
}

// Issue returns a new ticket. The nonce must be unique among tickets issued in the same millisecond.
func (h *Home) Issue(now time.Duration, nonce string) Ticket {
	return Ticket{h.host, h.incarnation, now, nonce}
}

// Claim grants a ticket to holder unless another holder has or had it. Claiming is idempotent: the
// same holder gets Granted again until it settles.
//
// This prevents a second run when the load balancer sends a retry to another host. Only the home
// answers claims; a restarted home has a new incarnation and answers OtherIncarnation; and a claim
// is dropped only after its TTL on the same clock, so a later claim is answered Expired.
func (h *Home) Claim(now time.Duration, t Ticket, workspace, holder string) Verdict {
	if t.Home != h.host || t.Incarnation != h.incarnation {
		return OtherIncarnation
	}
	h.dropExpired(now)
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
		return Granted
	case c.done:
		return Done
	case c.holder == "":
		c.holder = holder
		h.claims[id] = c
		return Granted
	case c.holder == holder:
		return Granted
	default:
		return InProgress
	}
}

// Settle ends a claim. With notRun, the request is proved not to have run and the ticket can be
// claimed again.
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

// Len returns the number of claims in memory.
func (h *Home) Len() int { return len(h.claims) }

// dropExpired drops claims whose ticket has expired. Claims are kept in order of arrival, which is
// only roughly the order of expiry; a claim that stays a little longer costs only memory.
func (h *Home) dropExpired(now time.Duration) {
	n := 0
	for n < len(h.order) && h.claims[h.order[n]].expires < now {
		delete(h.claims, h.order[n])
		n++
	}
	h.order = h.order[n:]
}

// key includes the workspace, so that one workspace cannot use the ticket of another.
func key(t Ticket, workspace string) string { return workspace + "\x00" + t.String() }
