package limit

import "time"

// Bucket is a token bucket that holds a host's share of a rate limit. One token is one request.
type Bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// NewBucket returns a bucket without a rate that holds at most burst tokens.
func NewBucket(now time.Duration, burst, tokens float64) Bucket {
	return Bucket{burst: burst, tokens: min(tokens, burst), refilledAt: now}
}

// SetRate sets the number of tokens that accrue per second.
func (b *Bucket) SetRate(now time.Duration, perSecond float64) {
	b.refill(now)
	b.rate = perSecond
}

// Rate returns the number of tokens that accrue per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Empty discards the saved tokens.
func (b *Bucket) Empty(now time.Duration) { b.tokens, b.refilledAt = 0, now }

// Level returns the number of saved tokens.
func (b *Bucket) Level(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// Available reports whether a token may be taken. A bucket without a rate gives none.
func (b *Bucket) Available(now time.Duration) bool { return b.rate > 0 && b.Level(now) >= 1 }

// Take removes a token.
func (b *Bucket) Take(now time.Duration) {
	b.refill(now)
	b.tokens--
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}
