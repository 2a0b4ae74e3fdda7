package emulator

import (
	"time"
)

// jobState is the state of a job.
type jobState int

// The states of a job.
const (
	queued   jobState = iota // waits for a slot
	working                  // has a slot, and shares the cores
	blocked                  // has a slot, and waits for Resume or Release
	orphaned                 // working, but cancelled
	overhead                 // shares the cores, and needs no slot
)

// job is work that a server has accepted.
type job struct {
	id        uint64
	work      float64 // seconds of one core of speed 1
	finish    float64 // what Server.attained has to reach
	heapIndex int     // in finishHeap
	order     uint64  // of offers
	state     jobState
	expires   time.Duration // 0 for never
}

// finishHeap is a heap of the jobs that share the cores, the one that ends first on top.
type finishHeap []*job

func (f finishHeap) Len() int { return len(f) }

func (f finishHeap) Less(i, j int) bool {
	if f[i].finish != f[j].finish {
		return f[i].finish < f[j].finish
	}
	return f[i].order < f[j].order
}

func (f finishHeap) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

func (f *finishHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*f)
	*f = append(*f, j)
}

func (f *finishHeap) Pop() any {
	old := *f
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	return j
}
