// Package workpool runs tasks on a fixed number of workers. Tasks with the same
// key run in order on one worker. It is imported by internal/app and its
// subpackages.
package workpool

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// queueCapacity is the maximum number of tasks that wait for one worker.
const queueCapacity = 4096

// Pool is a fixed number of workers, each with a bounded queue.
type Pool struct {
	queues   []chan func()
	stopped  chan struct{}
	stopOnce sync.Once
	workers  sync.WaitGroup
}

// New starts a pool with the given number of workers, at least 1.
func New(workers int) *Pool {
	p := &Pool{stopped: make(chan struct{})}
	for range workers {
		queue := make(chan func(), queueCapacity)
		p.queues = append(p.queues, queue)
		p.workers.Add(1)
		go p.runTasks(queue)
	}
	return p
}

// Submit queues a task behind earlier tasks with the same key. It blocks while
// the worker's queue is full, and returns false once the pool is stopped.
func (p *Pool) Submit(key string, task func()) bool {
	queue := p.queues[xxhash.Sum64String(key)%uint64(len(p.queues))]
	select {
	case <-p.stopped:
		return false
	default:
	}
	select {
	case queue <- task:
		return true
	case <-p.stopped:
		return false
	}
}

// Stop waits for the running tasks to end. Queued tasks may be dropped.
func (p *Pool) Stop() {
	p.stopOnce.Do(func() { close(p.stopped) })
	p.workers.Wait()
}

func (p *Pool) runTasks(queue <-chan func()) {
	defer p.workers.Done()
	for {
		select {
		case <-p.stopped:
			return
		case task := <-queue:
			task()
		}
	}
}
