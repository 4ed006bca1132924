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

func (d handler) Accept(h protocol.Submission) (*protocol.Refusal, func()) {
	id := string(h.ID)
	v := d.router.Accept(routing.Message{
		ID: id, Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TimeLeft: h.Timeout,
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

func (d handler) Stream(h protocol.Submission, up *transport.Upload) (*protocol.Refusal, <-chan transport.StreamEnd) {
	done := make(chan transport.StreamEnd, 1) // the router does not wait
	v := d.router.AcceptLong(routing.Message{
		ID: string(h.ID), Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TimeLeft: h.Timeout,
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
func passed(e routing.LongResult) transport.StreamEnd {
	if e.Kind == routing.AlreadyAccepted {
		return transport.StreamEnd{}
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
	return transport.StreamEnd{Refusal: r, OnAnswered: e.ClientAnswered}
}

// notifier passes the router's notices to the reporter.
type notifier struct{ reporter *transport.Reporter }

func (n notifier) Notify(x routing.DeliveryReport) {
	n.reporter.Add(transport.PendingReport{
		DeliveryReport: protocol.DeliveryReport{ID: x.ID, Returned: x.Returned, RetryAfter: x.RetryAfter}, OnAcknowledged: x.Done, MaySend: x.MaySend,
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
	res := routing.Result{Outcome: ends[r.Outcome]}
	if r.Outcome == transport.Answered {
		res = result(r.Reply)
	}
	res.ReusedConnection = r.Reused
	return res
}

// pass makes a call with a long message. What its client brought about speaks of no endpoint.
func (i caller) pass(ctx context.Context, c routing.Attempt, up *transport.Upload) routing.Result {
	r := i.endpoints.Stream(ctx, transport.StreamCall{
		Call: transport.Call{
			Call: protocol.Call{ID: c.ID, Key: c.Key, Host: c.Address},
			Name: c.Endpoint, Address: c.Address, Fresh: c.NewConnection, Begin: c.Begin,
		},
		Upload: up, RecordDelivery: c.RecordDelivery,
	})
	res := routing.Result{Outcome: passEnds[r.Outcome]}
	switch {
	case r.Outcome == pump.Answered:
		res = result(r.Reply)
	case r.Outcome == pump.TimeUp && r.Sent: // nothing but its answer was awaited
		res.Outcome = mb.TimedOut
	case !r.Begun && r.Outcome == pump.Broken:
		res.Outcome = mb.ConnectFailed
	case !r.Begun:
		res.Outcome = mb.NotSent
	}
	res.ReusedConnection, res.BodyConsumed = r.Reused, !r.Retryable
	return res
}

// passEnds are the outcomes of calls with long messages of which the first byte was written.
var passEnds = map[pump.Outcome]mb.Outcome{
	pump.Delivered: mb.OK, pump.Malformed: mb.Failed, pump.Broken: mb.Reset, pump.EndpointStalled: mb.TimedOut,
	pump.ClientGone: mb.Cancelled, pump.ClientStalled: mb.Cancelled, pump.ClientMalformed: mb.Cancelled,
	pump.TimeUp: mb.Cancelled, pump.Aborted: mb.Cancelled, pump.NotBegun: mb.NotSent,
}

// ends are the outcomes of calls that were not answered. One whose answer is spoilt is an error: the endpoint is there,
// and its connection was not a dead one.
var ends = map[transport.CallOutcome]mb.Outcome{
	transport.NotBegun: mb.NotSent, transport.Unconnected: mb.ConnectFailed, transport.Broken: mb.Reset,
	transport.Malformed: mb.Failed, transport.Abandoned: mb.TimedOut,
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
		res.Outcome, res.RetryAfter = mb.Refused, r.RetryAfter
	case 503:
		if res.Outcome = mb.Refused; r.OverSlots {
			res.Outcome = mb.NotSent
		}
	case 504:
		res.Outcome = mb.NotSent
	case 410:
		res.Outcome, res.Final = mb.NotSent, true
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
	out := routing.EndpointList{Whole: d.Snapshot, Saved: saved}
	for _, p := range d.Endpoints {
		out.Endpoints = append(out.Endpoints, routing.Endpoint{
			Name: p.Name, Address: p.Address, Zone: p.Zone, Kind: p.Kind, Destination: p.Group, Weight: p.Weight,
			State: states[p.Status],
		})
	}
	return out
}
