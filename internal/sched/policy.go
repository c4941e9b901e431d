package sched

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// scorer scores the backend servers that passed the filter. The lowest score wins; ties go to the first
// name. The service record names the policy; all but "cost" are baselines for comparison.
type scorer func(g *Group, r *Request, b *backend) float64

var scorers = map[string]scorer{
	"cost":         scoreCost,
	"first-come":   scoreCost,
	"round-robin":  scoreRoundRobin,
	"random":       scoreRandom,
	"least-loaded": scoreReportedLoad,
	"two-choices":  scoreTwoChoices,
	"prefix":       scorePrefix,
}

// UsesLoadReports reports whether a policy scores by the engines' own load reports.
func UsesLoadReports(policy string) bool { return policy == "least-loaded" || policy == "two-choices" }

// ignoresTiers reports whether a policy serves requests in order of arrival.
func ignoresTiers(policy string) bool { return policy != "cost" }

// fillPenalty is the estimated relative slowdown of an answer on a full engine.
const fillPenalty = 0.5

// scoreCost estimates the duration: uncached prefill, then tokens at the learned interval of the server,
// longer the fuller the server is.
func scoreCost(g *Group, r *Request, b *backend) float64 {
	fill := float64(len(b.runs)) / float64(b.limit())
	return b.estimate(r, g.expectedOutputRatio()) * (1 + fillPenalty*fill)
}

func scoreRoundRobin(g *Group, _ *Request, b *backend) float64 {
	n := len(g.sortedNames)
	return float64((g.position(b.spec.Name) - int(g.grants%uint64(n)) + n) % n)
}

func scoreRandom(g *Group, _ *Request, b *backend) float64 {
	seed := binary.BigEndian.AppendUint64([]byte(b.spec.Name), g.grants)
	return float64(xxhash.Sum64(seed))
}

func scoreReportedLoad(_ *Group, _ *Request, b *backend) float64 {
	return float64(b.reportedLoad) / float64(b.spec.Slots)
}

// scoreTwoChoices compares the reported load of two servers chosen at random.
func scoreTwoChoices(g *Group, r *Request, b *backend) float64 {
	const notDrawn = 1e9
	better := 0
	own := scoreRandom(g, r, b)
	for _, name := range g.sortedNames {
		if scoreRandom(g, r, g.backends[name]) < own {
			better++
		}
	}
	if better >= 2 {
		return notDrawn + float64(better)
	}
	return scoreReportedLoad(g, r, b)
}

func scorePrefix(_ *Group, r *Request, b *backend) float64 {
	return -float64(b.prefixes.matched(r.Prefix, r.PromptTokens))
}
