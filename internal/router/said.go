package router

// said takes what a backend server says of itself in an answer. Its registration may say otherwise for long: it is written
// through the store, which may be away, and read later. So what was heard holds for that start of the server, whatever a
// registration of it says afterwards.
func (r *Router) said(e Said) {
	b, ok := r.backends[e.ID]
	if !ok || b.Start != e.Start {
		return
	}
	if e.Leaving {
		b.saidLeaving = true
		r.markLeaving(b, r.opt.Host)
	}
}

// markLeaving notes that a backend server leaves, by the word of a host that has heard it.
func (r *Router) markLeaving(b *backend, by string) {
	if b.leaving {
		return
	}
	b.leaving = true
	r.changed = true // others are told at once: it ends soon, with what they still send there
	r.emit(Note{What: "backend server says that it leaves", Subject: b.ID, Detail: by})
}

// ownLeaving are the backend servers that have told this host that they leave.
func (r *Router) ownLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.saidLeaving })
}

// zoneLeaving are those that this host knows of at all, for other zones.
func (r *Router) zoneLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.leaving })
}

func (r *Router) leavingOf(tell func(*backend) bool) []uint32 {
	var out []uint32
	for _, b := range r.allBackends() {
		if tell(b) && !b.removed && !b.replaced {
			out = append(out, b.hash)
		}
	}
	return out
}

// takeLeaving takes another host's word of backend servers that leave.
func (r *Router) takeLeaving(from string, hashes []uint32) {
	for _, hash := range hashes {
		if b, ok := r.byHash[hash]; ok {
			r.markLeaving(b, from)
		}
	}
}
