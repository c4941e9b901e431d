// Package admin serves operators over HTTP: health, readiness, status, the way of a request, and
// metrics. It only reads.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"fireflyshift/internal/core"
)

// Source is the host that is shown.
type Source interface {
	Healthy() bool
	Ready() bool
	Status() (core.Status, bool)
	Explain(id string) ([]core.TraceEvent, bool)
}

// Handler serves
//   - /healthz: 200 while the control thread answers; otherwise restart the process,
//   - /readyz: 200 while the balancer should send callers here,
//   - /status, /explain/ID and /metrics as JSON,
//   - /debug/pprof/profile, heap and goroutine for 'go tool pprof'.
func Handler(s Source, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { yesNo(w, s.Healthy()) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { yesNo(w, s.Ready()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		v, ok := s.Status()
		reply(w, ok, v)
	})
	mux.HandleFunc("GET /explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		v, ok := s.Explain(r.PathValue("id"))
		if ok && len(v) == 0 {
			http.Error(w, "this host knows no such request; ask the host that answered it", http.StatusNotFound)
			return
		}
		reply(w, ok, v)
	})
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	return mux
}

func yesNo(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("yes\n"))
}

func reply(w http.ResponseWriter, ok bool, v any) {
	if !ok {
		http.Error(w, "the control thread does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
