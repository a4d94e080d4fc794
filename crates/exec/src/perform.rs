//! Feeds inputs to the request table and carries out its actions.

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

/// Peer timeouts that a witness may need to settle a request whose owner is silent.
const WITNESS_TIMEOUTS: u32 = 8;

/// What the cluster knows about other entries.
pub(crate) struct Neighbours<'a>(pub(crate) &'a Cluster);

impl MembershipView for Neighbours<'_> {
    fn is_gone(&self, node: &NodeId) -> bool {
        self.0.is_gone(node)
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        let leaves =
            |member: member::Member| member.node == *node && member.state == MemberState::Leaving;
        self.0.members().into_iter().any(leaves)
    }

    fn data_centre(&self) -> Name {
        self.0.local_member().data_centre
    }

    fn peers(&self) -> Vec<PeerEntry> {
        let others =
            self.0.members().into_iter().filter(|member| member.node != *self.0.local_node());
        let other = |member: member::Member| PeerEntry {
            node: member.node,
            data_centre: member.data_centre,
            available: member.state == MemberState::Alive,
        };
        others.map(other).collect()
    }
}

impl Requests {
    /// Gives the request table one input and carries out what it decides.
    pub(crate) fn feed(self: &Arc<Self>, input: Input) {
        self.with_table(|table| {
            let key = key_of(&input).cloned();
            if let Some(record) = key.and_then(|key| self.known(table, &key))
                && !matches!(input, Input::Chunk { .. })
            {
                record.note(brief(&input));
            }
            for action in table.handle(input, &Neighbours(&self.to.cluster)) {
                self.carry_out(table, action);
            }
        });
    }

    /// Gives the request table an input that someone waits for, and returns the response.
    pub(crate) async fn ask(self: &Arc<Self>, input: impl FnOnce(u64) -> Input) -> Response {
        let (ticket, rx) = self.take_ticket();
        self.feed(input(ticket));
        let lost = || Response::Failed(Failure::new(Code::Internal, "the request was forgotten"));
        rx.await.unwrap_or_else(|_| lost())
    }

    fn carry_out(self: &Arc<Self>, table: &RequestTable, action: Action) {
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
                let Some(record) = self.known(table, &key) else { return };
                record.note(format!("dispatch {attempt}"));
                let (requests, dispatched) = (self.clone(), record.clone());
                let task = tokio::spawn(async move {
                    let event = requests.dispatch(&dispatched, attempt).await;
                    requests.feed(Input::Attempt { key, attempt, event });
                });
                record.set_running(task.abort_handle());
            }
            Action::Cancel(key) => {
                if let Some(record) = self.known(table, &key) {
                    record.cancel();
                }
            }
            Action::Respond(ticket, response) => self.respond(ticket, response),
            Action::Changed(key) => self.changed(table, &key),
            Action::Accepted(key) => {
                self.counters.accepted.add(1, &[]);
                if let Some(record) = self.known(table, &key) {
                    record.begin_round(self.clock.now());
                }
            }
            Action::Ended(key, ending) => self.ended(table, &key, &ending),
        }
    }

    fn changed(&self, table: &RequestTable, key: &Key) {
        let Some(record) = self.known(table, key) else { return };
        if table.read(key, usize::MAX).is_some_and(|part| part.ending.is_some()) {
            record.set_ended(self.clock.now());
        }
        record.touch();
    }

    fn ended(&self, table: &RequestTable, key: &Key, ending: &Ending) {
        info!(self.log, "ended"; "key" => key.to_string(), "ending" => format!("{ending:?}"));
        self.count_ending(ending);
        if let Some(record) = self.known(table, key) {
            record.note(format!("{ending:?}"));
        }
        self.idle.notify_waiters();
    }

    fn send(self: &Arc<Self>, table: &RequestTable, to: NodeId, call: Call, mut message: Message) {
        let left = self.known(table, &call.key).map(|record| record.left(self.clock.now()));
        if let (Some(left), Message::Hold { terms, .. } | Message::HandOver { terms, .. }) =
            (left, &mut message)
        {
            terms.left_ms = left.as_millis() as u64;
        }
        if matches!(message, Message::HandOver { .. }) {
            info!(self.log, "hands over"; "key" => call.key.to_string(), "to" => to.to_string());
        }
        let limit = match &message {
            Message::Submit { owner_silent: true, .. } => self.settings.peer * WITNESS_TIMEOUTS,
            _ => self.settings.peer,
        };
        let requests = self.clone();
        tokio::spawn(async move {
            let req = Request::Record(message);
            let reply = requests.to.cluster.call(&to, req, Some(limit)).await;
            requests.feed(Input::Reply { call, reply: heard(reply) });
        });
    }

    /// Finds what the shell keeps about a request that the request table holds, or starts it.
    pub(crate) fn known(&self, table: &RequestTable, key: &Key) -> Option<Arc<Record>> {
        let terms = table.spec(key)?;
        self.with_records(|records| {
            let fresh = || Record::new(terms.clone(), self.clock.now());
            Some(records.entry(key.clone()).or_insert_with(fresh).clone())
        })
    }
}

/// Returns the reply of an entry; `None` when it stayed silent or is another run.
fn heard(reply: Result<Reply, Failure>) -> Option<MessageReply> {
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

fn brief(input: &Input) -> String {
    match input {
        Input::Submit { .. } => "submitted".to_owned(),
        Input::Reply { call, reply } => format!("{:?}: {reply:?}", call.kind),
        other => format!("{other:?}"),
    }
}
