package admission

import (
	"container/list"
	"time"
)

// maxWorkspaces limits the workspaces of which a queue keeps counts, about 1 KB each with requests at a few levels. Beyond it, the one
// without waiting requests that was used least recently is forgotten.
const maxWorkspaces = 4096

// tally is what a queue knows about one workspace.
type tally struct {
	name    string
	weight  float64 // the last that was stated
	waiting int
	lanes   [levelCount]*lane // nil where the workspace has had no request
	window  window
	idle    *list.Element // position among the idle workspaces; nil while requests wait
}

// ledger holds the workspaces, those without waiting requests in order of their last use.
type ledger struct {
	workspaces map[string]*tally
	idle       *list.List
}

func newLedger() ledger { return ledger{workspaces: map[string]*tally{}, idle: list.New()} }

// of returns the tally of a workspace, and one that had to be forgotten for it.
func (g *ledger) of(workspace string, weight float64) (t, forgotten *tally) {
	t, ok := g.workspaces[workspace]
	if !ok {
		forgotten = g.evict()
		t = &tally{name: workspace}
		t.idle = g.idle.PushBack(t)
		g.workspaces[workspace] = t
	} else if t.idle != nil {
		g.idle.MoveToBack(t.idle)
	}
	t.weight = weight
	return t, forgotten
}

// lane returns the lane of a level and creates it if necessary: most workspaces use a few levels only.
func (t *tally) lane(level int) *lane {
	if t.lanes[level] == nil {
		t.lanes[level] = &lane{tally: t, level: level, recent: -1}
	}
	return t.lanes[level]
}

func (g *ledger) evict() *tally {
	if len(g.workspaces) < maxWorkspaces || g.idle.Len() == 0 {
		return nil
	}
	t := g.idle.Remove(g.idle.Front()).(*tally)
	delete(g.workspaces, t.name)
	return t
}

// wait changes the number of waiting requests of a workspace.
func (g *ledger) wait(t *tally, change int) {
	t.waiting += change
	switch {
	case t.waiting > 0 && t.idle != nil:
		g.idle.Remove(t.idle)
		t.idle = nil
	case t.waiting == 0 && t.idle == nil:
		t.idle = g.idle.PushBack(t)
	}
}

func (g *ledger) granted(now time.Duration, t *tally, r *Request) {
	b := t.window.at(now)
	b.granted++
	b.work += r.Cost
}
