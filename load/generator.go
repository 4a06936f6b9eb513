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
	// callTimeoutFactor bounds a call to that many target times, so that late
	// and lost answers are told apart from answers in time.
	callTimeoutFactor = 2
	// maxInFlight bounds the calls of the load tool itself.
	maxInFlight = 20_000
	// idleConns is the number of idle connections kept to each node.
	idleConnsPerNode = 512
	// headerWork identifies a piece of work to the stand-ins.
	headerWork = "X-Work"
)

// arrival is one request of the plan of arrivals.
type arrival struct {
	at     time.Duration
	kind   KindSpec
	client *caller.Caller
	id     string
}

// generator sends requests at the times that were drawn, whatever becomes of
// earlier ones.
type generator struct {
	experiment *Experiment
	// entries has a caller for each VM, which goes through that VM's node
	// first.
	clients []*caller.Caller
	results *results
	rng     *rand.Rand
}

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

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// run sends the arrivals of all stages and waits for their answers.
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

// arrivals draws the arrivals of all kinds in the order of their times.
func (g *generator) arrivals() []arrival {
	var planned []arrival
	var stageStart time.Duration
	for _, s := range g.experiment.Stages {
		planned = append(planned, g.stageArrivals(s, stageStart)...)
		stageStart += s.Length
	}
	return planned
}

// stageArrivals draws a Poisson process of all kinds together.
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

// request sends one request, again after a failure if the clients of the
// experiment do so, and notes what became of it. Times count from the planned
// arrival.
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

// call goes through the entry that was drawn, and through another one when that
// cannot be reached.
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

// classify reads an answer. An answer that is not the request's own is a fault
// of the system.
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
