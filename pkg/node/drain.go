package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

func (n *Node) callersServer() *http.Server {
	return &http.Server{
		Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveCallers serves until shutdown and then drains.
func (n *Node) serveCallers(ctx context.Context, s *http.Server) error {
	n.waitReady(ctx)
	served := make(chan error, 1)
	go func() { served <- serve(s, n.listeners.callers) }()
	n.ready.Store(true)
	event.NodeReady.Log(ctx, n.opt.Logger, slog.String("node", n.opt.Settings.Name))
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return nil
	case <-n.stop:
	}
	n.drain(ctx, s)
	n.flushClaims(ctx)
	n.gossip.Leave(ctx)
	return <-served
}

// settleTimeout bounds the wait for the recording of outcomes. Without it a shutdown during an
// outage of the object API lasts as long as the outage.
const claimFlushTimeout = 5 * time.Second

// settleClaims waits until the outcomes of requests that run at most once are recorded. Repeats of
// those that are not learn that the outcome is unknown.
func (n *Node) flushClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimFlushTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

// drain goes on serving until load balancers have had time to notice, lets the running requests finish within the drain bound and then ends them with a
// typed error.
func (n *Node) drain(ctx context.Context, s *http.Server) {
	n.ready.Store(false)
	n.entry.Drain()
	n.gossip.SetDraining(ctx, true)
	event.NodeDraining.Log(ctx, n.opt.Logger, slog.Int("running", n.entry.Running()))
	wait.Pause(ctx, n.opt.Settings.DrainNotice.D())
	drainCtx, cancel := context.WithTimeout(ctx, n.opt.Settings.DrainBound.D())
	defer cancel()
	if s.Shutdown(drainCtx) != nil {
		n.entry.Stop()
		finalCtx, cancelFinal := context.WithTimeout(ctx, finalResponseTimeout)
		defer cancelFinal()
		_ = s.Shutdown(finalCtx)
	}
}

// lastWordTimeout is the time to write the typed endings after the drain bound.
const finalResponseTimeout = 2 * time.Second
