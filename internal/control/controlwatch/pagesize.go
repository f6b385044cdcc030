package controlwatch

import (
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
)

const (
	// firstPage and minPage are the first and the least size of a part of a control host's list.
	firstPage = instances.MaxPageBytes
	minPage   = 4 << 10
	// quickPage is the time of a part of which twice the size arrives well before watchTimeout,
	// even if the control host delays the answer by watchWait.
	quickPage = watchTimeout / 4
)

// pageSize is the size of the parts in which a control host's list is asked for. It is halved
// when a call times out, so that a slow host or link gets on with a list of any length, and
// doubled when a part that fills it arrives quickly.
type pageSize int

// timedOut records that a call has timed out and reports whether smaller parts are left.
func (p *pageSize) timedOut() bool {
	before := *p
	*p = max(*p/2, minPage)
	return *p < before
}

// answered records the changes of an answer and the time of its call.
func (p *pageSize) answered(changes controlapi.Changes, took time.Duration) {
	size := 0
	for i := range changes {
		size += changes[i].EncodedBytes()
	}
	if took <= quickPage && size >= int(*p)/2 {
		*p = min(2**p, instances.MaxPageBytes)
	}
}
