package main

// mutant is one guard taken away.
type mutant struct {
	name    string
	promise string
	file    string
	old     string
	new     string
	tests   []string // arguments of go test
}

var (
	coreTests   = []string{"./internal/core", "-rapid.shrinktime=1s"}
	ticketTests = []string{"./internal/ticket"}
	schedTests  = []string{"./internal/sched", "-rapid.shrinktime=1s"}
	routerTests = []string{"./internal/router", "-rapid.shrinktime=1s"}
	// platformUnit are the tests of the platform's formats, without processes or sockets between hosts.
	platformUnit = []string{"./platform", "-run", "DecodeServer|Registration"}
	limitTests   = []string{"./internal/limit", "-rapid.shrinktime=1s"}
)

func onPlatform(run string) []string { return []string{"./platform", "-run", run} }

func real(run string) []string { return []string{"./test", "-run", run} }

// mutants has at least one row for each promise of the brief, numbered in its order.
var mutants = []mutant{
	{"dispatch-mark", "1", "internal/core/entry.go",
		"if !ok || r.phase != seeking || r.attempt != m.Attempt || r.target.scheduler != from {\n\t\tc.returnGrant(from, m)",
		"if !ok || r.attempt != m.Attempt || r.target.scheduler != from {\n\t\tc.returnGrant(from, m)", coreTests},
	{"grant-attempt", "1", "internal/core/entry.go",
		"if !ok || r.phase != seeking || r.attempt != m.Attempt || r.target.scheduler != from {\n\t\tc.returnGrant(from, m)",
		"if !ok || r.phase != seeking || r.target.scheduler != from {\n\t\tc.returnGrant(from, m)", coreTests},
	{"ticket-holder", "1", "internal/ticket/ticket.go",
		"\tcase c.holder == holder:\n\t\treturn Yours\n\tdefault:\n\t\treturn InProgress", "\tdefault:\n\t\treturn Yours", coreTests},
	{"ticket-incarnation", "1", "internal/ticket/ticket.go",
		"if t.Home != h.host || t.Incarnation != h.incarnation {", "if t.Home != h.host {", ticketTests},
	{"ticket-not-run", "1", "internal/ticket/ticket.go", "\tcase c.holder == \"\":\n", "\tcase false:\n", ticketTests},
	{"ticket-expiry", "1", "internal/ticket/ticket.go", "if now > t.Issued+TTL || t.Issued > now {", "if false {", ticketTests},
	{"ticket-done", "1", "internal/ticket/ticket.go", "\t\tc.done = true\n", "\t\tc.holder = \"\"\n", ticketTests},
	{"unsent-proof", "1", "internal/wire/wire.go",
		"sent = unknown.Load() || (c != nil && c.written.Load() != before.Load())", "sent = c != nil && c.written.Load() < 0", real("LostAnswer")},
	{"library-repeats", "1", "internal/wire/wire.go",
		"\treq.Body = onceBody{req.Body}\n\treq.GetBody = nil\n", "\treq.Body = http.NoBody\n", real("LostAnswer")},
	{"old-incarnation", "1", "internal/core/core.go",
		"if e.From != c.opt.Self.ID && e.Incarnation != c.view.Incarnation(e.From) {", "if false {", coreTests},
	{"lease-on-waking", "1, 4", "internal/core/entry.go", "|| c.now > until {", "{", coreTests},
	{"lease-before-write", "1, 4", "internal/edge/flight.go", "if s.control.Now() > d.ValidUntil {", "if false {", []string{"./internal/edge"}},
	{"not-run-is-true", "1", "internal/core/entry.go", "if !r.resume {\n\t\tr.sent = false\n\t}", "", coreTests},
	{"length-check", "2", "internal/engine/client.go", "return nil, io.ErrUnexpectedEOF", "return nil, ErrDone", []string{"./internal/engine"}},
	{"end-mark", "2", "internal/edge/chat.go", "errors.Is(err, engine.ErrDone) && finished", "errors.Is(err, engine.ErrDone) && (finished || true)", real("Short")},
	{"token-gap", "2", "internal/edge/chat.go", "\t\tif c.Offset > m.offset {\n\t\t\treturn core.Ended{}, true\n\t\t}\n", "", real("Short")},
	{"answer-id", "2", "internal/edge/chat.go", "if err != nil || c.ID != m.call.id {", "if err != nil {", real("Crossed")},
	{"resume-offset", "2", "internal/edge/chat.go", "m.server.engines.Reattach(ctx, m.addr, m.call.id, m.offset)",
		"m.server.engines.Reattach(ctx, m.addr, m.call.id, m.offset+1)", real("CutStream")},
	{"short-plain-body", "2", "internal/edge/pass.go", "\tif p.begun {\n\t\tabort()\n\t}\n", "\tif p.begun {\n\t\treturn\n\t}\n", real("ShortBody")},
	{"tier-order", "3", "internal/sched/place.go", "for p := Priorities - 1; p >= 0; p-- {", "for p := 0; p < Priorities; p++ {", schedTests},
	{"displace-before-shed", "3", "internal/sched/place.go", "\t\tg.displaceAllBelow(now, w)\n", "", schedTests},
	{"over-the-bound", "3", "internal/sched/place.go", "if g.lowerRunning(w.Priority) > 0 && g.queue.len() <= hardQueueFactor*bound {", "if false {", schedTests},
	{"displacement", "3", "internal/sched/displace.go", "if ignoresTiers(g.service.Policy) || now-w.arrived < g.opt.DisplaceAfter {",
		"if true {", real("UrgentWork")},
	{"leaving-filter", "4", "internal/sched/backend.go", "if b.spec.Leaving || now < b.coolTill {", "if now < b.coolTill {", coreTests},
	{"leaving-at-dispatch", "4", "internal/core/core.go", "if b == nil || b.Leaving || c.leaving[b.Addr] {", "if b == nil {", coreTests},
	{"leaving-host-list", "4", "internal/core/core.go", "b.Leaving || c.leaving[b.Addr]", "b.Leaving", coreTests},
	{"drain-wait", "5", "internal/daemon/daemon.go", "if held == 0 {", "if held >= 0 {", real("ShutdownWaits")},
	{"drain-grace", "5", "internal/daemon/daemon.go", "if !sleep(hard, d.set.Drain.Grace) {", "if !sleep(hard, 0) {", real("Roll")},
	{"revision-comparison", "6", "internal/confstate/confstate.go", "if known && r.Revision <= old.raw.Revision {", "if false {", coreTests},
	{"bad-record", "6", "internal/record/convert.go", "if priority == nil || *priority > MaxPriority {", "if priority == nil {", []string{"./test", "-run", "CheckFiles"}},
	{"peers-repair", "6", "internal/core/config.go", "if digest == c.conf.Digest() || c.now-c.gossip.pulledAt < pullEvery {", "if true {", coreTests},
	{"reader-stands-in", "6", "internal/core/duty.go", "silent := c.now-c.gossip.readElsewhere > readersSilent*c.view.Interval()", "silent := false", coreTests},
	{"audit-turns", "6", "internal/core/duty.go", "if turn%len(c.duty.live) == rank {", "if turn < 0 {", coreTests},
	{"synced-before-ready", "6", "internal/core/core.go", "return c.gossip.synced && !c.drain", "return !c.drain", real("Lone")},
	{"rate-in-partition", "7", "internal/member/member.go", "\tif v.listed > 0 {\n\t\treturn v.listed\n\t}\n\treturn len(v.peers) + 1", "\treturn 1", coreTests},
	{"spill-starts-at-once", "7", "internal/sched/place.go", "if w.Spilled && !g.takesSpill(w.Priority) {", "if false {", schedTests},
	{"spill-comes-home", "3", "internal/core/entry.go", "} else if _, ok := c.pickGroup(r); ok && !r.refusedHere {", "} else if false {", coreTests},
	{"far-patience", "7", "internal/core/seek.go", "case atHome && c.now-r.since >= farPatience:", "case false:", coreTests},
	{"far-duty-moves", "7", "internal/core/seek.go", "case moved && !atHome:", "case moved && !atHome && false:", coreTests},
	{"settle", "7", "internal/sched/group.go", "g.settled = len(g.awaiting) == 0\n", "g.settled = true\n", schedTests},
	{"retry-budget", "8", "internal/core/entry.go", "if r.reseeks > maxReseeks || c.entry.budget < 1 {", "if r.reseeks > maxReseeks {", coreTests},
	{"queue-bound", "8", "internal/sched/place.go", "for g.queue.len() > bound {", "for false {", schedTests},
	{"lost-release", "8", "internal/sched/group.go", "now-r.granted > g.opt.Lease {\n\t\t\tg.free(r)\n", "now-r.granted > g.opt.Lease {\n\t\t\t_ = r\n", schedTests},
	{"slow-caller", "8", "internal/edge/body.go", "_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))", "", real("SlowCallers")},
	{"link-loss", "3", "internal/member/member.go", "linked := p.links > 0 || now-p.unlinkedAt <= unlinkedGrace", "linked := true", []string{"./internal/member"}},
	{"held-digest", "8", "internal/sched/held.go", "if h.count != count || h.digest != digest {", "if false {", schedTests},
	{"one-answer", "1, 2", "internal/core/entry.go", "\tif !ok || !r.runs() || r.attempt != e.Attempt {\n", "\tif !ok {\n", coreTests},
	// The platform's path.
	{"router-repeats-once", "1", "internal/router/requests.go", "allowed := q.Route.Repeatable() && q.runs", "allowed := q.runs", routerTests},
	{"router-attempts", "1", "internal/router/requests.go",
		"allowed := q.Route.Repeatable() && q.runs < q.Route.MaxAttempts && r.now", "allowed := q.Route.Repeatable() && r.now", routerTests},
	{"router-not-run-true", "1", "internal/router/requests.go", "	if q.ran {\n\t\tr.emit(GiveUp{ID: q.ID, Cause: cause, PassOn: true})\n\t\treturn\n\t}\n", "", routerTests},
	{"router-version-forward", "6", "internal/router/news.go", "if n.Config != nil && n.Config.Version > r.version() {", "if n.Config != nil {", routerTests},
	{"router-revision-forward", "6", "internal/router/registrations.go", "case ch.Start == b.Start && ch.Revision > b.revision:", "case ch.Start == b.Start:", routerTests},
	{"router-start-forward", "4", "internal/router/registrations.go", "	case ch.Start > b.Start:\n", "	case ch.Start != b.Start:\n", routerTests},
	{"router-start-known", "4", "internal/router/registrations.go", "	case ch.Start == 0 && b.Start > 0:\n", "	case false:\n", routerTests},
	{"router-start-aborts", "1", "internal/router/registrations.go", "	r.breakOff(b)\n", "", routerTests},
	{"router-start-hash", "4", "internal/router/backends.go", "	if b.Start == 0 {\n", "	if true {\n", routerTests},
	{"router-gone-at", "4", "internal/router/registrations.go", "	case ch.Revision <= b.goneAt:\n", "	case false:\n", routerTests},
	{"router-foreign-doubt", "4", "internal/router/registrations.go", "!b.Draining && !ch.Foreign && (", "!b.Draining && (", routerTests},
	{"router-kind", "4", "internal/router/place.go", "return s == nil || !s.Model || b.Model", "return s == nil || s != nil", routerTests},
	{"platform-foreign", "4", "platform/store.go", "		ch.Removed, ch.Foreign = true, true\n", "		return routing.BackendChange{}\n", platformUnit},
	{"platform-types", "4", "platform/registration.go", "ok = ok && string(raw) != \"null\" && ", "ok = ok && ", platformUnit},
	{"platform-fields", "4", "platform/registration.go", "	r.whole(\"seq-no\")\n", "", platformUnit},
	{"router-first-read", "8", "internal/router/zones.go", "	if slices.Contains(r.opt.Seeds, r.opt.Host) {\n", "	if false {\n", routerTests},
	{"router-newcomer", "8", "internal/router/members.go", "		r.changed = true    // and", "		// and", routerTests},
	{"router-first-config", "8", "internal/router/news.go", "r.changed = r.changed || r.table == nil", "_ = r.table == nil", routerTests},
	{"gateway-first-table", "8", "internal/gateway/gateway.go", "	case <-g.control.Configured():\n", "", []string{"./internal/gateway"}},
	{"router-unread", "8", "internal/router/predict.go", "time.Duration(b.unread(s.r.now)+s.q.PromptTok)", "time.Duration(s.q.PromptTok)", routerTests},
	{"router-wait", "8", "internal/router/predict.go", "if over := held + 1 - b.Slots; over > 0 && b.Slots > 0 {", "if over := 0; over > 0 {", routerTests},
	{"router-queued-sample", "8", "internal/router/speed.go", "q.PromptTok < leastPrompt || q.queued ||", "q.PromptTok < leastPrompt ||", routerTests},
	{"router-told-speed", "8", "internal/router/speed.go", "		if b.samples == 0 {\n			b.interval", "		if true {\n			b.interval", routerTests},
	{"bound-hall", "bound", "internal/bound/solve.go", "	for s := 0; s <= a; s++ {\n		for _, v", "	for s := a; s <= a; s++ {\n		for _, v", []string{"./internal/bound"}},
	{"router-zone-back", "8", "internal/router/members.go", "	if wasCut {\n", "	if wasCut && false {\n", routerTests},
	{"router-drain-back", "5", "internal/router/requests.go", "Cause: ShutDown, After: drainBack", "Cause: ShutDown, After: r.comeBack(q)", routerTests},
	{"router-queue-share", "8", "internal/router/place.go", "extra > 0 && s.q.Route.Target > 0 {", "false {", routerTests},
	{"router-name-start", "4", "internal/router/registrations.go", "		r.nameStart(b, ch.Start)\n", "		b.Start = ch.Start\n", routerTests},
	{"router-most-read", "8", "internal/router/speed.go", "b.read == 0 && read <= mostRead", "b.read == 0", []string{"./internal/router", "-run", "Fuzz"}},
	{"router-push-all", "4", "internal/router/news.go", "if pushes++; pushes > maxPushes {", "if pushes++; pushes > 1 {", routerTests},
	{"router-gap", "4", "internal/router/news.go", "b.Revision > r.news.complete\n", "b.Revision > r.news.revision\n", routerTests},
	{"router-withheld", "limits", "internal/router/news.go", "r.news.withheld = r.relaying() && r.now < startWait", "r.news.withheld = false", routerTests},
	{"router-unheard-zones", "limits", "internal/router/zones.go", "	if r.now < unheardFor {\n", "	if false {\n", routerTests},
	{"limit-stagger", "limits", "internal/limit/quota.go", "	if q.stagger > 0 && hosts >= largeFleet {\n", "	if false {\n", limitTests},
	{"gateway-abort", "1", "internal/gateway/flight.go", "	f.cut.begin(d.Attempt, cancel)\n", "", onPlatform("StartsAgain")},
	{"router-peers-repair", "6", "internal/router/news.go", "	r.news.pulledAt = r.now\n\tr.emit(Pull{m.host, since})", "	r.news.pulledAt, since = r.now, Since{}\n\t_ = since", onPlatform("Refuses|StoreIsAway")},
	{"router-drain", "4", "internal/router/backends.go", "if b.Draining || b.replaced {", "if b.replaced {", routerTests},
	{"router-doubt-ends", "4", "internal/router/backends.go", "return now < b.doubtUntil, true", "return true, true", routerTests},
	{"limit-first-word", "limits", "internal/limit/quota.go", "	if !known && !w.Young {", "	if !known && false {", limitTests},
	{"router-replaced", "4", "internal/router/backends.go", "if b.Draining || b.replaced {", "if b.Draining {", routerTests},
	{"router-dead-last", "8", "internal/router/place.go", "	if g.Full > 0 {\n\t\tlists[dead] = lists[dead][:0]\n\t}\n", "", routerTests},
	{"router-ghost", "4", "internal/router/registrations.go", "if ch.Revision <= r.news.complete {", "if false {", routerTests},
	{"router-complete", "6", "internal/router/news.go", "if n.After <= r.news.complete {", "if true {", routerTests},
	{"router-third-zones", "8", "internal/router/zones.go", "if b.Zone == r.opt.Zone && z.zone != to {", "if false {", routerTests},
	{"router-tell-change", "8", "internal/router/beats.go", "if r.changed && r.now >= r.changeAt {", "if false {", routerTests},
	{"router-shared-watch", "6", "internal/router/zones.go", "shared == r.zones.shared && ", "", routerTests},
	{"limit-young", "limits", "internal/limit/quota.go", "	if !known && !w.Young {", "	if !known {", limitTests},
	{"limit-absurd-word", "limits", "internal/limit/quota.go", "max(q.lowest(), q.level-more)", "q.level-more", limitTests},
	{"limit-allowance", "limits", "internal/limit/quota.go", "return q.rate + useExtra*extra/w", "return q.rate + 0*extra", limitTests},
	{"gateway-cut-position", "2", "internal/gateway/flight.go", "skip = end\n", "skip += len(event)\n", []string{"./internal/gateway"}},
	{"platform-bounded-times", "8", "platform/headers.go", "n < 0 || n > maxTokens", "n < 0", []string{"./platform", "-run", "Fuzz"}},
	{"limit-returned", "limits", "internal/limit/quota.go", "covered := min(q.withheld, more)", "covered := 0.0", limitTests},
	{"limit-own-part", "limits", "internal/limit/quota.go", "	if q.share <= 0 {", "	if false {", limitTests},
	{"limit-budget-parts", "limits", "internal/limit/budget.go", "b.extra/2/float64(max(hosts, fewestHosts))", "b.extra/2", limitTests},
	{"gateway-whole-events", "2", "internal/gateway/events.go", "return nil, io.ErrUnexpectedEOF", "return nil, io.EOF", onPlatform("Stream")},
	{"gateway-no-repeat-event", "2", "internal/gateway/flight.go", "		s.LastEvent = itoa(f.lastEvent)\n", "", onPlatform("Resum|GoesOn")},
	{"gateway-own-answer", "2", "internal/gateway/flight.go", "return id == \"\" || id == f.call.AttemptID", "return id != \"none\"", onPlatform("Faulty|Anothers")},
	{"gateway-signature", "2", "internal/gateway/flight.go", "case success && (!info.Signed || ", "case success && (false || ", onPlatform("Faulty")},
	{"gateway-caller-left", "1", "internal/upstream/call.go", "x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })", "x.stop = func() bool { return true }", onPlatform("Leav")},
	{"gateway-system-headers", "keys", "platform/headers.go", "	for _, name := range systemHeaders {\n\t\th.Del(name)\n\t}\n", "", onPlatform("SystemHeaders")},
	{"gateway-instance", "4", "platform/headers.go", "	h.Set(headerInstance, d.Backend)\n", "", onPlatform("SystemHeaders|Reused")},
	{"upstream-left-over", "2", "internal/upstream/conn.go", "idle = err == unix.EAGAIN", "idle = err != unix.EBADF", onPlatform("ClosedIdle|Faulty|Anothers")},
	{"node-drain-waits", "5", "internal/node/node.go", "		if n.control.held.Load() > 0 {\n\t\t\tquietSince = time.Now()\n\t\t}\n", "", onPlatform("StopCuts")},
}
