package forward

import "time"

// countUsage counts the request among those of its account, once, as one that began to run at a
// time: a stream with its first event, another request when it was sent to the instance that has
// answered it.
func (c *call) countUsage(at time.Time) {
	if c.counted || c.server.settings.Usage == nil {
		return
	}
	c.counted = true
	c.server.settings.Usage.Count(accountName(c.account), at)
}
