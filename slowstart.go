// Slow start: what a cold upstream may get.

package garnettide

import "time"

// ramp is the share of its capacity that u is sure to have.
func (b *Balancer) ramp(u *upstream, now time.Duration) float64 {
	if u.cold && now-u.coldAt < b.s.Requirements.WarmupTime {
		from := b.s.Requirements.ColdCapacity
		return from + (1-from)*max(0, float64(now-u.coldAt)/float64(b.s.Requirements.WarmupTime))
	}
	u.cold = false
	return 1
}

// chill treats u as freshly started: nothing learnt before holds.
func (b *Balancer) chill(u *upstream, at time.Duration) {
	u.cold, u.coldAt, u.lat, u.latDev, u.units, u.slow = true, at, 0, 0, 0, 0
	u.readings, u.mean, u.dev, u.area, u.bound, u.least, u.calm = 0, 0, 0, 0, b.start, 0, 0
}

// coldRoom reports whether r fits this balancer's part of what a cold u may get over OverloadWindow, judged by what
// warm ones carry. Half of that is left for bursts unless u reports use to spare: it may be faster or warm
// sooner than is sure. No request counts less than the mean, as small ones have a fixed part too.
func (b *Balancer) coldRoom(u *upstream, r *request, now time.Duration) bool {
	crowding := max(1, coldUse*u.crowding)
	if b.carry == 0 { // no warm upstream to judge by: one at a time, and as long a rest between two
		return len(u.outs) == 0 && now-u.spentAt >= 2*time.Duration(b.lat*crowding)
	}
	rate := tipMargin * b.s.Requirements.OverloadFactor * b.ramp(u, now) * u.weight * b.carry / bandPeriod.Seconds()
	leak := rate / 2
	if u.readings > 0 && u.mean < fullUse { // it reports that it is far from its limit
		leak = rate / crowding
	}
	u.spent, u.spentAt = max(0, u.spent-leak*(now-u.spentAt).Seconds()), now
	room := max(0, rate/2/crowding*b.s.Requirements.OverloadWindow.Seconds()-max(1, r.units))
	if u.spent > room {
		b.log(now, "cold", "upstream %d is cold: %.1f sent of late, over %.1f no more fits", u.ID, u.spent, room)
	}
	return u.spent <= room
}
