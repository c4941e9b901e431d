package edge

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"fireflyshift/internal/fault"
)

// FaultBody is the JSON body of an error.
type FaultBody struct {
	Error FaultDetail `json:"error"`
}

// FaultDetail is the part of an error body that a caller's program reads.
type FaultDetail struct {
	Kind         fault.Kind `json:"kind"`
	Message      string     `json:"message"`
	Work         fault.Ran  `json:"work"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	Ticket       string     `json:"ticket,omitempty"`
}

func faultBody(f *fault.Error) FaultBody {
	return FaultBody{FaultDetail{f.Kind, f.Error(), f.Ran, f.RetryAfter.Milliseconds(), f.Ticket}}
}

// writeFault writes an error as the answer. Retry-After is in whole seconds and rounded up.
func writeFault(w http.ResponseWriter, f *fault.Error) {
	h := w.Header()
	h.Set(headerWork, string(f.Ran))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Ticket != "" {
		h.Set(headerTicket, f.Ticket)
	}
	writeJSON(w, f.Status, faultBody(f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeStreamFault ends a stream that has begun with an error event, and never with [DONE].
func writeStreamFault(w http.ResponseWriter, f *fault.Error) {
	data, err := json.Marshal(faultBody(f))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
}
