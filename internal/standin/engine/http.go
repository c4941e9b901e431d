package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	product "fireflyshift/internal/engine"
)

// kvState is the part of a suspended request's state that an export contains.
type kvState struct {
	Seed     uint64   `json:"seed"`
	Prompt   int      `json:"prompt"`
	Want     int      `json:"want"`
	Produced int      `json:"produced"`
	Hashes   []uint64 `json:"hashes"`
}

type exportBody struct {
	KV     kvState `json:"kv"`
	Offset int     `json:"offset"`
}

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

func (b chatBody) prompt() string {
	var out strings.Builder
	for _, m := range b.Messages {
		text := string(m.Content)
		_ = json.Unmarshal(m.Content, &text)
		out.WriteString(m.Role + "\n" + text + "\n")
	}
	return out.String()
}

// Handler serves the engine's protocol, and the commands of tests under /control.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveReattach)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/streams/{id}/suspend", e.serveSuspend)
	mux.HandleFunc("POST /v1/streams/{id}/import", e.serveImport)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveEvents)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /control/mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		if json.NewDecoder(r.Body).Decode(&m) == nil {
			e.SetMode(m)
		}
		writeJSON(w, m)
	})
	return mux
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var b chatBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if b.MaxTokens <= 0 {
		b.MaxTokens = 256
	}
	s, admitted := e.admit(r.Header.Get("X-Request-Id"), b.prompt(), b.MaxTokens)
	if !admitted {
		http.Error(w, "a request with this id is already running", http.StatusConflict)
		return
	}
	e.stream(w, r, s, 0)
}

func (e *Engine) serveReattach(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, ok := e.sequences[r.PathValue("id")]
	frozen := e.mode.Frozen
	e.mu.Unlock()
	if frozen {
		<-r.Context().Done()
		return
	}
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.stream(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sequences[r.PathValue("id")]; ok {
		e.discard(s)
		delete(e.sequences, s.id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveSuspend(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[r.PathValue("id")]
	if !ok || s.ended || s.suspended {
		http.Error(w, "not running", http.StatusConflict)
		return
	}
	s.suspended = true
	e.batch = remove(e.batch, s)
	e.waiting = remove(e.waiting, s)
	e.stats.Suspended++
	s.notify()
	writeJSON(w, exportBody{kvState{s.seed, s.prompt, s.wantTokens, s.produced, s.hashes}, s.produced})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var x exportBody
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	s := &sequence{id: id, seed: x.KV.Seed, prompt: x.KV.Prompt, cachedPrompt: x.KV.Prompt, wantTokens: x.KV.Want, produced: x.KV.Produced,
		hashes: x.KV.Hashes, imported: true, changed: make(chan struct{}), started: time.Now(), lastRead: time.Now()}
	e.sequences[id] = s
	e.waiting = append(e.waiting, s)
	e.stats.Imported++
	e.mu.Unlock()
	e.stream(w, r, s, x.Offset)
}

// stream writes tokens, starting at an offset, as they are produced.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	e.mu.Lock()
	s.readers++
	mode := e.mode
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		s.readers--
		s.lastRead = time.Now()
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	sent := 0
	for {
		e.mu.Lock()
		produced, ended, suspended, changed := s.produced, s.ended, s.suspended, s.changed
		registered := e.sequences[s.id] == s
		e.mu.Unlock()
		for ; offset < produced; offset++ {
			if mode.CutEvery > 0 && sent >= mode.CutEvery {
				flush(w) // deliver the tokens before the cut
				panic(http.ErrAbortHandler)
			}
			id, text := s.id, Token(s.seed, offset)
			if mode.WrongRequestID && sent == 2 {
				id, text = "another-request", "another workspace's text"
			}
			if !mode.SkipToken || sent != 2 {
				e.writeChunk(w, id, offset, text, "")
			}
			sent++
			if mode.EarlyDone && offset == 3 && !s.imported {
				s.imported = true // only once per request
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			if mode.Truncate && offset == 3 && !s.imported {
				s.imported = true // only once per request, so that the client can reattach to the stream
				return
			}
		}
		flush(w)
		if suspended {
			e.writeChunk(w, s.id, offset, "", "suspended")
			return
		}
		if ended {
			e.finish(w, s, offset, registered)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) finish(w http.ResponseWriter, s *sequence, offset int, registered bool) {
	if !registered || s.produced < s.wantTokens {
		panic(http.ErrAbortHandler) // canceled: abort, so that the client does not take the response for complete
	}
	e.writeChunk(w, s.id, offset, "", "stop")
	fmt.Fprint(w, "data: [DONE]\n\n")
	e.mu.Lock()
	s.delivered = s.wantTokens
	e.mu.Unlock()
}

func (e *Engine) writeChunk(w http.ResponseWriter, id string, offset int, text, finish string) {
	c := product.Chunk{ID: id, Offset: offset, Model: e.opt.Model, Choices: []product.Choice{{Delta: product.Delta{Content: text}}}}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
		c.Usage = &product.Usage{CompletionTokens: offset}
	}
	data, _ := json.Marshal(c)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var old loadReport
	if len(e.reports) > 0 {
		old = e.reports[0]
	}
	writeJSON(w, product.Load{Running: old.running, Waiting: old.waiting})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := product.Evictions{Next: after}
	for _, ev := range e.evicted {
		if ev.seq > after && time.Since(ev.at) >= e.opt.ReportLag {
			out.Evicted = append(out.Evicted, ev.hash)
			out.Next = ev.seq
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
