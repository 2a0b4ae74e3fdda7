package emulator

import (
	"time"
)

// jobState is the state of a job.
type jobState int

// The states of a job.
const (
	queued   jobState = iota // the job waits for a slot
	working                  // the job has a slot and shares the cores
	blocked                  // the job has a slot and waits for Resume or Release
	orphaned                 // the job was cancelled but still works
	overhead                 // the work shares the cores without a slot
)

// job is a unit of work that a server has accepted.
type job struct {
	id        uint64
	work      float64 // amount of work, in seconds of one core of speed 1
	finish    float64 // value of Server.attained at which the job is done
	heapIndex int     // index in finishHeap
	order     uint64  // sequence number among all jobs of the server
	state     jobState
	expires   time.Duration // time at which the job expires; 0 for never
}

// finishHeap is a heap of the jobs that share the cores, with the one that ends first on top.
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
