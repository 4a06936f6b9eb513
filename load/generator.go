package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cuminhollow.example/caller"
	"cuminhollow.example/depot"
	"cuminhollow.example/standin/fleet"
)

const (
	// callTimeoutFactor is the timeout of a call as a multiple of its target
	// time. It is above 1 so that late answers are distinguished from lost ones.
	callTimeoutFactor = 2
	// maxInFlight is the maximum number of requests in flight. When it is
	// reached, later arrivals wait, and the wait counts towards their latency.
	maxInFlight = 20_000
	// idleConnsPerNode is the number of idle connections kept to each node.
	idleConnsPerNode = 512
	// headerWork is the header that carries the ID of a request to the
	// stand-in upstreams, which count runs by it.
	headerWork = "X-Work"
)

// arrival is one planned request.
type arrival struct {
	// at is the planned time, as an offset from the start of the experiment.
	at   time.Duration
	kind KindSpec
	// client sends the request to its entry node.
	client *caller.Caller
	// id identifies the request; the upstream returns it as the answer.
	id string
}

// generator sends requests in an open loop: at random times drawn in advance,
// without waiting for the answers to earlier requests.
type generator struct {
	experiment *Experiment
	// clients has one client for each VM. It tries that VM's node first and
	// then the nodes of the other VMs.
	clients []*caller.Caller
	results *results
	rng     *rand.Rand
}

// newGenerator returns a generator for the nodes of f that records outcomes
// in r.
func newGenerator(e *Experiment, f *fleet.Fleet, r *results) *generator {
	g := &generator{
		experiment: e,
		results:    r,
		rng:        newRNG(e.Seed),
	}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerNode}}
	for i := range f.VMs {
		var addresses []string
		for j := range f.VMs {
			addresses = append(addresses, f.VMs[(i+j)%len(f.VMs)].CallerAddress)
		}
		g.clients = append(g.clients, caller.New(addresses, caller.WithClient(httpClient), caller.WithoutTickets()))
	}
	return g
}

// newRNG returns a generator whose values depend only on seed.
func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// run sends the requests of all stages, starting at start, and waits for their
// answers. It stops sending when ctx is done.
func (g *generator) run(ctx context.Context, start time.Time) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for _, a := range g.arrivals() {
		if wait := time.Until(start.Add(a.at)); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			g.sendRequest(ctx, a, start)
		}()
	}
	wg.Wait()
}

// arrivals draws the arrivals of all stages and kinds, ordered by time.
func (g *generator) arrivals() []arrival {
	var planned []arrival
	var stageStart time.Duration
	for _, s := range g.experiment.Stages {
		planned = append(planned, g.stageArrivals(s, stageStart)...)
		stageStart += s.Length
	}
	return planned
}

// stageArrivals draws the arrivals of one stage as a Poisson process whose rate
// is the sum of the rates of all kinds.
func (g *generator) stageArrivals(s Stage, stageStart time.Duration) []arrival {
	var total float64
	for _, k := range g.experiment.Kinds {
		total += k.Rate * s.rateFactor(k.Name)
	}
	var planned []arrival
	at := stageStart
	for {
		at += time.Duration(g.rng.ExpFloat64() / total * float64(time.Second))
		if at >= stageStart+s.Length {
			return planned
		}
		k := g.pickKind(s, total)
		client := g.clients[g.rng.IntN(len(g.clients))]
		id := fmt.Sprintf("%s-%d-%d", k.Name, stageStart.Milliseconds(), len(planned))
		planned = append(planned, arrival{at: at, kind: k, client: client, id: id})
	}
}

// pickKind draws a kind with a probability proportional to its rate; total is
// the sum of the rates in the stage.
func (g *generator) pickKind(s Stage, total float64) KindSpec {
	point := g.rng.Float64() * total
	for _, k := range g.experiment.Kinds {
		point -= k.Rate * s.rateFactor(k.Name)
		if point < 0 {
			return k
		}
	}
	return g.experiment.Kinds[0]
}

// sendRequest sends one request, resends it after a failure as often as the
// experiment allows, and records the outcome of each attempt. Latency is
// measured from the planned arrival, so delays in sending are part of it.
func (g *generator) sendRequest(ctx context.Context, a arrival, start time.Time) {
	due := start.Add(a.at)
	for attempt := 0; ; attempt++ {
		sent := time.Now()
		outcome := g.call(ctx, a)
		now := time.Now()
		if outcome == outcomeGood && now.Sub(due) > a.kind.Target {
			outcome = outcomeLate
		}
		final := outcome == outcomeGood || outcome == outcomeLate || attempt >= g.experiment.Resend
		g.results.observe(a, outcome, now.Sub(due), now.Sub(sent), final)
		if final {
			return
		}
	}
}

// call sends one attempt to the entry node that was drawn. The client tries
// another node if that one is unreachable.
func (g *generator) call(ctx context.Context, a arrival) outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutFactor*a.kind.Target)
	defer cancel()
	answer, err := a.client.Do(ctx, caller.Work{
		Kind:       a.kind.Name,
		Header:     http.Header{headerWork: {a.id}, depot.HeaderCaller: {a.kind.Caller}},
		Body:       []byte(a.id),
		Idempotent: a.kind.Idempotent,
	})
	return classify(answer, err, a)
}

// classify returns the outcome of a call, regardless of its latency. An answer
// to another request is a fault of the system under test.
func classify(answer *caller.Answer, err error, a arrival) outcome {
	var e *caller.Error
	switch {
	case errors.As(err, &e) && e.Kind == caller.KindNotRun:
		return outcomeNotRun
	case err != nil:
		return outcomeUnknown
	case answer.Status != http.StatusOK:
		return outcomeError
	case string(answer.Body) != a.id:
		return outcomeMixedUp
	default:
		return outcomeGood
	}
}
