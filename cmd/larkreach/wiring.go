package main

import (
	"bytes"
	"context"
	"encoding/json"

	mb "mulleinbeam"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/transport"
	"mulleinbeam/internal/wire"
)

// This file joins the parts: what the protocol's formats say is put in the router's terms, and the other way round.

// handler puts clients' handovers before the router.
type handler struct{ router *routing.Router }

func (d handler) Take(h protocol.Handover) (*protocol.Refusal, func()) {
	id := string(h.ID)
	v := d.router.Accept(routing.Message{
		ID: id, Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TTL: h.Left,
		Body: bytes.Clone(h.Body),
	})
	switch v.Kind {
	case routing.Accepted:
		return nil, func() { d.router.CancelMessage(id) }
	case routing.AlreadyAccepted:
		return nil, nil // whoever handed it in first has been told
	}
	return refusal(v), nil
}

func (d handler) Pass(h protocol.Handover, up *transport.Upload) (*protocol.Refusal, <-chan transport.Passed) {
	done := make(chan transport.Passed, 1) // the router does not wait
	v := d.router.AcceptLong(routing.Message{
		ID: string(h.ID), Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TTL: h.Left,
		Long: &routing.Long{BodySource: up, OnEnd: func(e routing.LongResult) { done <- passed(e) }},
	})
	if v.Kind == routing.Accepted {
		return nil, done
	}
	return refusal(v), nil
}

// refusal is the answer to a message that was not taken on.
func refusal(v routing.Verdict) *protocol.Refusal {
	switch v.Kind {
	case routing.Failed:
		return &protocol.Refusal{Status: 504, Reason: "can't be delivered"}
	case routing.AlreadyEnded:
		return &protocol.Refusal{Status: 409, Reason: "this id has ended"}
	case routing.UnknownClass:
		return &protocol.Refusal{Status: 422, Reason: "unknown class", Close: true}
	case routing.UnknownDestination:
		return &protocol.Refusal{Status: 422, Reason: "unknown destination", Close: true}
	case routing.Unconfirmed: // no answer is the only true one
		return &protocol.Refusal{Close: true}
	case routing.Stopped:
		return &protocol.Refusal{Status: 503, Reason: "going down", RetryAfter: v.RetryAfter, Close: true}
	}
	return &protocol.Refusal{Status: 503, Reason: "come again", RetryAfter: v.RetryAfter}
}

// passed is the answer to a long message that was taken on and has ended.
func passed(e routing.LongResult) transport.Passed {
	if e.Kind == routing.AlreadyAccepted {
		return transport.Passed{}
	}
	r := &protocol.Refusal{Status: 502, Reason: "not delivered", Run: protocol.NeverRan, Close: true}
	if e.MayHaveRun {
		r.Run = protocol.MayHaveRun
	}
	switch {
	case e.Kind == routing.Refused: // it may be handed in again, harmlessly even where it may have run
		r.RetryAfter = e.RetryAfter
		if !e.MayHaveRun {
			r.Status, r.Reason = 503, "come again"
		}
	case e.TimedOut:
		r.Status = 504
	}
	return transport.Passed{Refusal: r, Told: e.ClientAnswered}
}

// notifier passes the router's notices to the reporter.
type notifier struct{ reporter *transport.Reporter }

func (n notifier) Notify(x routing.DeliveryReport) {
	n.reporter.Add(transport.Pending{
		Notice: protocol.Notice{ID: x.ID, HandedBack: x.Returned, RetryAfter: x.RetryAfter}, Done: x.Done, May: x.MaySend,
	})
}

// caller makes the router's calls over the endpoints' connections.
type caller struct{ endpoints *transport.Endpoints }

func (i caller) CloseIdle(endpoint string) { i.endpoints.CloseIdle(endpoint) }

func (i caller) Call(ctx context.Context, c routing.Attempt) routing.Result {
	if up, long := c.BodySource.(*transport.Upload); long {
		return i.pass(ctx, c, up)
	}
	r := i.endpoints.Call(ctx, transport.Call{
		Call: protocol.Call{ID: c.ID, Key: c.Key, Host: c.Address, Body: c.Body},
		Name: c.Endpoint, Address: c.Address, Fresh: c.NewConnection, Begin: c.Begin,
	})
	res := routing.Result{Outcome: ends[r.End]}
	if r.End == transport.Answered {
		res = result(r.Reply)
	}
	res.ReusedConnection = r.Kept
	return res
}

// pass makes a call with a long message. What its client brought about speaks of no endpoint.
func (i caller) pass(ctx context.Context, c routing.Attempt, up *transport.Upload) routing.Result {
	r := i.endpoints.Pass(ctx, transport.Passage{
		Call: transport.Call{
			Call: protocol.Call{ID: c.ID, Key: c.Key, Host: c.Address},
			Name: c.Endpoint, Address: c.Address, Fresh: c.NewConnection, Begin: c.Begin,
		},
		Upload: up, Settle: c.RecordDelivery,
	})
	res := routing.Result{Outcome: passEnds[r.End]}
	switch {
	case r.End == pump.Answered:
		res = result(r.Reply)
	case r.End == pump.TimeUp && r.Sent: // nothing but its answer was awaited
		res.Outcome = mb.TimedOut
	case !r.Begun && r.End == pump.Broken:
		res.Outcome = mb.ConnectFailed
	case !r.Begun:
		res.Outcome = mb.Moot
	}
	res.ReusedConnection, res.BodyConsumed = r.Kept, !r.Again
	return res
}

// passEnds are the outcomes of calls with long messages of which the first byte was written.
var passEnds = map[pump.End]mb.Outcome{
	pump.Delivered: mb.OK, pump.Spoilt: mb.Failed, pump.Broken: mb.Reset, pump.EndpointStalled: mb.TimedOut,
	pump.ClientGone: mb.Cancelled, pump.ClientStalled: mb.Cancelled, pump.ClientBad: mb.Cancelled,
	pump.TimeUp: mb.Cancelled, pump.Aborted: mb.Cancelled, pump.NotBegun: mb.Moot,
}

// ends are the outcomes of calls that were not answered. One whose answer is spoilt is an error: the endpoint is there,
// and its connection was not a dead one.
var ends = map[transport.CallEnd]mb.Outcome{
	transport.NotBegun: mb.Moot, transport.Unconnected: mb.ConnectFailed, transport.Broken: mb.Reset,
	transport.Spoilt: mb.Failed, transport.Abandoned: mb.TimedOut,
}

// result reads an endpoint's answer as an outcome.
func result(r protocol.Reply) routing.Result {
	var res routing.Result
	var stats map[string]float64
	if len(r.Load) > 0 && json.Unmarshal(r.Load, &stats) == nil {
		res.Limit = wire.LimitReport(stats)
	}
	switch r.Status {
	case 200:
		res.Outcome = mb.OK
	case 429:
		res.Outcome, res.RetryAfter = mb.Full, r.Wait
	case 503:
		if res.Outcome = mb.Full; r.OverSlots {
			res.Outcome = mb.Moot
		}
	case 504:
		res.Outcome = mb.Moot
	case 410:
		res.Outcome, res.Final = mb.Moot, true
	default:
		res.Outcome = mb.Failed
	}
	return res
}

var states = map[protocol.Status]mb.Readiness{
	protocol.Serving: mb.Serving, protocol.Draining: mb.Draining, protocol.Deleted: mb.Deleted,
}

// listOf puts discovery's list in the router's terms.
func listOf(d protocol.List, saved bool) routing.EndpointList {
	out := routing.EndpointList{Whole: d.Whole, Saved: saved}
	for _, p := range d.Endpoints {
		out.Endpoints = append(out.Endpoints, routing.Endpoint{
			Name: p.Name, Address: p.Address, Zone: p.Zone, Kind: p.Kind, Destination: p.Group, Weight: p.Weight,
			State: states[p.Status],
		})
	}
	return out
}
