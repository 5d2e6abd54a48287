package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/openai"
)

// models responds with the models that the workspace may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request, _ string) error {
	_, workspace, err := s.authenticate(r)
	if err != nil {
		return err
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, name := range workspace.Models {
		list.Data = append(list.Data, openai.Model{ID: name, Object: "model", OwnedBy: "cassiawall"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}

// service forwards a call to the plain service whose route matches.
func (s *Server) service(w http.ResponseWriter, r *http.Request, id string) error {
	current, workspace, err := s.authenticate(r)
	if err != nil {
		return err
	}
	service, route := findRoute(current, workspace, r)
	if route == nil || s.opt.Services == nil {
		return fault.New(fault.NotFound, "%s %s is no declared route of workspace %s", r.Method, r.URL.Path, workspace.Name)
	}
	r.Body = http.MaxBytesReader(w, r.Body, workspace.Limits.BodyBytes)
	s.opt.Services.Dispatch(w, r, ServiceCall{RequestID: id, Workspace: workspace, Service: service, Route: route})
	return nil
}

// findRoute returns the route of w with the longest path that matches r, and its service. Both are nil
// if no route matches.
func findRoute(c *config.Config, w *config.Workspace, r *http.Request) (*config.Service, *config.Route) {
	var service *config.Service
	var best *config.Route
	for _, name := range w.Services {
		candidate, ok := c.Service(name)
		if !ok {
			continue
		}
		for i := range candidate.Routes {
			route := &candidate.Routes[i]
			if matches(route, r) && (best == nil || len(route.Path) > len(best.Path)) {
				service, best = candidate, route
			}
		}
	}
	return service, best
}

// matches reports whether the route accepts the method and path of r. Whole path segments are
// compared, so that /book does not match /bookings.
func matches(route *config.Route, r *http.Request) bool {
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
		return false
	}
	rest, ok := strings.CutPrefix(r.URL.Path, strings.TrimSuffix(route.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
