package main

import (
	"context"
	"encoding/json"

	mb "mulleinbeam"
	"mulleinbeam/internal/connpool"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/transport"
	"mulleinbeam/internal/wire"
)

// This file adapts the transport and protocol packages to the router and back.

// handler passes messages submitted by clients to the router. It implements transport.Handler.
type handler struct{ router *routing.Router }

func (d handler) Accept(h protocol.Submission) (*protocol.Refusal, func()) {
	id := string(h.ID)
	v := d.router.Accept(routing.Message{
		ID: id, Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TimeLeft: h.Timeout,
		Body: h.Body, ConnectionAccepted: h.ConnectionAccepted,
	})
	switch v.Kind {
	case routing.Accepted:
		return nil, func() { d.router.CancelMessage(id) }
	case routing.AlreadyAccepted:
		return nil, nil // the first submission has been answered already
	}
	return refusal(v), nil
}

func (d handler) Stream(h protocol.Submission, up *transport.Upload) (*protocol.Refusal, <-chan transport.StreamEnd) {
	done := make(chan transport.StreamEnd, 1) // buffered: the router never blocks on it
	v := d.router.AcceptLong(routing.Message{
		ID: string(h.ID), Key: string(h.Key), Class: string(h.Class), Destination: h.Destination, TimeLeft: h.Timeout,
		Long: &routing.Long{BodySource: up, OnEnd: func(e routing.LongResult) { done <- streamEnd(e) }},
	})
	if v.Kind == routing.Accepted {
		return nil, done
	}
	return refusal(v), nil
}

// refusal returns the response to a message that was not accepted.
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
	case routing.Unconfirmed: // whether it was accepted is unknown, so no status would be correct
		return &protocol.Refusal{Close: true}
	case routing.Stopped:
		return &protocol.Refusal{Status: 503, Reason: "going down", RetryAfter: v.RetryAfter, Close: true}
	}
	return &protocol.Refusal{Status: 503, Reason: "come again", RetryAfter: v.RetryAfter}
}

// streamEnd returns the response to an accepted long message that has ended.
func streamEnd(e routing.LongResult) transport.StreamEnd {
	if e.Kind == routing.AlreadyAccepted {
		return transport.StreamEnd{}
	}
	r := &protocol.Refusal{Status: 502, Reason: "not delivered", Run: protocol.NeverRan, Close: true}
	if e.MayHaveRun {
		r.Run = protocol.MayHaveRun
	}
	switch {
	case e.Kind == routing.Refused: // the client may submit it again, even if it may have run: its class allows repeats
		r.RetryAfter = e.RetryAfter
		if !e.MayHaveRun {
			r.Status, r.Reason = 503, "come again"
		}
	case e.TimedOut:
		r.Status = 504
	}
	return transport.StreamEnd{Refusal: r, OnAnswered: e.ClientAnswered}
}

// notifier passes the router's delivery reports to the reporter.
type notifier struct{ reporter *transport.Reporter }

func (n notifier) Notify(x routing.DeliveryReport) {
	n.reporter.Add(transport.PendingReport{
		DeliveryReport: protocol.DeliveryReport{ID: x.ID, Returned: x.Returned, RetryAfter: x.RetryAfter}, OnAcknowledged: x.Done, MaySend: x.MaySend,
	})
}

// caller makes the router's calls over the endpoints' connections. It implements routing.Caller.
type caller struct{ endpoints *transport.Endpoints }

func (i caller) CloseIdle(endpoint string) { i.endpoints.CloseIdle(endpoint) }

func (i caller) Call(ctx context.Context, c routing.Attempt) routing.Result {
	if up, long := c.BodySource.(*transport.Upload); long {
		return i.stream(ctx, c, up)
	}
	r := i.endpoints.Call(ctx, transportCall(c))
	res := routing.Result{Outcome: callOutcomes[r.Outcome]}
	if r.Outcome == transport.Answered {
		res = result(r.Reply, r.Doubt)
	}
	res.ReusedConnection, res.Waited, res.Connection = r.Reused, r.Waited, routing.ConnectionUse(r.Connection)
	return res
}

// transportCall converts an attempt to a call.
func transportCall(c routing.Attempt) transport.Call {
	call := transport.Call{
		Call: protocol.Call{ID: c.ID, Key: c.Key, Host: c.Address, Body: c.Body},
		Name: c.Endpoint, Address: c.Address, Retry: c.Retry, Begin: c.Begin, OnDoubt: c.OnDoubt, OnRetryAfter: c.OnRetryAfter,
	}
	switch _, long := c.BodySource.(*transport.Upload); {
	case c.NewConnection:
		call.Reuse = connpool.Never
	case long:
		call.Reuse = connpool.RequireRest
	case c.MustNotRepeat:
		call.Reuse = connpool.PreferRest
	}
	return call
}

// stream makes a call with a long message. A call that its client broke off is cancelled and says nothing about the
// endpoint.
func (i caller) stream(ctx context.Context, c routing.Attempt, up *transport.Upload) routing.Result {
	r := i.endpoints.Stream(ctx, transport.StreamCall{
		Call: transportCall(c), Upload: up, RecordDelivery: c.RecordDelivery,
	})
	res := routing.Result{Outcome: streamOutcomes[r.Outcome]}
	switch {
	case r.Outcome == pump.Answered:
		res = result(r.Reply, r.Doubt)
	case r.Outcome == pump.TimeUp && r.Sent: // the body was sent, only the answer was outstanding
		res.Outcome = mb.TimedOut
	case !r.Begun && r.Outcome == pump.Broken:
		res.Outcome = mb.ConnectFailed
	case !r.Begun:
		res.Outcome = mb.NotSent
	}
	res.ReusedConnection, res.BodyConsumed, res.Connection = r.Reused, !r.Retryable, routing.ConnectionUse(r.Connection)
	return res
}

// streamOutcomes maps the outcomes of calls with long messages after the first byte was written.
var streamOutcomes = map[pump.Outcome]mb.Outcome{
	pump.Delivered: mb.OK, pump.Malformed: mb.Failed, pump.Broken: mb.Reset, pump.EndpointStalled: mb.TimedOut,
	pump.ClientGone: mb.Cancelled, pump.ClientStalled: mb.Cancelled, pump.ClientMalformed: mb.Cancelled,
	pump.TimeUp: mb.Cancelled, pump.Aborted: mb.Cancelled, pump.NotBegun: mb.NotSent,
}

// callOutcomes maps the outcomes of calls without a usable answer. A malformed answer counts as a failure, not as a
// reset: the endpoint is alive, and the connection was not a dead idle one.
var callOutcomes = map[transport.CallOutcome]mb.Outcome{
	transport.NotBegun: mb.NotSent, transport.Unconnected: mb.ConnectFailed, transport.Broken: mb.Reset,
	transport.Malformed: mb.Failed, transport.Abandoned: mb.TimedOut,
}

// certainties maps the doubts about answers.
var certainties = map[connpool.Doubt]routing.Certainty{
	connpool.NoDoubt: routing.Certain, connpool.Unconfirmed: routing.Plausible, connpool.EarlyAnswer: routing.InDoubt,
	connpool.SecondAnswer: routing.InDoubt, connpool.CutShort: routing.InDoubt,
}

// result converts an endpoint's answer to a call result.
func result(r protocol.Reply, doubt connpool.Doubt) routing.Result {
	res := routing.Result{Status: r.Status, Certainty: certainties[doubt], DoubtReason: doubt.String()}
	var stats map[string]float64
	if len(r.Load) > 0 && json.Unmarshal(r.Load, &stats) == nil {
		res.Limit = wire.LimitReport(stats)
	}
	switch r.Status {
	case protocol.StatusDelivered:
		res.Outcome = mb.OK
	case 429:
		res.Outcome, res.RetryAfter = mb.Refused, r.RetryAfter
	case 503:
		if res.Outcome = mb.Refused; r.OverSlots {
			res.Outcome = mb.NotSent
		}
	case protocol.StatusNoAttemptsLeft:
		res.Outcome, res.NoAttemptsLeft = mb.NotSent, true
	case protocol.StatusOver:
		res.Outcome, res.Final = mb.NotSent, true
	default:
		res.Outcome = mb.Failed
	}
	return res
}

// readinessStates maps the endpoint statuses of discovery.
var readinessStates = map[protocol.Status]mb.Readiness{
	protocol.Serving: mb.Serving, protocol.Draining: mb.Draining, protocol.Deleted: mb.Deleted,
}

// endpointList converts a discovery list to the router's type.
func endpointList(d protocol.List, saved bool) routing.EndpointList {
	out := routing.EndpointList{Whole: d.Snapshot, Saved: saved}
	for _, p := range d.Endpoints {
		out.Endpoints = append(out.Endpoints, routing.Endpoint{
			Name: p.Name, Address: p.Address, Zone: p.Zone, Kind: p.Kind, Destination: p.Group, Weight: p.Weight,
			StartedAt: int64(p.StartedAt),
			State:     readinessStates[p.Status],
		})
	}
	return out
}
