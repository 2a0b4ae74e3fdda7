package deadlinequeue_test

import (
	"fmt"
	"time"

	"quincegap/internal/structures/deadlinequeue"
)

func ExampleQueue() {
	queue := deadlinequeue.Queue[string]{Less: func(a, b string) bool { return a < b }}
	queue.Put("renew the lease", 8*time.Second)
	queue.Put("send a heartbeat", 2*time.Second)
	queue.Put("poll", 2*time.Second)
	queue.Put("renew the lease", time.Second)
	for queue.Len() > 0 {
		item, deadline, _ := queue.Peek()
		queue.Remove(item)
		fmt.Println(deadline, item)
	}
	// Output:
	// 1s renew the lease
	// 2s poll
	// 2s send a heartbeat
}
