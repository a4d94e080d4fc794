//! Accepts the requests that this entry owns and forwards all others to their home.

use super::Step;
use super::input::{Action, Call, CallKind, Holder, Response, Ticket};
use super::placement::hand_over_candidates;
use super::record::{Record, Replica, Role};
use crate::Home;
use crate::message::{Ending, Message, MessageReply, RequestSpec};
use crate::owner::{Owner, OwnerEvent};
use crate::witness::WitnessEvent;
use kernel::{Code, Failure, NodeId};

/// Maximum number of times that a forwarded request is sent again for a later round before it is
/// rejected.
const MAX_FORWARD_ROUNDS: u32 = 3;

/// Receiver of a forwarded request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Owner,
    Witness,
    Candidate,
}

/// A request that was forwarded and whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) struct Forward {
    spec: RequestSpec,
    home: Home,
    round: u64,
    target: Target,
    /// Whether another entry forwarded the request to this one.
    from_peer: bool,
    rounds_left: u32,
    /// Entry that the request was sent to.
    to: NodeId,
    /// Entries to ask when neither owner nor witness responds; the last one is asked first.
    candidates: Vec<NodeId>,
}

impl Step<'_> {
    /// Handles a request at this entry if it is the owner, else forwards the request to its home.
    ///
    /// `round` is the round named by the entry that forwarded the request; `None` for a request
    /// that came directly from a caller.
    pub(super) fn submit(&mut self, ticket: Ticket, spec: RequestSpec, round: Option<u64>) {
        let Some(home) = Home::parse(&spec.key.id) else {
            let failure = Failure::new(Code::MalformedKey, "the key names no owner and witness");
            return self.respond(ticket, Response::Failed(failure));
        };
        let owned = self.table.owns(&spec.key);
        if owned || home.owner == self.table.me {
            return self.submit_here(ticket, spec, &home, round);
        }
        let forward = Forward {
            spec,
            home,
            round: round.unwrap_or(1),
            target: Target::Owner,
            from_peer: round.is_some(),
            rounds_left: MAX_FORWARD_ROUNDS,
            to: NodeId::default(),
            candidates: Vec::new(),
        };
        if forward.from_peer && forward.home.witness != self.table.me {
            return self.respond(ticket, home_lost(&forward.home));
        }
        // This entry may reach an owner that the forwarding entry could not reach.
        self.try_owner(ticket, forward);
    }

    fn try_owner(&mut self, ticket: Ticket, forward: Forward) {
        if self.members.is_gone(&forward.home.owner) {
            return self.try_witness(ticket, forward, WitnessEvent::Submitted);
        }
        let to = forward.home.owner.clone();
        self.send_submit(ticket, Forward { target: Target::Owner, ..forward }, to);
    }

    /// Sends the request to the witness; `event` is the reason why the owner does not handle it.
    fn try_witness(&mut self, ticket: Ticket, forward: Forward, event: WitnessEvent) {
        if forward.home.witness == self.table.me {
            let round = forward.from_peer.then_some(forward.round);
            return self.submit_to_witness(ticket, forward.spec, &forward.home.owner, round, event);
        }
        if forward.home.witness == forward.home.owner || self.members.is_gone(&forward.home.witness)
        {
            return self.ask_candidates(ticket, forward);
        }
        let to = forward.home.witness.clone();
        self.send_submit(ticket, Forward { target: Target::Witness, ..forward }, to);
    }

    /// Asks the entries that may have received the request by a hand-over when its home left.
    fn ask_candidates(&mut self, ticket: Ticket, forward: Forward) {
        let candidates = hand_over_candidates(self.members, &forward.spec.key);
        self.ask_next_candidate(
            ticket,
            Forward { target: Target::Candidate, candidates, ..forward },
        );
    }

    fn ask_next_candidate(&mut self, ticket: Ticket, mut forward: Forward) {
        match forward.candidates.pop() {
            Some(to) => self.send_submit(ticket, forward, to),
            None => self.respond(ticket, home_lost(&forward.home)),
        }
    }

    fn send_submit(&mut self, ticket: Ticket, forward: Forward, to: NodeId) {
        let message = Message::Submit {
            terms: forward.spec.clone(),
            round: forward.round,
            // Only a witness may have to claim or take over the request before it replies; a
            // hand-over candidate either has the request or not.
            owner_silent: forward.target == Target::Witness,
        };
        let kind = CallKind::Submit(ticket);
        let call = Call { key: forward.spec.key.clone(), round: forward.round, kind };
        self.table.forwards.insert(ticket, Forward { to: to.clone(), ..forward });
        self.actions.push(Action::Send { to, call, message });
    }

    pub(super) fn on_submit_reply(&mut self, ticket: Ticket, reply: Option<MessageReply>) {
        let Some(forward) = self.table.forwards.remove(&ticket) else { return };
        match (forward.target, reply) {
            (_, Some(MessageReply::Over(over))) => self.on_over(ticket, forward, over),
            (target, Some(MessageReply::Done)) => {
                let holder = self.holder_after_reply(&forward, target);
                self.respond(ticket, Response::Located(holder));
            }
            (Target::Owner, Some(MessageReply::Failure(failure)))
                if failure.code == Code::Leaving =>
            {
                self.try_witness(ticket, forward, WitnessEvent::OwnerDeclined);
            }
            (Target::Candidate, _) => self.ask_next_candidate(ticket, forward),
            (_, Some(MessageReply::Failure(failure))) if failure.code != Code::PeerUnreachable => {
                self.respond(ticket, Response::Failed(failure));
            }
            (Target::Owner, _) => self.try_witness(ticket, forward, WitnessEvent::Submitted),
            (Target::Witness, _) => self.ask_candidates(ticket, forward),
        }
    }

    /// Handles the reply that the submitted round is over: submits the next round if the request
    /// came from a caller, or returns the reply to the entry that forwarded the request.
    fn on_over(&mut self, ticket: Ticket, forward: Forward, over: u64) {
        if forward.from_peer {
            return self.respond(ticket, Response::Over(over));
        }
        if forward.rounds_left == 0 {
            let failure = Failure::new(Code::Overloaded, forward.spec.key.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let forward = Forward { round: over + 1, rounds_left: forward.rounds_left - 1, ..forward };
        match forward.target {
            Target::Owner => self.try_owner(ticket, forward),
            Target::Witness => self.try_witness(ticket, forward, WitnessEvent::Submitted),
            Target::Candidate => {
                let to = forward.to.clone();
                self.send_submit(ticket, forward, to);
            }
        }
    }

    fn holder_after_reply(&self, forward: &Forward, target: Target) -> Holder {
        let home = &forward.home;
        let mut others = hand_over_candidates(self.members, &forward.spec.key);
        match target {
            // This entry is the witness: it reads from the owner, and from itself if that fails.
            Target::Owner if home.witness == self.table.me => Holder::Remote(self.me(), vec![]),
            Target::Owner => {
                others.push(home.witness.clone());
                Holder::Remote(home.owner.clone(), others)
            }
            Target::Witness | Target::Candidate => {
                // The owner may hold only a round that is over.
                others.retain(|other| *other != home.owner);
                Holder::Remote(forward.to.clone(), others)
            }
        }
    }

    /// Handles a request at its owner: finds its record or starts a new one.
    pub(super) fn submit_here(
        &mut self,
        ticket: Ticket,
        spec: RequestSpec,
        home: &Home,
        round: Option<u64>,
    ) {
        let key = spec.key.clone();
        let (members, refuses_new) = (self.members, self.table.refuses_new);
        let Some(record) = self.record(&key) else {
            return self.start(ticket, spec, home, round.unwrap_or(1), round.is_some());
        };
        if record.spec.digest != spec.digest {
            let failure = Failure::new(Code::KeyReused, key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        }
        let holder_gone = match &record.visible_ending {
            Some(Ending::Follow(to)) => record.spec.repeatable && members.is_gone(to),
            _ => false,
        };
        if holder_gone && !refuses_new {
            let round = record.round;
            return self.restart_taken_over(ticket, &key, round);
        }
        match record.next_round() {
            Some(next) if round.is_none_or(|round| round >= next) => {
                self.start(ticket, spec, home, next, round.is_some());
            }
            // A late or duplicate message must not start a round that no caller waits for.
            Some(next) => self.respond(ticket, Response::Over(next - 1)),
            None if record.accepted || !record.is_open() => {
                self.respond(ticket, Response::Located(Holder::Local));
            }
            None => record.waiting_tickets.push(ticket),
        }
    }

    fn start(
        &mut self,
        ticket: Ticket,
        spec: RequestSpec,
        home: &Home,
        round: u64,
        from_peer: bool,
    ) {
        let witness_may_accept =
            !from_peer && home.owner == self.table.me && home.witness != home.owner;
        if self.table.refuses_new && witness_may_accept {
            let (home, target, rounds_left) = (home.clone(), Target::Witness, MAX_FORWARD_ROUNDS);
            let (to, candidates) = (NodeId::default(), Vec::new());
            let forward =
                Forward { spec, home, round, target, from_peer, rounds_left, to, candidates };
            return self.try_witness(ticket, forward, WitnessEvent::OwnerDeclined);
        }
        let refusal = if self.table.refuses_new {
            Some(Code::Leaving)
        } else {
            let is_full = self.table.counts().1 >= self.table.limits.max_open
                || !self.table.has_room(spec.body.len());
            is_full.then_some(Code::Overloaded)
        };
        if let Some(code) = refusal {
            let failure = Failure::new(code, self.table.me.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let key = spec.key.clone();
        if home.owner != self.table.me {
            return self.restart_taken_over(ticket, &key, round);
        }
        let role = Role::Owner(Owner::offer(spec.repeatable));
        let mut record = Record::new(spec.clone(), role, round);
        record.waiting_tickets.push(ticket);
        let sole = home.witness == home.owner;
        record.replica = if sole { Replica::Sole } else { Replica::Offered(home.witness.clone()) };
        record.answer.set_unreplicated(sole);
        self.table.records.insert(key.clone(), record);
        if sole {
            return self.apply_owner_event(&key, OwnerEvent::Hold(crate::HoldReply::Held));
        }
        self.send_hold(&key, home.witness.clone());
    }

    /// Starts another round of a request that this entry took over, or whose new holder is gone.
    fn restart_taken_over(&mut self, ticket: Ticket, key: &kernel::Key, round: u64) {
        let Some(record) = self.record(key) else { return };
        let repeatable = record.spec.repeatable;
        let Some(owner) = record.owner() else { return };
        let right = owner.right();
        record.role = Role::Owner(Owner::take_over(repeatable, right));
        record.round = round;
        record.ending = None;
        record.visible_ending = None;
        record.accepted = false;
        record.waiting_tickets.push(ticket);
        self.perform_owner_action(key, crate::OwnerAction::Dispatch { attempt: 1 });
    }
}

fn home_lost(home: &Home) -> Response {
    let text = format!("{} and {}", home.owner, home.witness);
    Response::Failed(Failure::new(Code::HomeLost, text))
}
