package workpool

import (
	"slices"
	"sync"
	"testing"
)

func TestTasksOfSameKeyRunInOrder(t *testing.T) {
	const tasks = 100
	p := New(4)
	defer p.Stop()
	var order []int
	var done sync.WaitGroup
	done.Add(tasks)
	for i := range tasks {
		p.Submit("key", func() {
			order = append(order, i)
			done.Done()
		})
	}
	done.Wait()
	if !slices.IsSorted(order) || len(order) != tasks {
		t.Errorf("tasks ran in order %v", order)
	}
}

func TestSubmitAfterStopReportsFalse(t *testing.T) {
	p := New(1)
	p.Stop()
	if p.Submit("key", func() {}) {
		t.Error("a stopped pool accepted a task")
	}
}
