package entry

import (
	"net/http"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
)

// keyIndex caches the API key index of one configuration.
type keyIndex struct {
	config *config.Config
	keys   *auth.Index
}

// authenticate returns the current configuration and the workspace of the request's API key. The
// error is of kind fault.PlatformUnavailable if the node has no configuration yet, or
// fault.Unauthenticated.
func (s *Server) authenticate(r *http.Request) (*config.Config, *config.Workspace, error) {
	current := s.opt.Board.CurrentConfig()
	if current == nil {
		return nil, nil, fault.New(fault.PlatformUnavailable, "no configuration is in force yet")
	}
	index := s.keys.Load()
	if index == nil || index.config != current {
		index = &keyIndex{config: current, keys: auth.NewIndex(current)}
		s.keys.Store(index)
	}
	key := auth.BearerKey(r.Header.Get("Authorization"))
	if key == "" {
		return nil, nil, fault.New(fault.Unauthenticated, "the Authorization header holds no bearer token")
	}
	workspace := index.keys.Workspace(key)
	if workspace == nil {
		return nil, nil, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	return current, workspace, nil
}
