package router

import (
	"slices"

	"fireflyshift/internal/routing"
)

// mayServe reports whether a request may be served in an availability zone. Route and workspace may each list the allowed
// regions, and both lists apply.
func (r *Router) mayServe(route *routing.Route, w *routing.Workspace, zone string) bool {
	if len(route.Regions) == 0 && (w == nil || len(w.Regions) == 0) {
		return true
	}
	region := r.opt.Regions[zone]
	return admitsRegion(route.Regions, region) && (w == nil || admitsRegion(w.Regions, region))
}

func admitsRegion(regions []string, region string) bool {
	return len(regions) == 0 || (region != "" && slices.Contains(regions, region))
}

// noteUnknownRegions logs the regions of a configuration that no availability zone belongs to. Requests that allow only these
// are refused.
func (r *Router) noteUnknownRegions(c *routing.Config) {
	known := map[string]bool{}
	for _, region := range r.opt.Regions {
		known[region] = true
	}
	logUnknown := func(what string, regions []string) {
		for _, region := range regions {
			if !known[region] {
				known[region] = true // log it once
				r.emit(Note{What: "region is unknown", Subject: region, Detail: what})
			}
		}
	}
	for _, route := range c.Routes {
		logUnknown("route "+route.Name, route.Regions)
	}
	for _, w := range c.Workspaces {
		logUnknown("workspace "+w.Name, w.Regions)
	}
}
