package ingress

import (
	"context"
	"net/http"
	"time"
)

// AbortReads ends the reading of a request's body when ctx is done. After stop it sets no deadline any more; one that it has set
// is the caller's to clear.
func AbortReads(ctx context.Context, rc *http.ResponseController) (stop func()) {
	cut := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(cut)
		_ = rc.SetReadDeadline(time.Now())
	})
	return func() {
		if !release() {
			<-cut // or its deadline would outlast the body
		}
	}
}
