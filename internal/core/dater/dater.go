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

// maxDrift bounds how much slower the sender's clock may run than that of the receiver,
// as a share of the time that has passed.
const maxDrift = 0.001

// Dater dates the messages of one incarnation of a peer. The message that was fastest so
// far counts as sent when it was handled. It is not safe for concurrent use. Create one
// with New.
type Dater struct {
	// zeroAt is when the sender's clock was at zero, on the receiver's clock; it is too
	// late by the delay of the fastest message, and as of learnedAt. Both are zero before
	// the first reading.
	zeroAt, learnedAt time.Time
	// firstAt is when the first message was handled.
	firstAt time.Time
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
	zeroAt := now.Add(-time.Duration(r) * time.Millisecond)
	if d.firstAt.IsZero() {
		d.zeroAt, d.learnedAt, d.firstAt = zeroAt, now, now
	}
	d.zeroAt = d.zeroAt.Add(time.Duration(maxDrift * float64(now.Sub(d.learnedAt))))
	d.learnedAt = now
	if zeroAt.Before(d.zeroAt) {
		d.zeroAt = zeroAt
	}
	if previous.Before(d.firstAt) {
		return previous
	}
	return d.zeroAt.Add(time.Duration(r) * time.Millisecond)
}
