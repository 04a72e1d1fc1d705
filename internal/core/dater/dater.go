// Package dater tells when the messages of a peer were sent. Each message carries a
// reading of the sender's clock. Messages that wait in a socket, or for a receiver that
// stands still, are so told from news.
package dater

import "time"

// Reading is a reading of the sender's clock, which never goes backwards, in
// milliseconds since an unknown time. Zero stands for no reading.
type Reading int64

// ReadingAt returns the reading of this instance's clock at a time.
func ReadingAt(now time.Time) Reading { return Reading(now.UnixMilli()) }

const (
	// maxDrift bounds how much slower the sender's clock may run than that of the receiver,
	// as a share of the time that has passed.
	maxDrift = 0.001
	// window is how long the fastest message is remembered at least, and twice that at most
	// while messages are handled in time. A sender whose clock has stood still is dated
	// rightly again after that.
	window = 5 * time.Second
	// promptStep is the longest time since previous at which the receiver stands by.
	promptStep = 100 * time.Millisecond
	// settleTime is how long after the first message those that had arrived before may be
	// handled, if the receiver stood still.
	settleTime = 50 * time.Millisecond
)

// Dater dates the messages of one incarnation of a peer. The message that was fastest
// lately counts as sent when it was handled. It is not safe for concurrent use. Create one
// with New.
type Dater struct {
	// zeroAt is when the sender's clock was at zero, on the receiver's clock, by the fastest
	// message since windowAt, and formerZeroAt by that of the window before. Both are too
	// late by the delay of that message, and as of learnedAt.
	zeroAt, formerZeroAt time.Time
	windowAt, learnedAt  time.Time
	// firstAt is when the first message was handled, zero before, and firstPrevious a time
	// before which it can't have arrived.
	firstAt, firstPrevious time.Time
}

// New returns a Dater for a peer that has not been heard.
func New() *Dater { return &Dater{} }

// Date returns when a message was sent, for one that is handled now and can't have
// arrived before previous, the last time at which the receiver had handled all messages.
// A message without a reading, or one of a peer that was not heard before previous, is
// dated as early as it can have arrived.
func (d *Dater) Date(r Reading, previous, now time.Time) time.Time {
	if r <= 0 {
		return previous
	}
	sinceZero := time.Duration(r) * time.Millisecond
	zeroAt := now.Add(-sinceZero)
	if d.firstAt.IsZero() {
		d.zeroAt, d.formerZeroAt, d.windowAt, d.learnedAt = zeroAt, zeroAt, now, now
		d.firstAt, d.firstPrevious = now, previous
	}
	drift := time.Duration(maxDrift * float64(now.Sub(d.learnedAt)))
	d.zeroAt, d.formerZeroAt, d.learnedAt = d.zeroAt.Add(drift), d.formerZeroAt.Add(drift), now
	if now.Sub(d.windowAt) >= window && now.Sub(previous) < promptStep {
		d.formerZeroAt, d.zeroAt, d.windowAt = d.zeroAt, zeroAt, now
	}
	d.zeroAt = earlier(d.zeroAt, zeroAt)
	if now.Sub(d.firstAt) < settleTime {
		return d.firstPrevious
	}
	if previous.Before(d.firstAt) {
		return previous
	}
	return earlier(d.zeroAt, d.formerZeroAt).Add(sinceZero)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
