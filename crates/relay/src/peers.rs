//! Talks to the other entries: what each does, and units of quotas.

use crate::hub::{Heard, Hub};
use crate::message::{Envelope, Followed, Message, State};
use crate::sync;
use coord::{Entry, Transfer};
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Load;
use rand::seq::IteratorRandom;
use rules::Quota;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Entries that are asked at a time how fresh their rules are.
const VOUCHERS: usize = 2;
/// Time between two messages about the present state.
const TELL_EVERY: Duration = Duration::from_millis(150);
/// Entries besides the holder of the duties that are told counts, so that these outlive it.
const COUNTS_KEPT: usize = 2;
/// Messages about the present state of which one bears the counts.
const COUNTS_EVERY: u64 = 4;
/// Most entries that one message goes to.
const MOST_TOLD: usize = 12;
/// Time to wait for units of other entries.
const PULL_WAIT: Duration = Duration::from_millis(25);
/// Part of its savings that an entry is likely to have.
const LIKELY: f64 = 0.4;
/// Least and most entries that are asked for units at a time.
const LEAST_ASKED: usize = 3;
const MOST_ASKED: usize = 40;
/// Entries that are asked for repeats at a time, and repeats asked of each.
const REPEATS_FROM: usize = 4;
const REPEATS_EACH: u32 = 2;
/// Pause after other entries had too little, in milliseconds.
const PULL_PAUSE_MS: Millis = 80;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 60 << 10;

/// The socket for other entries, and the requests for units that are open.
pub(crate) struct Peers {
    socket: UdpSocket,
    pulls: RefCell<BTreeMap<u64, Rc<Pull>>>,
    number: Cell<u64>,
    paused: RefCell<BTreeMap<Name, Millis>>,
}

#[derive(Default)]
struct Pull {
    got: Cell<f64>,
    answers: Cell<usize>,
    news: Notify,
}

impl Peers {
    pub(crate) fn new(socket: UdpSocket) -> Self {
        Self { socket, pulls: RefCell::default(), number: Cell::new(0), paused: RefCell::default() }
    }

    /// Notes the answer to a request for units.
    fn answered(&self, number: u64, units: f64) {
        if let Some(pull) = self.pulls.borrow().get(&number) {
            pull.got.set(pull.got.get() + units);
            pull.answers.set(pull.answers.get() + 1);
            pull.news.notify_one();
        }
    }

    fn send(&self, hub: &Hub, to: &Entry, message: Message) {
        let envelope =
            Envelope { from: hub.settings.name.clone(), incarnation: hub.incarnation, message };
        let (Ok(bytes), Ok(address)) =
            (serde_json::to_vec(&envelope), to.peer.parse::<SocketAddr>())
        else {
            warn!(hub.log, "message not sent"; "to" => %to.name, "cause" => "its address is unreadable");
            return;
        };
        // A datagram that a full socket does not take is like one that was lost.
        let _ = self.socket.try_send_to(&bytes, address);
    }
}

/// Tells the other entries again and again what this one does.
pub(crate) async fn tell(hub: Rc<Hub>) {
    for number in 0_u64.. {
        tokio::time::sleep(TELL_EVERY).await;
        tell_once(&hub, number % COUNTS_EVERY == 0);
    }
}

/// Tells other entries what this one does, and those that keep them its counts.
pub(crate) fn tell_once(hub: &Hub, with_counts: bool) {
    let state = state(hub);
    let roster = hub.roster.borrow();
    let others: Vec<&Entry> =
        roster.present().filter(|entry| entry.name != hub.settings.name).collect();
    if with_counts {
        let counts = {
            let mut usage = hub.usage.borrow_mut();
            usage.prune(Clock::unix_ms());
            usage.recent().clone()
        };
        let state = State { counts, ..state.clone() };
        let leader = hub.leader.borrow();
        let holder = others.iter().filter(|entry| Some(&entry.name) == leader.as_ref());
        let keepers = others.iter().sample(&mut rand::rng(), COUNTS_KEPT);
        for entry in holder.chain(keepers) {
            hub.peers().send(hub, entry, Message::State(state.clone()));
        }
    }
    for entry in others.into_iter().sample(&mut rand::rng(), MOST_TOLD) {
        hub.peers().send(hub, entry, Message::State(state.clone()));
    }
}

fn state(hub: &Hub) -> State {
    let picker = hub.picker.borrow();
    let loads = picker
        .local_loads()
        .map(|(id, load)| (id.clone(), (load.open, load.pending_prompt_tokens)));
    let demand = hub.demand.borrow();
    let work = demand.rates(boot_ms()).map(|(service, rate)| (service.clone(), rate));
    State {
        stopping: hub.stopping.get(),
        sight_age: hub.sight.borrow().age(boot_ms()),
        open: hub.open.get(),
        loads: loads.collect(),
        counts: BTreeMap::new(),
        work: work.collect(),
    }
}

/// Takes messages of other entries in.
pub(crate) async fn listen(hub: Rc<Hub>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let len = match hub.peers().socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(e) => {
                // A refused datagram to an entry that is gone is reported here.
                debug!(hub.log, "receive failed"; "cause" => %e);
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match serde_json::from_slice(&buf[..len]) {
            Ok(envelope) => take(&hub, envelope),
            Err(e) => warn!(hub.log, "unreadable message"; "cause" => %e),
        }
    }
}

fn take(hub: &Rc<Hub>, envelope: Envelope) {
    let Envelope { from, incarnation, message } = envelope;
    match message {
        Message::State(state) => take_state(hub, from, incarnation, state),
        Message::Vouch { asked_at, known } => vouch(hub, &from, asked_at, &known),
        Message::Vouched { asked_at, version, age, told } => {
            take_vouch(hub, &from, asked_at, version, age);
            for told in told {
                sync::take_told(hub, told);
            }
        }
        Message::Ask { number, organisation, units } => {
            let rules = hub.rules.borrow().clone();
            let holder = rules.organisation_named(&organisation);
            let Some(quota) = holder.and_then(|holder| holder.quota) else { return };
            let now = boot_ms();
            let given = hub.purses.borrow_mut().give(&organisation, &quota, units, now).units;
            let roster = hub.roster.borrow();
            if let Some(entry) = roster.get(&from) {
                let message = Message::Give { number, organisation, units: given };
                hub.peers().send(hub, entry, message);
            }
        }
        Message::Give { number, organisation, units } => {
            let rules = hub.rules.borrow().clone();
            let holder = rules.organisation_named(&organisation);
            if let Some(quota) = holder.and_then(|holder| holder.quota) {
                let transfer = Transfer { units };
                hub.purses.borrow_mut().receive(&organisation, &quota, transfer, boot_ms());
            }
            hub.peers().answered(number, units);
        }
        Message::AskRepeats { number, service, count } => {
            let count = hub.retries.borrow_mut().give(&service, count, boot_ms());
            if let Some(entry) = hub.roster.borrow().get(&from) {
                hub.peers().send(hub, entry, Message::GiveRepeats { number, service, count });
            }
        }
        Message::GiveRepeats { number, service, count } => {
            hub.retries.borrow_mut().receive(&service, count, boot_ms());
            hub.peers().answered(number, f64::from(count));
        }
    }
}

/// Asks two of these entries, or of all that are heard, how fresh their rules are and what has
/// changed in the store.
pub(crate) fn ask_vouch(hub: &Hub, named: &[Name]) {
    let asked_at = boot_ms();
    let live = live(hub, asked_at, MOST_TOLD);
    let is_named = |entry: &&Entry| named.is_empty() || named.contains(&entry.name);
    let roster = hub.roster.borrow();
    let readers = roster.present().filter(|entry| named.contains(&entry.name));
    let asked: Vec<&Entry> = live.iter().filter(is_named).chain(readers).collect();
    // Whom the store answers hears of changes from it.
    let known = if hub.store_lost.get() { sync::known(hub) } else { BTreeMap::new() };
    for entry in asked.into_iter().sample(&mut rand::rng(), VOUCHERS) {
        hub.peers().send(hub, entry, Message::Vouch { asked_at, known: known.clone() });
    }
}

fn vouch(hub: &Hub, to: &Name, asked_at: Millis, asked: &BTreeMap<Followed, i64>) {
    let sight = *hub.sight.borrow();
    let roster = hub.roster.borrow();
    let known = sight.version().zip(sight.age(boot_ms())).zip(roster.get(to));
    if let Some(((version, age), entry)) = known {
        let told = asked.iter().filter_map(|(followed, after)| sync::tell(hub, *followed, *after));
        let message = Message::Vouched { asked_at, version, age, told: told.collect() };
        hub.peers().send(hub, entry, message);
    }
}

/// Takes in how fresh another entry's rules are.
///
/// The age counts from the sending of the question by this entry's own clock, so that neither the
/// time on the way nor a suspension here makes the answer look younger than it is.
fn take_vouch(hub: &Hub, from: &Name, asked_at: Millis, version: u64, age: Millis) {
    let known = hub.sight.borrow().version();
    if known == Some(version) {
        hub.sight.borrow_mut().confirm(version, asked_at.saturating_sub(age));
    } else if known.is_none_or(|known| version > known) {
        debug!(hub.log, "rules elsewhere are newer"; "other" => %from, "version" => version,
            "known" => known);
        hub.rules_newer.set(true);
        hub.rules_wanted.notify_one();
    }
}

fn take_state(hub: &Rc<Hub>, from: Name, incarnation: u64, state: State) {
    if !state.counts.is_empty() {
        let mut tallies = hub.tallies.borrow_mut();
        tallies.hear(&from, incarnation, state.counts, Clock::unix_ms());
    }
    let mut heard = hub.heard.borrow_mut();
    let known = heard.entry(from.clone()).or_default();
    if incarnation < known.incarnation {
        return;
    }
    if state.stopping != known.stopping || incarnation != known.incarnation {
        info!(hub.log, "entry heard"; "other" => %from, "incarnation" => incarnation,
            "stopping" => state.stopping);
    }
    let load = |(id, (open, unread))| (id, Load { open, pending_prompt_tokens: unread });
    *known = Heard {
        at: boot_ms(),
        incarnation,
        stopping: state.stopping,
        sight_age: state.sight_age,
        open: state.open,
        loads: state.loads.into_iter().map(load).collect(),
        work: state.work,
    };
    let mut sum: BTreeMap<Name, Load> = BTreeMap::new();
    let now = boot_ms();
    let silence = hub.silence_ms();
    for other in heard.values().filter(|heard| now.saturating_sub(heard.at) < silence) {
        for (id, load) in &other.loads {
            let total = sum.entry(id.clone()).or_default();
            total.open += load.open;
            total.pending_prompt_tokens += load.pending_prompt_tokens;
        }
    }
    hub.picker.borrow_mut().set_remote_loads(&sum);
}

/// Asks the other entries for units of an organisation's quota and waits for their answers.
pub(crate) async fn pull(hub: &Rc<Hub>, organisation: &Name, quota: &Quota, missing: f64) {
    if is_paused(hub, organisation) {
        return;
    }
    let savings = hub.purses.borrow().savings(quota).max(1.0);
    // So many entries are likely to have as much between them; then twice as many.
    let first = (missing / (LIKELY * savings)).ceil() as usize;
    let mut got = 0.0;
    for asked in [first.max(LEAST_ASKED), 2 * first.max(LEAST_ASKED)] {
        let live = live(hub, boot_ms(), asked.min(MOST_ASKED));
        if live.is_empty() {
            break;
        }
        let wanted = missing - got;
        // Twice an even part, so that few units travel.
        let part = (2.0 * wanted / live.len() as f64).clamp(1.0, wanted.max(1.0));
        let message =
            |number| Message::Ask { number, organisation: organisation.clone(), units: part };
        got += ask_all(hub, &live, message, wanted).await;
        if got >= missing {
            return;
        }
    }
    pause(hub, organisation);
}

/// Takes a repeat from the budget, with those of other entries where this one's do not do.
pub(crate) async fn take_repeat(hub: &Rc<Hub>, service: &Name) -> bool {
    let take = || {
        let mut retries = hub.retries.borrow_mut();
        retries.take(service, boot_ms()) || retries.take_given(service, boot_ms())
    };
    if take() {
        return true;
    }
    if is_paused(hub, service) {
        return false;
    }
    let live = live(hub, boot_ms(), REPEATS_FROM);
    let message =
        |number| Message::AskRepeats { number, service: service.clone(), count: REPEATS_EACH };
    if live.is_empty() || ask_all(hub, &live, message, 1.0).await < 1.0 {
        pause(hub, service);
    }
    take()
}

fn is_paused(hub: &Hub, what: &Name) -> bool {
    let paused = hub.peers().paused.borrow();
    paused.get(what).is_some_and(|until| boot_ms() < *until)
}

/// Asks no more for a while what the other entries lack as well.
fn pause(hub: &Hub, what: &Name) {
    hub.peers().paused.borrow_mut().insert(what.clone(), boot_ms() + PULL_PAUSE_MS);
}

/// Lists up to `most` of the other entries that were heard lately, drawn at random.
fn live(hub: &Hub, now: Millis, most: usize) -> Vec<Entry> {
    let silence = hub.silence_ms();
    let heard = hub.heard.borrow();
    let is_live = |entry: &&Entry| {
        heard.get(&entry.name).is_some_and(|heard| now.saturating_sub(heard.at) < silence)
    };
    let roster = hub.roster.borrow();
    roster.present().filter(is_live).cloned().sample(&mut rand::rng(), most)
}

/// Sends a request to entries and waits until they gave enough, or all have answered.
async fn ask_all(
    hub: &Rc<Hub>,
    live: &[Entry],
    message: impl Fn(u64) -> Message,
    wanted: f64,
) -> f64 {
    let peers = hub.peers();
    let number = peers.number.get() + 1;
    peers.number.set(number);
    let pull = Rc::new(Pull::default());
    peers.pulls.borrow_mut().insert(number, pull.clone());
    for entry in live {
        peers.send(hub, entry, message(number));
    }
    let enough = async {
        while pull.got.get() < wanted && pull.answers.get() < live.len() {
            pull.news.notified().await;
        }
    };
    let _ = tokio::time::timeout(PULL_WAIT, enough).await;
    peers.pulls.borrow_mut().remove(&number);
    pull.got.get()
}
