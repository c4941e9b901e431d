// Package membudget bounds the memory that callers make a host hold: heads and bodies that are still arriving, bodies kept for another
// backend server, and answers that are not written yet.
//
// Each connection has an account. Memory is reserved as bytes arrive, not by declared lengths, so that a caller that sends nothing holds
// nothing. When the budget runs out, callers that have sent nothing for a while are turned away, those without progress for the longest
// time first: a crowd that stays cannot keep others out. A request that is complete is never turned away.
package membudget

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// StallTime is how long a caller may make no progress before it may be turned away in favour of others. It is many times a round
	// trip: a caller that sends steadily never reaches it.
	StallTime = 500 * time.Millisecond
	// minProgress is the number of bytes that count as progress, so that a caller which sends single bytes does not.
	minProgress = 4 << 10
	// SmallRequest is the memory in bytes up to which a request may use the reserve: ordinary heads and bodies.
	SmallRequest = 32 << 10
	// reserveFraction is the fraction of the budget that only small requests may use, and provenFraction the fraction that requests may use
	// only after they have made progress for StallTime: large ones are refused as they begin, not when they have nearly arrived.
	reserveFraction = 0.25
	provenFraction  = 0.1
	// highWater is the fraction of the budget from which callers without progress are turned away. What is above it is for those that
	// arrive until their memory is free.
	highWater = 0.6
	// scanInterval is how soon the accounts are looked through again after too few of them were without progress.
	scanInterval = 20 * time.Millisecond
)

// hostFraction is the fraction of a host's memory for what callers make it hold. Twice as much would leave the garbage collector no room
// beside it, nor the buffers of connections.
const hostFraction = 0.25

// ForHost returns the budget of a host with the given memory in MB; zero stands for no limit.
func ForHost(memoryMB int) *Budget { return New(int64(hostFraction * float64(memoryMB) * (1 << 20))) }

// ErrExhausted is returned if the budget has no room. The caller of a request that gets it has to come back later.
var ErrExhausted = errors.New("the memory for callers' requests is used up; come back later, or give the host more memory")

// Budget is the memory of all callers of one host. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	capacity int64
	used     int64
	accounts map[*Account]struct{}
	// places is the number of accounts that hold a place at a backend server.
	places atomic.Int64
	// leaving is what accounts hold that have been turned away and are not closed yet.
	leaving int64
	// scanAfter is when it may be of use to look for callers without progress again.
	scanAfter  time.Time
	order      Order
	now        func() time.Time
	turnedAway int64
	refused    int64
}

// Order orders callers that may be turned away: a negative result turns a away before b.
type Order func(a, b Caller) int

// Caller is what an Order knows of a caller without progress.
type Caller struct {
	Held       int64
	ProgressAt time.Time
}

// LongestStalled turns those away first that have made no progress for the longest time, and among these the ones that hold most.
func LongestStalled(a, b Caller) int {
	return cmp.Or(a.ProgressAt.Compare(b.ProgressAt), cmp.Compare(b.Held, a.Held))
}

// New returns a budget of a number of bytes; zero stands for no limit.
func New(capacity int64) *Budget {
	if capacity <= 0 {
		capacity = math.MaxInt64
	}
	return &Budget{capacity: capacity, accounts: map[*Account]struct{}{}, order: LongestStalled, now: time.Now}
}

// Stats are counts since the start, and the state of a budget in bytes.
type Stats struct {
	Capacity, Used int64
	// TurnedAway counts callers without progress that had to leave, Refused the reservations for which there was no room.
	TurnedAway, Refused int64
}

// Stats returns the present state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{b.capacity, b.used, b.turnedAway, b.refused}
}

// Open returns an account that holds nothing.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// TurnAwayStalled turns all callers away that have made no progress for StallTime. It returns their number.
func (b *Budget) TurnAwayStalled() int { return b.turnAwayAll(func(*Account) bool { return true }) }

// FreePlaces turns those of them away whose requests hold a place at a backend server.
func (b *Budget) FreePlaces() int {
	if b.places.Load() == 0 {
		return 0
	}
	return b.turnAwayAll(func(a *Account) bool { return a.holdsPlace })
}

// TurnAwayOne turns the caller away that comes first in the order, if there is one without progress.
func (b *Budget) TurnAwayOne() bool {
	b.mu.Lock()
	before := b.now().Add(-StallTime)
	var first *Account
	for a := range b.accounts {
		if a.stalled(before) && (first == nil || b.order(a.view(), first.view()) < 0) {
			first = a
		}
	}
	var callbacks []func()
	if first != nil {
		callbacks = b.mark([]*Account{first})
	}
	b.mu.Unlock()
	runAll(callbacks)
	return first != nil
}

func (b *Budget) turnAwayAll(match func(*Account) bool) int {
	b.mu.Lock()
	callbacks := b.mark(b.stalled(match))
	b.mu.Unlock()
	runAll(callbacks)
	return len(callbacks)
}

// stalled returns the callers that may be turned away, in order. The caller holds the lock.
func (b *Budget) stalled(match func(*Account) bool) []*Account {
	var out []*Account
	before := b.now().Add(-StallTime)
	for a := range b.accounts {
		if a.stalled(before) && match(a) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *Account) int { return b.order(x.view(), y.view()) })
	return out
}

// mark records that accounts are turned away and returns what is to be called for it, without the lock.
func (b *Budget) mark(victims []*Account) []func() {
	var callbacks []func()
	for _, a := range victims {
		a.turnedAway = true
		b.leaving += a.held
		b.turnedAway++
		callbacks = append(callbacks, a.turnAway)
	}
	return callbacks
}

// makeRoom marks callers without progress until need more bytes will fit below the high-water mark. The caller holds the lock.
func (b *Budget) makeRoom(need int64) []func() {
	excess := b.used - b.leaving + need - int64(highWater*float64(b.capacity))
	if excess <= 0 || b.now().Before(b.scanAfter) {
		return nil
	}
	victims := b.stalled(func(*Account) bool { return true })
	n := 0
	for ; n < len(victims) && excess > 0; n++ {
		excess -= victims[n].held
	}
	if excess > 0 {
		b.scanAfter = b.now().Add(scanInterval)
	}
	return b.mark(victims[:n])
}

func runAll(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}

// Account is the memory that one connection holds. Its methods are safe for concurrent use, and a nil account has no limit.
type Account struct {
	budget *Budget
	held   int64
	// receiving is set while a head or a body arrives; turnAway ends that. turnedAway is set once it was called.
	receiving  bool
	turnAway   func()
	turnedAway bool
	// holdsPlace is set if the request is at a backend server already.
	holdsPlace bool
	// progressAt is when progress was made last, and sinceProgress are the bytes since then. pausedAt is when this host stopped reading.
	progressAt, pausedAt time.Time
	sinceProgress        int
	// startedAt is when the head or body began to arrive.
	startedAt time.Time
}

// stalled reports whether the caller may be turned away: it has made no progress since a time.
func (a *Account) stalled(since time.Time) bool {
	return a.receiving && !a.turnedAway && a.progressAt.Before(since)
}

func (a *Account) view() Caller { return Caller{a.held, a.progressAt} }

// Receive begins a head or a body that arrives. turnAway is called, without locks, if the caller has to leave; it must not block.
func (a *Account) Receive(turnAway func()) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.forgive()
	a.receiving, a.turnAway = true, turnAway
	a.startedAt = a.budget.now()
	a.progressAt, a.sinceProgress = a.startedAt, 0
	a.budget.accounts[a] = struct{}{}
}

// Pause ends the arrival, as everything has arrived or this host does not read for now. It reports false if the caller has been turned
// away.
func (a *Account) Pause() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.receiving, a.pausedAt = false, a.budget.now()
	return !a.turnedAway
}

// Resume goes on with the arrival of a body whose request holds a place at a backend server. The pause does not count as one of the
// caller.
func (a *Account) Resume() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.receiving {
		return
	}
	a.receiving = true
	a.progressAt = a.progressAt.Add(a.budget.now().Sub(a.pausedAt))
	if !a.holdsPlace {
		a.holdsPlace = true
		a.budget.places.Add(1)
	}
}

// forgive takes back that the caller was turned away. The caller holds the lock.
func (a *Account) forgive() {
	if a.turnedAway {
		a.budget.leaving -= a.held
		a.turnedAway = false
	}
}

// Progress records that bytes have arrived.
func (a *Account) Progress(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.sinceProgress += n
	if a.sinceProgress >= minProgress {
		a.progressAt, a.sinceProgress = a.budget.now(), 0
	}
}

// Reserve takes n more bytes out of the budget, or returns ErrExhausted.
func (a *Account) Reserve(n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	callbacks := b.makeRoom(n)
	err := a.take(n)
	b.mu.Unlock()
	runAll(callbacks)
	return err
}

func (a *Account) take(n int64) error {
	b := a.budget
	limit := b.capacity
	if a.held+n > SmallRequest {
		limit -= int64(reserveFraction * float64(b.capacity))
		if a.receiving && b.now().Sub(a.startedAt) < StallTime {
			limit -= int64(provenFraction * float64(b.capacity))
		}
	}
	if a.turnedAway || n > limit-b.used {
		b.refused++
		return ErrExhausted
	}
	a.held += n
	b.used += n
	b.accounts[a] = struct{}{}
	return nil
}

// TurnedAway reports whether the caller has been turned away.
func (a *Account) TurnedAway() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.turnedAway
}

// Close returns all that the account holds. It can be used again.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.forgive()
	b.used -= a.held
	if a.holdsPlace {
		b.places.Add(-1)
	}
	a.held, a.receiving, a.holdsPlace, a.turnAway = 0, false, false, nil
	delete(b.accounts, a)
}
