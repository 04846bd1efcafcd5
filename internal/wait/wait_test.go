package wait_test

import (
	"context"
	"testing"
	"time"

	"birchwood.example/birchwood/internal/wait"
)

func TestFor(t *testing.T) {
	live, cancel := context.WithCancel(context.Background())
	if !wait.For(live, 0) || !wait.Until(live, time.Unix(1, 0)) {
		t.Error("a wait that is over reports false")
	}
	cancel()
	if wait.For(live, time.Hour) || wait.Until(live, time.Now().Add(time.Hour)) {
		t.Error("a wait whose context has ended reports true")
	}
	if wait.For(live, 0) {
		t.Error("a wait that is over reports true though its context has ended")
	}
}
