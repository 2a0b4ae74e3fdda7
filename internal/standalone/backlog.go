package standalone

import "log"

const (
	// maxChunkEntries is the maximum number of list entries that the loop applies in one event, which takes about a millisecond.
	// Without chunks a complete list of 10,000 new endpoints delayed every request by 40 ms.
	maxChunkEntries = 500
	// maxBacklogSteps is the maximum number of waiting steps. When it is exceeded, all of them run before other events, which slows
	// discovery down.
	maxBacklogSteps = 200
)

// backlog is a queue of steps that the loop runs one by one, with other events in between. The loop owns it.
type backlog struct {
	steps []func() // waiting steps, oldest first
}

// closedChannel is closed, so a receive from it never blocks.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// ready returns a channel from which a receive succeeds immediately if a step is waiting; otherwise nil, from which a receive blocks.
func (b *backlog) ready() <-chan struct{} {
	if len(b.steps) == 0 {
		return nil
	}
	return closedChannel
}

// runNext removes the oldest step and runs it. It must not be called if no step is waiting.
func (b *backlog) runNext() {
	first := b.steps[0]
	b.steps[0] = nil // so that it can be garbage collected
	b.steps = b.steps[1:]
	if len(b.steps) == 0 {
		b.steps = nil
	}
	first()
}

// add appends steps. If no step is waiting, a single new step runs immediately.
func (b *backlog) add(steps ...func()) {
	if len(b.steps) == 0 && len(steps) == 1 {
		steps[0]()
		return
	}
	b.steps = append(b.steps, steps...)
	if len(b.steps) <= maxBacklogSteps {
		return
	}
	log.Printf("discovery: %d chunks of lists are waiting; applying all of them before other events", len(b.steps))
	for len(b.steps) > 0 {
		b.runNext()
	}
}
