//! Feeds inputs to the request table and executes the resulting actions.

use crate::record::Record;
use crate::requests::Requests;
use cluster::Cluster;
use kernel::prelude::*;
use ledger::{
    Action, Call, Ending, Input, MembershipView, Message, MessageReply, PeerEntry, RequestTable,
    Response,
};
use member::MemberState;
use peer::{Reply, Request};

/// Timeout of a request submitted to its witness because the owner does not answer, as a multiple
/// of the peer timeout: the witness may need several calls to claim the request or take it over.
const WITNESS_TIMEOUT_FACTOR: u32 = 8;

/// The cluster's membership in the form that the request table needs.
pub(crate) struct ClusterView<'a>(pub(crate) &'a Cluster);

impl MembershipView for ClusterView<'_> {
    fn is_gone(&self, node: &NodeId) -> bool {
        self.0.is_gone(node)
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        let is_leaving =
            |member: member::Member| member.node == *node && member.state == MemberState::Leaving;
        self.0.members().into_iter().any(is_leaving)
    }

    fn data_centre(&self) -> Name {
        self.0.local_member().data_centre
    }

    fn peers(&self) -> Vec<PeerEntry> {
        let peers =
            self.0.members().into_iter().filter(|member| member.node != *self.0.local_node());
        let to_peer = |member: member::Member| PeerEntry {
            node: member.node,
            data_centre: member.data_centre,
            available: member.state == MemberState::Alive,
        };
        peers.map(to_peer).collect()
    }
}

impl Requests {
    /// Passes one input to the request table and executes the resulting actions.
    pub(crate) fn feed(self: &Arc<Self>, input: Input) {
        self.with_table(|table| {
            let key = key_of(&input).cloned();
            if let Some(record) = key.and_then(|key| self.record(table, &key))
                && !matches!(input, Input::Chunk { .. })
            {
                record.add_decision(describe_input(&input));
            }
            for action in table.handle(input, &ClusterView(&self.services.cluster)) {
                self.execute(table, action);
            }
        });
    }

    /// Passes an input to the request table and waits for the response to its ticket.
    pub(crate) async fn feed_and_wait(
        self: &Arc<Self>,
        input: impl FnOnce(u64) -> Input,
    ) -> Response {
        let (ticket, rx) = self.new_ticket();
        self.feed(input(ticket));
        let dropped = || {
            Response::Failed(Failure::new(
                Code::Internal,
                "the ticket was dropped without a response",
            ))
        };
        rx.await.unwrap_or_else(|_| dropped())
    }

    fn execute(self: &Arc<Self>, table: &RequestTable, action: Action) {
        match action {
            Action::Send { to, call, message } => self.send(table, to, call, message),
            Action::Claim(key) => {
                let requests = self.clone();
                tokio::spawn(async move {
                    let result = requests.run_claim(&key).await;
                    requests.feed(Input::Claim { key, result });
                });
            }
            Action::Dispatch { key, attempt } => {
                let Some(record) = self.record(table, &key) else { return };
                record.add_decision(format!("dispatch {attempt}"));
                let (requests, dispatched) = (self.clone(), record.clone());
                let task = tokio::spawn(async move {
                    let event = requests.dispatch(&dispatched, attempt).await;
                    requests.feed(Input::Attempt { key, attempt, event });
                });
                record.set_attempt(task.abort_handle());
            }
            Action::Cancel(key) => {
                if let Some(record) = self.record(table, &key) {
                    record.cancel();
                }
            }
            Action::Respond(ticket, response) => self.respond(ticket, response),
            Action::Changed(key) => self.on_changed(table, &key),
            Action::Accepted(key) => {
                self.counters.accepted.add(1, &[]);
                if let Some(record) = self.record(table, &key) {
                    record.begin_round(self.clock.now());
                }
            }
            Action::Ended(key, ending) => self.on_ended(table, &key, &ending),
        }
    }

    fn on_changed(&self, table: &RequestTable, key: &Key) {
        let Some(record) = self.record(table, key) else { return };
        if table.read(key, usize::MAX).is_some_and(|part| part.ending.is_some()) {
            record.set_ended(self.clock.now());
        }
        record.notify_changed();
    }

    fn on_ended(&self, table: &RequestTable, key: &Key, ending: &Ending) {
        info!(self.log, "ended"; "key" => key.to_string(), "ending" => format!("{ending:?}"));
        self.count_ending(ending);
        if let Some(record) = self.record(table, key) {
            record.add_decision(format!("{ending:?}"));
        }
        self.request_ended.notify_waiters();
    }

    fn send(self: &Arc<Self>, table: &RequestTable, to: NodeId, call: Call, mut message: Message) {
        let time_left =
            self.record(table, &call.key).map(|record| record.time_left(self.clock.now()));
        if let (Some(time_left), Message::Hold { terms, .. } | Message::HandOver { terms, .. }) =
            (time_left, &mut message)
        {
            terms.left_ms = time_left.as_millis() as u64;
        }
        if matches!(message, Message::HandOver { .. }) {
            info!(self.log, "hands over"; "key" => call.key.to_string(), "to" => to.to_string());
        }
        let timeout = match &message {
            Message::Submit { owner_silent: true, .. } => {
                self.settings.peer_timeout * WITNESS_TIMEOUT_FACTOR
            }
            _ => self.settings.peer_timeout,
        };
        let requests = self.clone();
        tokio::spawn(async move {
            let req = Request::Record(message);
            let reply = requests.services.cluster.call(&to, req, Some(timeout)).await;
            requests.feed(Input::Reply { call, reply: message_reply(reply) });
        });
    }

    /// Returns the execution state of a request in the request table; creates it if there is none.
    pub(crate) fn record(&self, table: &RequestTable, key: &Key) -> Option<Arc<Record>> {
        let spec = table.spec(key)?;
        self.with_records(|records| {
            let create = || Record::new(spec, self.clock.now());
            Some(records.entry(key.clone()).or_insert_with(create).clone())
        })
    }
}

/// Converts the result of a peer call; `None` when the entry did not answer or is another
/// incarnation.
fn message_reply(reply: Result<Reply, Failure>) -> Option<MessageReply> {
    match reply {
        Ok(Reply::Done) => Some(MessageReply::Done),
        Ok(Reply::Record(reply)) => Some(reply),
        Err(failure) if failure.code != Code::PeerUnreachable => {
            Some(MessageReply::Failure(failure))
        }
        _ => None,
    }
}

fn key_of(input: &Input) -> Option<&Key> {
    match input {
        Input::Submit { terms, .. } => Some(&terms.key),
        Input::Reply { call, .. } => Some(&call.key),
        Input::Read { key, .. } | Input::Claim { key, .. } => Some(key),
        Input::Chunk { key, .. } | Input::Attempt { key, .. } => Some(key),
        Input::Message { .. } | Input::Members | Input::RefuseNew | Input::HandOverAll => None,
    }
}

fn describe_input(input: &Input) -> String {
    match input {
        Input::Submit { .. } => "submitted".to_owned(),
        Input::Reply { call, reply } => format!("{:?}: {reply:?}", call.kind),
        other => format!("{other:?}"),
    }
}
