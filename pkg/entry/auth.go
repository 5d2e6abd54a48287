package entry

import (
	"net/http"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
)

// keyIndex is the index of API keys of one configuration version.
type keyIndex struct {
	config *config.Config
	keys   *auth.Index
}

// authenticate returns the configuration in force and the workspace of the request's API key.
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
	w := index.keys.Workspace(key)
	if w == nil {
		return nil, nil, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	return current, w, nil
}
