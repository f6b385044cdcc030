package capacity

import "time"

// poolState is what is known of a pool besides its heartbeats.
type poolState struct {
	pending      bool // an order may still take effect
	answered     bool // the platform accepted the order; otherwise its answer was lost
	desired      int  // of the pending order
	ready        int  // when it was sent
	orderedAt    time.Time
	avoidedUntil time.Time // no order for more before this time
	keptUntil    time.Time // none for fewer, as one was refused
}

// drainGrace is how long instances that were given back may still send heartbeats as ready.
const drainGrace = 5 * time.Second

// settle ends a pending order that heartbeats show to have taken effect, or that can no longer
// take effect. Only the latter may be sent again: an order whose answer was lost at once, one that was
// accepted and not fulfilled elsewhere first.
func (p *poolState) settle(ready int, boot time.Duration, s Settings, now time.Time) {
	if !p.pending {
		return
	}
	if p.desired > p.ready {
		switch {
		case ready >= p.desired:
			p.pending = false
		case now.Sub(p.orderedAt) > boot+s.AppearGrace:
			p.pending = false
			if p.answered {
				p.avoidedUntil = now.Add(s.Avoidance)
			}
		}
		return
	}
	if ready <= p.desired || now.Sub(p.orderedAt) > drainGrace {
		p.pending = false
	}
}

// expected returns how many instances the pool has once its pending order has taken effect.
func (p *poolState) expected(ready int) int {
	switch {
	case !p.pending:
		return ready
	case p.desired > p.ready:
		return max(ready, p.desired)
	default:
		return min(ready, p.desired)
	}
}

// reclaimSpan is the time within which the instances of a reclaimed pool stop taking requests:
// their heartbeats say so at intervals of about a second.
const reclaimSpan = 3 * time.Second

// reclaimed reports whether the platform takes back the instances of a preemptible pool: some
// are under notice, or half of them have left within a short time without an order.
func (p *poolState) reclaimed(pool Pool, f *Fleet, h history, now time.Time) bool {
	if !pool.Preemptible {
		return false
	}
	if f.Reclaimed[pool] > 0 {
		return true
	}
	old := h.before(now.Add(-reclaimSpan))
	if old == nil || p.desired < p.ready && now.Sub(p.orderedAt) < reclaimSpan+drainGrace {
		return false // they may have been given back
	}
	lost := old.ready[pool] - f.Ready[pool]
	return lost >= 2 && 2*lost >= old.ready[pool]
}
