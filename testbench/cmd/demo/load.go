package main

import (
	"context"
	"sync"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

// lastCallsTimeout limits the wait for the calls that are open at the end of the load.
const lastCallsTimeout = 5 * time.Second

// workspaceLoad is a load that keeps openCalls calls of one workspace open. Each of them
// generates the given number of tokens.
type workspaceLoad struct {
	workspace ports.WorkspaceID
	class     ports.ClassName
	openCalls int
	tokens    int
}

// generateLoad makes calls until ctx is done and waits for the last answers. The calls
// of workspace "assessors" alone would use the full capacity of all engines.
func generateLoad(ctx context.Context, f *fleet.Fleet, caller *fleet.Caller) {
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(lastCallsTimeout, cancelCalls) })
	defer stop()
	var group sync.WaitGroup
	for _, load := range []workspaceLoad{
		{workspace: "assessors", class: fleet.ClassDraft, openCalls: 24, tokens: 60},
		{workspace: "mine", class: fleet.ClassQuestion, openCalls: 6, tokens: 15},
		{workspace: "border-post", class: fleet.ClassQuestion, openCalls: 3, tokens: 10},
	} {
		for i := range load.openCalls {
			group.Go(func() {
				for ctx.Err() == nil {
					caller.Do(callsCtx, f.Daemons[i%len(f.Daemons)], fleet.Call{
						Workspace: load.workspace,
						Service:   modelService,
						Class:     load.class,
						Stream:    true,
						Tokens:    load.tokens,
					})
				}
			})
		}
	}
	group.Wait()
}
