package trace

import (
	"math"
	"math/rand/v2"
	"strconv"
)

// logNormal describes a log-normal distribution by its median and the standard
// deviation of its logarithm; samples are clamped.
type logNormal struct {
	median, sigma float64
	low, high     int64
}

func (l logNormal) sample(r *rand.Rand) int64 {
	v := int64(math.Round(l.median * math.Exp(l.sigma*r.NormFloat64())))
	return min(max(v, l.low), l.high)
}

// shape is a class of programs.
type shape struct {
	profile, prefix, model, adapter string

	weight           float64 // share of the arrivals
	turns            logNormal
	first, more, out logNormal
	tools            []tool
	pauseShare       float64 // share of the turns that follow a tool pause
	agentShare       float64 // share of the programs that start sub-agents at one step
	agents           [2]int  // smallest and largest number of sub-agents
	ends             []ending
}

// tool is a tool that runs outside of the system during a pause.
type tool struct {
	name string
	ms   logNormal
}

// ending is a service call in the second half of a program.
type ending struct {
	service, op string
	share       float64
	keyed       bool
	work        logNormal
}

// shapes returns the classes of programs of a deployment.
func shapes(deployment string) []shape {
	if deployment == Brackenfield {
		return []shape{
			{profile: "quick", prefix: "sys-quick", model: "kerf-14b", weight: 0.60,
				turns: logNormal{2, 0.4, 1, 5}, first: logNormal{120, 0.5, 20, 800}, more: logNormal{150, 0.6, 20, 1200}, out: logNormal{110, 0.5, 20, 500},
				tools: []tool{{"catalog", logNormal{300, 0.5, 50, 3000}}}, pauseShare: 0.4,
				ends: []ending{{"catalog", "lookup", 0.3, false, logNormal{60, 0.5, 10, 500}}}},
			{profile: "consult", prefix: "sys-consult", model: "kerf-14b", weight: 0.22,
				turns: logNormal{9, 0.4, 4, 30}, first: logNormal{2600, 0.6, 400, 16000}, more: logNormal{700, 0.7, 60, 6000}, out: logNormal{230, 0.5, 40, 900},
				tools: []tool{{"measure", logNormal{6000, 0.9, 500, 90000}}, {"drawing", logNormal{2500, 0.7, 300, 30000}}}, pauseShare: 0.7,
				agentShare: 0.08, agents: [2]int{2, 3},
				ends: []ending{{"orders", "order", 0.35, true, logNormal{180, 0.4, 50, 1500}}}},
			{profile: "orders", prefix: "sys-orders", model: "kerf-14b", adapter: "orders", weight: 0.18,
				turns: logNormal{4, 0.3, 2, 8}, first: logNormal{500, 0.5, 100, 3000}, more: logNormal{260, 0.5, 40, 1500}, out: logNormal{120, 0.4, 20, 500},
				tools: []tool{{"stock", logNormal{800, 0.6, 100, 8000}}}, pauseShare: 0.6,
				ends: []ending{
					{"orders", "order", 0.9, true, logNormal{180, 0.4, 50, 1500}},
					{"orders", "invoice", 0.7, true, logNormal{150, 0.4, 50, 1500}},
					{"dispatch", "send", 0.7, true, logNormal{250, 0.5, 50, 2500}}}},
		}
	}
	return []shape{
		{profile: "diagnose", prefix: "sys-diagnose", model: "gate-9b", weight: 0.62,
			turns: logNormal{5, 0.4, 2, 16}, first: logNormal{260, 0.6, 40, 2500}, more: logNormal{220, 0.7, 20, 2500}, out: logNormal{130, 0.5, 20, 700},
			tools: []tool{{"manual", logNormal{500, 0.6, 50, 6000}}, {"telemetry", logNormal{1200, 0.8, 100, 20000}}}, pauseShare: 0.6,
			ends: []ending{
				{"parts", "lookup", 0.5, false, logNormal{60, 0.5, 10, 500}},
				{"booking", "book", 0.55, true, logNormal{160, 0.4, 40, 1200}},
				{"deposit", "charge", 0.3, true, logNormal{220, 0.5, 40, 2000}}}},
		{profile: "case-history", prefix: "sys-case", model: "gate-9b", weight: 0.28,
			turns: logNormal{4, 0.4, 2, 10}, first: logNormal{1800, 0.6, 200, 12000}, more: logNormal{300, 0.6, 30, 3000}, out: logNormal{160, 0.5, 20, 700},
			tools: []tool{{"records", logNormal{700, 0.6, 80, 8000}}}, pauseShare: 0.5,
			ends: []ending{{"parts", "lookup", 0.2, false, logNormal{60, 0.5, 10, 500}}}},
		{profile: "head-office", prefix: "sys-office", model: "gate-9b", weight: 0.10,
			turns: logNormal{4, 0.3, 2, 8}, first: logNormal{2500, 0.6, 300, 16000}, more: logNormal{600, 0.6, 50, 5000}, out: logNormal{260, 0.5, 40, 900},
			tools: []tool{{"ledger", logNormal{1500, 0.7, 200, 15000}}}, pauseShare: 0.6,
			agentShare: 0.5, agents: [2]int{2, 4}},
	}
}

// maxHistory is the longest history of a generated agent, in tokens. It is half
// of the prefix cache of the smaller engines, so that every engine can run every
// call.
const maxHistory = 32_000

// sample draws one program of the shape. The pause factor stretches tool
// pauses in the scenario of long consultations.
func (s *shape) sample(r *rand.Rand, pauseFactor float64) Agent {
	a := Agent{Prefix: s.prefix, Model: s.model, Adapter: s.adapter}
	turns := int(s.turns.sample(r))
	spawn := -1
	if s.agentShare > 0 && r.Float64() < s.agentShare {
		spawn = turns / 2
	}
	var history int64
	for i := range turns {
		if history > maxHistory {
			break
		}
		if i == spawn {
			n := s.agents[0] + r.IntN(s.agents[1]-s.agents[0]+1)
			st := Step{}
			for range n {
				st.Agents = append(st.Agents, s.subAgent(r))
			}
			a.Steps = append(a.Steps, st)
		}
		st := Step{New: s.more.sample(r), Out: s.out.sample(r)}
		if i == 0 {
			st.New = s.first.sample(r)
		} else if r.Float64() < s.pauseShare {
			t := s.tools[r.IntN(len(s.tools))]
			st.Tool, st.PauseMs = t.name, int64(float64(t.ms.sample(r))*pauseFactor)
		}
		history += st.New + st.Out
		a.Steps = append(a.Steps, st)
	}
	for i, e := range s.ends {
		if r.Float64() >= e.share {
			continue
		}
		st := Step{Service: e.service, Op: e.op, WorkMs: e.work.sample(r)}
		if e.keyed {
			st.Key = "k" + strconv.Itoa(i)
			// One caller in fifty loses its connection and sends the call again.
			if r.Float64() < 0.02 {
				st.ResendMs = 20 + r.Int64N(400)
			}
		}
		a.Steps = append(a.Steps, st, Step{New: 40 + r.Int64N(60), Out: s.out.sample(r)})
	}
	return a
}

// subAgent draws a sub-agent: two or three turns on a part of the task.
func (s *shape) subAgent(r *rand.Rand) Agent {
	a := Agent{Prefix: s.prefix, Model: s.model, Adapter: s.adapter}
	for i := range 2 + r.IntN(2) {
		st := Step{New: s.more.sample(r), Out: s.out.sample(r)}
		if i > 0 && r.Float64() < s.pauseShare {
			t := s.tools[r.IntN(len(s.tools))]
			st.Tool, st.PauseMs = t.name, t.ms.sample(r)
		}
		a.Steps = append(a.Steps, st)
	}
	return a
}
