//! Message handlers of the control actor.

use super::actor::{DispatchActor, settle_report};
use super::handle::BindReply;
use super::messages::{
    Cancel, Enqueue, Finish, Leave, LinkFailure, LinkUp, PeerBatch, PeerHello, PrepareHello,
    Progress, SetConfig, SetMembers, Started, Status, StatusAnswer, Tick,
};
use crate::clock::{ClockInstant, now_ms};
use crate::logging::{LogEvent, log_event};
use crate::metrics::METRICS;
use dockgate_core::{SlotOutcome, WaitingRequest};
use dockgate_proto::operator::PeerStatus;
use dockgate_proto::{HelloReply, HelloRequest, PeerMessage};
use xtra::{Context, Handler};

/// Implements a synchronous handler and counts the time that it takes.
macro_rules! handle {
    ($message:ty, $return:ty, |$actor:ident, $name:ident| $body:block) => {
        impl Handler<$message> for DispatchActor {
            type Return = $return;

            async fn handle(&mut self, $name: $message, _: &mut Context<Self>) -> $return {
                let started = ClockInstant::now();
                let $actor = self;
                let result = $body;
                let busy_us = started.elapsed().as_micros() as u64;
                METRICS.control_busy_us.inc_by(busy_us);
                result
            }
        }
    };
}

handle!(Started, (), |actor, started| {
    actor.handle = Some(started.0);
});

handle!(Enqueue, (), |actor, message| {
    let Enqueue {
        request,
        queue_limit,
        reply,
    } = message;
    let WaitingRequest { id, .. } = request;
    match actor.entry.enqueue(request, queue_limit) {
        Ok(actions) => {
            actor.bind_replies.insert(id, reply);
            actor.process_actions(actions);
        }
        Err(error) => drop(reply.send(BindReply::Refused(error))),
    }
});

handle!(Cancel, (), |actor, message| {
    actor.bind_replies.remove(&message.0);
    actor.entry.cancel(message.0);
});

handle!(Progress, (), |actor, message| {
    let Progress(id, cost) = message;
    if let Some(scheduler) = actor.entry.record_cost(id, cost) {
        actor.settle(scheduler, id, cost, None, now_ms());
    }
});

handle!(Finish, (), |actor, message| {
    let Finish(id, cost, slot_outcome) = message;
    actor.finish(id, cost, slot_outcome);
    actor.process_actions(Vec::new());
});

handle!(PeerBatch, Option<Vec<PeerMessage>>, |actor, batch| {
    if actor.links.is_linked(batch.from) {
        actor.batch_reply = Some((batch.from, Vec::new()));
        if let Some(link) = actor.links.get_mut(batch.from) {
            link.record_contact();
        }
        actor.receive_all(batch.from, batch.messages);
        let free = actor.free_slot_updates(batch.from);
        let reply = actor.batch_reply.take().map(|(_, reply)| reply);
        reply.map(|mut reply| {
            reply.extend(free);
            reply
        })
    } else {
        // Without a link, grants could not be sent to the peer; it retries the batch later.
        None
    }
});

handle!(PeerHello, HelloReply, |actor, hello| {
    let PeerHello { from, request } = hello;
    actor.receive_all(from, request.settles);
    actor.scheduler.forget_box(from);
    actor.receive_all(from, request.adopts);
    actor.links.forget_announced(from);
    let ledger = match request.wants_ledger {
        true => actor.scheduler.full_reports(),
        false => Vec::new(),
    };
    HelloReply {
        incarnation: actor.incarnation,
        config_version: actor.config.version,
        ledger,
        free: actor.free_slot_updates(from),
    }
});

handle!(PrepareHello, HelloRequest, |actor, message| {
    let peer = message.0;
    let adopts = actor.entry.running_requests_of(peer).into_iter();
    let settles = actor
        .links
        .get_mut(peer)
        .map(|link| link.undelivered_settles.clone());
    HelloRequest {
        settles: settles.unwrap_or_default(),
        adopts: adopts.map(PeerMessage::from).collect(),
        wants_ledger: !actor.has_ledger,
    }
});

handle!(LinkUp, (), |actor, message| {
    let LinkUp(peer, reply) = message;
    let now = now_ms();
    if let Some(link) = actor.links.get_mut(peer) {
        link.linked = true;
        link.changed_ms = now;
        link.record_contact();
        link.undelivered_settles.clear();
        log_event(&LogEvent::Link {
            peer: &link.member.name,
            up: true,
            reason: String::new(),
        });
    }
    actor.entry.connect(peer);
    for report in &reply.ledger {
        actor.has_ledger = true;
        actor.scheduler.merge(report, now);
    }
    actor.receive_all(peer, reply.free);
    actor.rebuild_if_liveness_changed();
});

handle!(LinkFailure, (), |actor, failure| {
    let LinkFailure {
        peer,
        undelivered,
        reason,
    } = failure;
    let suspect_ms = actor.suspect_ms();
    if let Some(link) = actor.links.get_mut(peer)
        && link.close(suspect_ms)
    {
        log_event(&LogEvent::Link {
            peer: &link.member.name,
            up: false,
            reason,
        });
    }
    actor.entry.disconnect(peer);
    actor.scheduler.forget_demand(peer);
    for message in undelivered {
        match message {
            // The peer may not have received the grant, so its slot is free again.
            PeerMessage::Grant(id, ..) => {
                let report = settle_report(id, 0, Some(SlotOutcome::Answered));
                actor.scheduler.settle(peer, report, now_ms());
            }
            message => actor.links.send(peer, message),
        }
    }
    actor.process_actions(Vec::new());
});

handle!(SetMembers, (), |actor, message| {
    let members = message.0;
    for key in actor.links.keys() {
        if !members.iter().any(|member| member.key == key) {
            actor.remove_member(key);
        }
    }
    for member in members {
        match actor.links.get_mut(member.key) {
            Some(link) if link.member.address == member.address => {
                link.member.leaving |= member.leaving;
            }
            Some(_) => {
                actor.remove_member(member.key);
                actor.add_member(member);
            }
            None => actor.add_member(member),
        }
    }
    actor.rebuild_topology();
});

handle!(SetConfig, (), |actor, message| {
    let config = message.0;
    let shares = config.workspaces.iter();
    let shares = shares.map(|(key, workspace)| (key, workspace.share));
    actor.scheduler.set_shares(shares.collect());
    actor.config = config;
    actor.rebuild_topology();
});

handle!(Tick, (), |actor, _message| {
    let now = now_ms();
    let actions = actor.entry.tick(now);
    actor.scheduler.tick(now);
    actor.process_actions(actions);
    actor.request_pauses(now);
    actor.rebuild_if_liveness_changed();
    if now >= actor.report_due_ms {
        let report_every_ms = actor.settings.schedule.report_every.as_millis() as u64;
        actor.report_due_ms = now + report_every_ms;
        actor.send_reports();
        actor.update_metrics();
    }
});

handle!(Leave, (), |actor, _message| {
    actor.local_box.may_schedule = false;
    for key in actor.links.keys() {
        actor.links.send(key, PeerMessage::Leaving);
    }
    actor.rebuild_topology();
});

handle!(Status, StatusAnswer, |actor, _message| {
    let peers = actor.links.iter().map(|link| PeerStatus {
        name: link.member.name.clone(),
        domain: link.member.domain.clone(),
        linked: link.linked,
        leaving: link.member.leaving,
    });
    StatusAnswer {
        name: actor.settings.name.clone(),
        domain: actor.settings.domain.clone(),
        config_version: actor.config.version,
        platform_reachable: actor.cell.platform_reachable(),
        waiting: actor.entry.waiting(),
        running: actor.entry.running_count(),
        endpoints: actor.scheduler.endpoint_count(),
        held: actor.scheduler.held_grants(),
        invariant_violations: dockgate_core::invariant_violations(),
        peers: peers.collect(),
    }
});
