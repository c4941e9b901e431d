package edge

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
	"fireflyshift/internal/ticket"
)

// Headers that callers send and read; see docs/CALLERS.md.
const (
	headerTier       = "Fireflyshift-Tier"
	headerCallerID   = "Fireflyshift-Caller-Id"
	headerDeadline   = "Fireflyshift-Deadline-Ms"
	headerIdempotent = "Fireflyshift-Idempotent"
	headerTicket     = "Fireflyshift-Ticket"
	headerRequest    = "Fireflyshift-Request-Id"
	headerBackend    = "Fireflyshift-Backend"
	headerWork       = "Fireflyshift-Work"
	headerBackendID  = "X-Request-Id"
)

var callerIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// headers are a caller's parsed headers.
type headers struct {
	key           string
	workspace     *record.Workspace
	tier          string
	callerID      string
	deadline      time.Duration
	nonIdempotent bool
	ticket        *ticket.Ticket
}

func parseHeaders(r *http.Request) (headers, *fault.Error) {
	h := headers{tier: r.Header.Get(headerTier), callerID: r.Header.Get(headerCallerID)}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return h, fault.New(fault.UnknownKey, "the request has no key")
	}
	h.key = key
	if h.callerID != "" && !callerIDPattern.MatchString(h.callerID) {
		return h, fault.New(fault.BadHeader, "%s may have 1 to 128 letters, digits and . _ : -", headerCallerID)
	}
	var f *fault.Error
	if h.deadline, f = parseDeadline(r.Header.Get(headerDeadline)); f != nil {
		return h, f
	}
	switch r.Header.Get(headerIdempotent) {
	case "", "yes":
	case "no":
		h.nonIdempotent = true
	default:
		return h, fault.New(fault.BadHeader, "%s is yes or no", headerIdempotent)
	}
	if v := r.Header.Get(headerTicket); v != "" {
		t, err := ticket.Parse(v)
		if err != nil {
			return h, fault.New(fault.BadTicket, "%v", err)
		}
		h.ticket = &t
	}
	return h, nil
}

func parseDeadline(v string) (time.Duration, *fault.Error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	d := time.Duration(n) * time.Millisecond
	if err != nil || n > record.MaxDeadline.Milliseconds() || d < record.MinDeadline {
		return 0, fault.New(fault.BadHeader, "%s is a number of milliseconds from %d to %d", headerDeadline,
			record.MinDeadline.Milliseconds(), record.MaxDeadline.Milliseconds())
	}
	return d, nil
}

// hashKey returns the SHA-256 of a key in hex, as stored in workspace records.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func carrier(h http.Header) propagation.HeaderCarrier { return propagation.HeaderCarrier(h) }

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
