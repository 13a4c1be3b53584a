package pause

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	if !For(t.Context(), time.Millisecond) {
		t.Error("a pause that was not interrupted reports false")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if For(ctx, time.Hour) {
		t.Error("an interrupted pause reports true")
	}
}
