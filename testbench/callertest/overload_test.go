package callertest

import (
	"fmt"
	"testing"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

const (
	floodCalls = 120
	// floodCallPadding is the body padding of each flooding call, in bytes, so
	// that its share of the queue memory is known.
	floodCallPadding = 8 << 10
	// floodQueueMemory is the queue memory of one workspace in bytes, enough for
	// about a dozen flooding calls.
	floodQueueMemory = 128 << 10
)

func overloadOptions() fleet.Options {
	return fleet.Options{
		Engines: []fleet.EngineService{{
			Name: "drafter", Servers: 1, MaxInFlight: 2,
			Engine: engine.Config{BatchSize: 2, TokensPerSecond: 50},
		}},
		AdjustSettings: func(s *settings.Settings) {
			s.Limits.WorkspaceQueueMemory = floodQueueMemory
		},
	}
}

func engineCall(workspace string, padding int) fleet.Call {
	return fleet.Call{
		Workspace: configuration.WorkspaceID(workspace), Service: "drafter",
		Kind: configuration.ServiceKindEngine, Stream: true, Tokens: 10, PaddingBytes: padding,
	}
}

// A workspace that fills its queue memory is refused with queue-full, while the
// calls of another workspace are still served.
func TestFloodIsShedWithoutAffectingOtherWorkspaces(t *testing.T) {
	f := fleet.StartTest(t, overloadOptions())
	caller := fleet.NewCaller()
	defer caller.Close()
	outcomes := make(chan fleet.Outcome, floodCalls)
	for range floodCalls {
		go func() { outcomes <- caller.Do(t.Context(), f.Daemons[0], engineCall("alpha", floodCallPadding)) }()
	}
	completed, refused := 0, 0
	for range floodCalls {
		outcome := <-outcomes
		if outcome.Complete {
			completed++
			continue
		}
		refused++
		if outcome.Reason != "queue-full" || outcome.Run != "not-run" || outcome.RetryAfter == "" {
			t.Errorf("a flooding call ended with %s", fmt.Sprint(outcome))
		}
		if refused > 1 {
			continue
		}
		if other := caller.Do(t.Context(), f.Daemons[0], engineCall("beta", 0)); !other.Complete {
			t.Errorf("another workspace's call ended with %s", fmt.Sprint(other))
		}
	}
	if refused == 0 {
		t.Error("no flooding call was refused: the queue is unbounded")
	}
	if completed == 0 {
		t.Error("no flooding call was served")
	}
}
