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

// serve serves a listener. The error is nil if the server was shut down or closed.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveCallers serves requests of callers once the node is ready, until Shutdown is called, and then
// drains. It returns at once if ctx ends.
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

// claimFlushTimeout bounds the time to record outcomes. Without it, a shutdown during an outage of the
// object API would last as long as the outage.
const claimFlushTimeout = 5 * time.Second

// flushClaims waits until the outcomes of requests that run at most once are recorded. A repeat of a
// request whose outcome could not be recorded is answered that the outcome is unknown.
func (n *Node) flushClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimFlushTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

// drain reports not ready while it keeps serving for the drain notice, so that load balancers stop
// sending requests. It then closes the listener, lets running requests finish within the drain bound
// and ends those that remain with a typed error.
func (n *Node) drain(ctx context.Context, s *http.Server) {
	n.ready.Store(false)
	n.entry.Drain()
	n.gossip.SetDraining(ctx, true)
	event.NodeDraining.Log(ctx, n.opt.Logger, slog.Int("running", n.entry.Running()))
	wait.Pause(ctx, n.opt.Settings.DrainNotice.AsDuration())
	drainCtx, cancel := context.WithTimeout(ctx, n.opt.Settings.DrainBound.AsDuration())
	defer cancel()
	if s.Shutdown(drainCtx) != nil {
		n.entry.Stop()
		finalCtx, cancelFinal := context.WithTimeout(ctx, finalResponseTimeout)
		defer cancelFinal()
		_ = s.Shutdown(finalCtx)
	}
}

// finalResponseTimeout bounds the time to write the typed errors after the drain bound.
const finalResponseTimeout = 2 * time.Second
