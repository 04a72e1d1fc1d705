package dater

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A message that lay in a socket must not be dated later than it was sent, apart from the
// delay of the fastest message and the drift of the clocks.
func TestQueuedMessagesAreOld(t *testing.T) {
	const interval, delay = 100 * time.Millisecond, time.Millisecond
	epoch := time.Unix(1_000_000, 0)
	type message struct{ sentAt, handledAt time.Duration }
	regular := func(n int) (out []message) {
		for i := range n {
			sentAt := time.Duration(i) * interval
			out = append(out, message{sentAt, sentAt + delay})
		}
		return out
	}
	cases := map[string]struct {
		messages []message
		// rate is how fast the sender's clock runs.
		rate float64
		// latest is the latest date of the last message.
		latest time.Duration
	}{
		"in time":                                     {regular(20), 1, 1900*time.Millisecond + delay},
		"receiver stood still":                        {append(regular(20), message{2 * time.Second, 6 * time.Second}), 1, 2*time.Second + delay + 5*time.Millisecond},
		"the backlog comes newest last":               {append(regular(2), message{200 * time.Millisecond, 4 * time.Second}, message{900 * time.Millisecond, 4 * time.Second}), 1, 900*time.Millisecond + delay + 4*time.Millisecond},
		"sender's clock is slow":                      {append(regular(600), message{time.Minute, 63 * time.Second}), 0.9995, time.Minute + delay + 40*time.Millisecond},
		"sender's clock is fast":                      {append(regular(600), message{time.Minute, 63 * time.Second}), 1.0005, time.Minute + delay + 40*time.Millisecond},
		"backlog of a peer that was not heard before": {[]message{{0, 3 * time.Second}, {time.Second, 3 * time.Second}}, 1, 2990 * time.Millisecond},
		"first message":                               {[]message{{0, 3 * time.Second}}, 1, 2990 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := New()
			var date time.Time
			for _, m := range c.messages {
				r := Reading(1 + int64(c.rate*float64(m.sentAt.Milliseconds())))
				handledAt := epoch.Add(m.handledAt)
				date = d.Date(r, handledAt.Add(-10*time.Millisecond), handledAt)
				must.False(t, date.After(handledAt))
			}
			must.LessEq(t, c.latest, date.Sub(epoch))
		})
	}
}

// A peer that sends in time must not seem silent.
func TestPromptMessagesAreNews(t *testing.T) {
	for name, rate := range map[string]float64{"same": 1, "slow": 0.9995, "fast": 1.0005} {
		t.Run(name, func(t *testing.T) {
			d, epoch := New(), time.Unix(1_000_000, 0)
			for n := 1; n < 6000; n++ {
				now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
				date := d.Date(Reading(rate*float64(n)*100), now.Add(-10*time.Millisecond), now)
				must.LessEq(t, 11*time.Millisecond, now.Sub(date))
			}
		})
	}
}

// A message of a version without readings counts as old as it can be.
func TestMessagesWithoutReading(t *testing.T) {
	previous, now := time.Unix(100, 0), time.Unix(103, 0)
	must.Eq(t, previous, New().Date(0, previous, now))
	must.Eq(t, previous, New().Date(-5, previous, now))
}

// A sender whose clock stood still for a time must not seem silent for long.
func TestSenderClockStoodStill(t *testing.T) {
	d, epoch := New(), time.Unix(1_000_000, 0)
	const stoodStill = 1000
	for n := 1; n < 1000; n++ {
		now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		r := Reading(n) * 100
		if n > 100 {
			r -= stoodStill
		}
		date := d.Date(max(1, r), now.Add(-10*time.Millisecond), now)
		if n > 200 {
			must.LessEq(t, 20*time.Millisecond, now.Sub(date), must.Sprintf("message %d", n))
		}
	}
}

// The backlog of two long pauses in a row must not be taken for the fastest messages.
func TestBacklogOfTwoPauses(t *testing.T) {
	d, epoch := New(), time.Unix(1_000_000, 0)
	at := func(sentAt, previous, handledAt time.Duration) time.Duration {
		return d.Date(Reading(1+sentAt.Milliseconds()), epoch.Add(previous), epoch.Add(handledAt)).Sub(epoch)
	}
	for n := range time.Duration(30) {
		sentAt := n * 100 * time.Millisecond
		at(sentAt, sentAt-10*time.Millisecond, sentAt+time.Millisecond)
	}
	at(3*time.Second, 3*time.Second, 10*time.Second)
	at(10*time.Second, 3*time.Second, 20*time.Second)
	must.LessEq(t, 11*time.Second+30*time.Millisecond, at(11*time.Second, 3*time.Second, 20*time.Second))
}

// A peer's first messages may be handled one by one after the receiver stood still.
func TestFirstMessagesOfBacklog(t *testing.T) {
	d, epoch := New(), time.Unix(1_000_000, 0)
	var date time.Time
	previous := epoch.Add(100 * time.Millisecond)
	for n, sentAt := range []int{105, 180, 255} {
		handledAt := epoch.Add(time.Duration(340+n) * time.Millisecond)
		date = d.Date(Reading(1+sentAt), previous, handledAt)
		previous = handledAt
	}
	must.LessEq(t, 255*time.Millisecond, date.Sub(epoch))
}
