//! Where a caller's request goes: to its home.

use super::Step;
use super::input::{Action, Call, CallKind, Holder, Response, Ticket};
use super::placing::hand_over_candidates;
use super::record::{Record, Replica, Role};
use crate::Home;
use crate::message::{Ending, Message, MessageReply, RequestSpec};
use crate::owner::{Owner, OwnerEvent};
use crate::witness::WitnessEvent;
use kernel::{Code, Failure, NodeId};

/// Rounds that one relay follows before it gives up.
const RELAY_ROUNDS: u32 = 3;

/// Whom a relay waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leg {
    Owner,
    Witness,
    Successor,
}

/// A request on its way to its home.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    terms: RequestSpec,
    home: Home,
    round: u64,
    leg: Leg,
    /// Whether another entry relayed it to this one.
    from_peer: bool,
    rounds_left: u32,
    /// Entry that it was sent to.
    to: NodeId,
    /// Entries to ask once the home is lost.
    hand_over_candidates: Vec<NodeId>,
}

impl Step<'_> {
    /// Takes a request on or passes it to its home.
    ///
    /// `round` is what the entry that relayed it knows; a caller's own request has none.
    pub(super) fn submit(&mut self, ticket: Ticket, terms: RequestSpec, round: Option<u64>) {
        let Some(home) = Home::parse(&terms.key.id) else {
            let failure = Failure::new(Code::MalformedKey, "it names no home");
            return self.respond(ticket, Response::Failed(failure));
        };
        let owned = self.table.owns(&terms.key);
        if owned || home.owner == self.table.me {
            return self.submit_here(ticket, terms, &home, round);
        }
        let relay = Relay {
            terms,
            home,
            round: round.unwrap_or(1),
            leg: Leg::Owner,
            from_peer: round.is_some(),
            rounds_left: RELAY_ROUNDS,
            to: NodeId::default(),
            hand_over_candidates: Vec::new(),
        };
        if relay.from_peer && relay.home.witness != self.table.me {
            return self.respond(ticket, home_lost(&relay.home));
        }
        // Another entry may have found the owner silent that this one reaches.
        self.try_owner(ticket, relay);
    }

    fn try_owner(&mut self, ticket: Ticket, relay: Relay) {
        if self.members.is_gone(&relay.home.owner) {
            return self.try_witness(ticket, relay, WitnessEvent::Demand);
        }
        let to = relay.home.owner.clone();
        self.send_submit(ticket, Relay { leg: Leg::Owner, ..relay }, to);
    }

    /// Turns to the witness; `event` says what became of the owner.
    fn try_witness(&mut self, ticket: Ticket, relay: Relay, event: WitnessEvent) {
        if relay.home.witness == self.table.me {
            let round = relay.from_peer.then_some(relay.round);
            return self.demand(ticket, relay.terms, &relay.home.owner, round, event);
        }
        if relay.home.witness == relay.home.owner || self.members.is_gone(&relay.home.witness) {
            return self.ask_successors(ticket, relay);
        }
        let to = relay.home.witness.clone();
        self.send_submit(ticket, Relay { leg: Leg::Witness, ..relay }, to);
    }

    /// Asks the entries that the request may have been given to when its home left.
    fn ask_successors(&mut self, ticket: Ticket, relay: Relay) {
        let hand_over_candidates = hand_over_candidates(self.members, &relay.terms.key);
        self.ask_successor(ticket, Relay { leg: Leg::Successor, hand_over_candidates, ..relay });
    }

    fn ask_successor(&mut self, ticket: Ticket, mut relay: Relay) {
        match relay.hand_over_candidates.pop() {
            Some(to) => self.send_submit(ticket, relay, to),
            None => self.respond(ticket, home_lost(&relay.home)),
        }
    }

    fn send_submit(&mut self, ticket: Ticket, relay: Relay, to: NodeId) {
        let message = Message::Submit {
            terms: relay.terms.clone(),
            round: relay.round,
            // A successor has the request or not; only the witness may have to settle it first.
            owner_silent: relay.leg == Leg::Witness,
        };
        let kind = CallKind::Submit(ticket);
        let call = Call { key: relay.terms.key.clone(), round: relay.round, kind };
        self.table.relays.insert(ticket, Relay { to: to.clone(), ..relay });
        self.actions.push(Action::Send { to, call, message });
    }

    pub(super) fn on_submit_reply(&mut self, ticket: Ticket, reply: Option<MessageReply>) {
        let Some(relay) = self.table.relays.remove(&ticket) else { return };
        match (relay.leg, reply) {
            (_, Some(MessageReply::Over(over))) => self.on_over(ticket, relay, over),
            (leg, Some(MessageReply::Done)) => {
                let holder = self.located(&relay, leg);
                self.respond(ticket, Response::Located(holder));
            }
            (Leg::Owner, Some(MessageReply::Failure(failure))) if failure.code == Code::Leaving => {
                self.try_witness(ticket, relay, WitnessEvent::Declined);
            }
            (Leg::Successor, _) => self.ask_successor(ticket, relay),
            (_, Some(MessageReply::Failure(failure))) if failure.code != Code::PeerUnreachable => {
                self.respond(ticket, Response::Failed(failure));
            }
            (Leg::Owner, _) => self.try_witness(ticket, relay, WitnessEvent::Demand),
            (Leg::Witness, _) => self.ask_successors(ticket, relay),
        }
    }

    /// The round that was sent is over; a caller that still waits wants the next one.
    fn on_over(&mut self, ticket: Ticket, relay: Relay, over: u64) {
        if relay.from_peer {
            return self.respond(ticket, Response::Over(over));
        }
        if relay.rounds_left == 0 {
            let failure = Failure::new(Code::Overloaded, relay.terms.key.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let relay = Relay { round: over + 1, rounds_left: relay.rounds_left - 1, ..relay };
        match relay.leg {
            Leg::Owner => self.try_owner(ticket, relay),
            Leg::Witness => self.try_witness(ticket, relay, WitnessEvent::Demand),
            Leg::Successor => {
                let to = relay.to.clone();
                self.send_submit(ticket, relay, to);
            }
        }
    }

    fn located(&self, relay: &Relay, leg: Leg) -> Holder {
        let home = &relay.home;
        let mut others = hand_over_candidates(self.members, &relay.terms.key);
        match leg {
            // As the witness, this entry reads from the owner and turns to itself.
            Leg::Owner if home.witness == self.table.me => Holder::Remote(self.me(), vec![]),
            Leg::Owner => {
                others.push(home.witness.clone());
                Holder::Remote(home.owner.clone(), others)
            }
            Leg::Witness | Leg::Successor => {
                // What the owner knows may be a round that is over.
                others.retain(|other| *other != home.owner);
                Holder::Remote(relay.to.clone(), others)
            }
        }
    }

    /// Takes a request on as its owner, or finds the record of an earlier attempt.
    pub(super) fn submit_here(
        &mut self,
        ticket: Ticket,
        terms: RequestSpec,
        home: &Home,
        round: Option<u64>,
    ) {
        let key = terms.key.clone();
        let (members, refuses_new) = (self.members, self.table.refuses_new);
        let Some(record) = self.record(&key) else {
            return self.start(ticket, terms, home, round.unwrap_or(1), round.is_some());
        };
        if record.terms.digest != terms.digest {
            let failure = Failure::new(Code::KeyReused, key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        }
        let lost = match &record.shown {
            Some(Ending::Follow(to)) => record.terms.repeatable && members.is_gone(to),
            _ => false,
        };
        if lost && !refuses_new {
            let round = record.round;
            return self.restart_taken(ticket, &key, round);
        }
        match record.next_round() {
            Some(next) if round.is_none_or(|round| round >= next) => {
                self.start(ticket, terms, home, next, round.is_some());
            }
            // A late or repeated message must not begin what nobody asks for any more.
            Some(next) => self.respond(ticket, Response::Over(next - 1)),
            None if record.accepted || !record.is_open() => {
                self.respond(ticket, Response::Located(Holder::Local));
            }
            None => record.waiting.push(ticket),
        }
    }

    fn start(
        &mut self,
        ticket: Ticket,
        terms: RequestSpec,
        home: &Home,
        round: u64,
        from_peer: bool,
    ) {
        let elsewhere = !from_peer && home.owner == self.table.me && home.witness != home.owner;
        if self.table.refuses_new && elsewhere {
            let (home, leg, rounds_left) = (home.clone(), Leg::Witness, RELAY_ROUNDS);
            let (to, hand_over_candidates) = (NodeId::default(), Vec::new());
            let relay =
                Relay { terms, home, round, leg, from_peer, rounds_left, to, hand_over_candidates };
            return self.try_witness(ticket, relay, WitnessEvent::Declined);
        }
        let refusal = if self.table.refuses_new {
            Some(Code::Leaving)
        } else {
            (self.table.counts().1 >= self.table.limits.max_open).then_some(Code::Overloaded)
        };
        if let Some(code) = refusal {
            let failure = Failure::new(code, self.table.me.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let key = terms.key.clone();
        if home.owner != self.table.me {
            return self.restart_taken(ticket, &key, round);
        }
        let role = Role::Owner(Owner::offer(terms.repeatable));
        let mut record = Record::new(terms.clone(), role, round);
        record.waiting.push(ticket);
        let sole = home.witness == home.owner;
        record.replica = if sole { Replica::Sole } else { Replica::Offered(home.witness.clone()) };
        record.answer.set_alone(sole);
        self.table.records.insert(key.clone(), record);
        if sole {
            return self.run(&key, OwnerEvent::Hold(crate::HoldReply::Held));
        }
        self.send_hold(&key, home.witness.clone());
    }

    /// Runs a request again that this entry took over, or whose new holder is gone.
    fn restart_taken(&mut self, ticket: Ticket, key: &kernel::Key, round: u64) {
        let Some(record) = self.record(key) else { return };
        let repeatable = record.terms.repeatable;
        let Some(owner) = record.owner() else { return };
        let right = owner.right();
        record.role = Role::Owner(Owner::take_over(repeatable, right));
        record.round = round;
        record.ending = None;
        record.shown = None;
        record.accepted = false;
        record.waiting.push(ticket);
        self.perform(key, crate::OwnerNext::Dispatch { attempt: 1 });
    }
}

fn home_lost(home: &Home) -> Response {
    let text = format!("{} and {}", home.owner, home.witness);
    Response::Failed(Failure::new(Code::HomeLost, text))
}
