package ingress

import (
	"context"
	"net/http"
	"time"
)

// AbortReads makes reads of a request's body fail when ctx is done. After stop it sets no deadline any more; a deadline
// that it has already set is left for the caller to clear.
func AbortReads(ctx context.Context, rc *http.ResponseController) (stop func()) {
	aborted := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(aborted)
		_ = rc.SetReadDeadline(time.Now())
	})
	return func() {
		if !stopWatch() {
			<-aborted // otherwise the deadline could be set after stop has returned
		}
	}
}
