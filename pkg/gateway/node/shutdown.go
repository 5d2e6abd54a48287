package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// shutdown fails the readiness checks until the platform has taken the node out of rotation, then closes idle
// connections and waits for running requests and the release of the lease. Requests that are unfinished near the end are
// answered then. It returns at the latest shutdownMargin before the end of the shutdown grace.
func (n *Node) shutdown(server *http.Server, stopController func()) {
	began := time.Now()
	end := began.Add(n.opt.Settings.ShutdownGrace - shutdownMargin)
	n.stopping.Begin(end.Add(-answerMargin))
	event.NodeDraining.Emit(n.opt.Logger)
	if n.quotas != nil {
		n.quotas.release()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopController()
	}()
	wait.Pause(context.Background(), outOfRotationDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		event.RequestsCutAtStop.Emit(n.opt.Logger, "error", err.Error())
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	event.NodeStopped.Emit(n.opt.Logger, "took_ms", time.Since(began).Milliseconds())
}
