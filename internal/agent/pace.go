package agent

import (
	"time"

	"eelgrassring.dev/internal/clock"
)

// maxFullInterval is the longest time between two full summaries, unless one alone takes
// longer at the rate limit. The loads that they carry are of no use when they are older than
// most requests take.
const maxFullInterval = 900 * time.Millisecond

// treePace paces the regular reports and summaries of a node in the tree of nodes. A
// full summary of many replicas takes more than a second at the rate limit. In between,
// the root sends partial ones, so that the other nodes hear that it lives and that the
// configuration is confirmed. They would otherwise read the store themselves.
type treePace struct {
	// nextFullAt is when the bytes sent so far admit the next full update.
	nextFullAt time.Time
	// latestFullAt is when the next full update is due whatever was sent since the last one.
	latestFullAt time.Time
}

// add records an update of the given size, sent at the time now. Partial updates come with
// the changes of the registry. After many of these, their bytes would delay the next full
// update by minutes.
func (p *treePace) add(bytes int, isPartial bool, now time.Time) {
	if isPartial {
		p.nextFullAt = p.nextFullAt.Add(durationAtRate(bytes, treeBytesPerSecond))
		if p.nextFullAt.After(p.latestFullAt) {
			p.nextFullAt = p.latestFullAt
		}
		return
	}
	p.nextFullAt = now.Add(min(max(treeInterval, durationAtRate(bytes, treeBytesPerSecond)), maxFullDelay))
	p.latestFullAt = clock.Later(p.nextFullAt, now.Add(maxFullInterval))
}

// maxFullDelay bounds the time until the next full update after one that came with many
// changes of the registry.
const maxFullDelay = 2 * time.Second

// delay returns the time from now until the next regular update.
func (p *treePace) delay(isRoot bool, now time.Time) time.Duration {
	untilFull := p.nextFullAt.Sub(now)
	if isRoot {
		return min(untilFull, heartbeatInterval)
	}
	return untilFull
}
