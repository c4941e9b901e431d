package admission

import (
	"cmp"
	"slices"
	"time"
)

// View returns the state for operators, workspaces in order of their names. Room and PerSlot are in milliseconds of engine time per
// second. Wait is that of a request behind all that wait at its priority.
func (q *Queue) View(now time.Duration) View {
	q.advance(now)
	v := View{Room: q.capacity.perSecond()}
	if q.capacity.slots > 0 {
		v.PerSlot = v.Room / float64(q.capacity.slots)
	}
	for p := range v.Wait {
		wait, ok := q.backlog(p)
		if !ok {
			wait = -1
		}
		v.Wait[p] = wait
	}
	v.Workspaces = q.workspaceViews()
	return v
}

func (q *Queue) workspaceViews() []WorkspaceView {
	var views []WorkspaceView
	total := 0.0
	for _, t := range q.ledger.workspaces {
		s := t.window.sum(q.now)
		w := WorkspaceView{Workspace: t.name, Weight: t.weight, Waiting: t.waiting,
			Offered: s.offered, Granted: s.granted, Refused: s.refused, Provisional: s.provisional, Work: s.work}
		if w.Waiting+w.Offered+w.Granted+w.Refused > 0 {
			views = append(views, w)
		}
	}
	slices.SortFunc(views, func(a, b WorkspaceView) int { return cmp.Compare(a.Workspace, b.Workspace) })
	for _, w := range views {
		total += w.Work
	}
	for i := range views {
		if total > 0 {
			views[i].Share = views[i].Work / total
		}
	}
	return views
}
