package vmlist_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin/vmlist"
)

func startList(t *testing.T) *vmlist.List {
	t.Helper()
	list, err := vmlist.Start(func(viewer string, vm ports.VM) string {
		if viewer == "far" && vm.Name == "a" {
			return "127.0.0.1:9"
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	return list
}

// view returns the list as the viewer reads it.
func view(t *testing.T, list *vmlist.List, viewer string) []ports.VM {
	t.Helper()
	response, err := http.Get(list.ViewURL(viewer))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		VMs []ports.VM `json:"vms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.VMs
}

func TestRewritesAddressesPerViewer(t *testing.T) {
	list := startList(t)
	list.Set(ports.VM{Name: "a", Address: "127.0.0.1:1"})
	if got := view(t, list, "near")[0].Address; got != "127.0.0.1:1" {
		t.Errorf("address seen by near: %s", got)
	}
	if got := view(t, list, "far")[0].Address; got != "127.0.0.1:9" {
		t.Errorf("address seen by far: %s", got)
	}
}

func TestShowsLaggingFrozenEmptyAndLeavingStates(t *testing.T) {
	list := startList(t)
	list.Set(ports.VM{Name: "a"})
	list.SetLag(time.Hour)
	if got := view(t, list, "x"); len(got) != 0 {
		t.Errorf("the list with lag shows a change too early: %v", got)
	}
	list.SetLag(0)
	list.SetFrozen(true)
	list.MarkLeaving("a")
	if got := view(t, list, "x"); got[0].Leaving {
		t.Error("the frozen list shows a later change")
	}
	list.SetFrozen(false)
	if got := view(t, list, "x"); !got[0].Leaving {
		t.Error("the unfrozen list does not show the change")
	}
	list.SetEmpty(true)
	if got := view(t, list, "x"); len(got) != 0 {
		t.Errorf("the empty list shows VMs: %v", got)
	}
}
