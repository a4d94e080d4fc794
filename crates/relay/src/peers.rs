//! Exchanges state, freshness of the rules, quota units and retries with the peers.

use crate::context::{Context, PeerStatus};
use crate::limits::{brittle_news, record_peer_brittle, record_peer_limits};
use crate::message::{EntryState, Envelope, Message, WatchedPrefix};
use crate::origins;
use crate::paths;
use crate::quarantine;
use crate::quota_exchange;
use crate::readers;
use coord::{Entry, Transfer};
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Load;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Number of peers that one freshness query goes to.
const FRESHNESS_QUERY_PEERS: usize = 2;
/// Interval between two state messages.
const STATE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of random peers that receive the usage counts besides the leader, so that the counts
/// survive the loss of the leader.
const COUNT_KEEPERS: usize = 2;
/// One in this many state messages carries the usage counts.
const COUNTS_PERIOD: u64 = 4;
/// Number of state messages between two deposits of quota units.
const DEPOSIT_PERIOD: u64 = 3;
/// Maximum number of peers that one state message goes to.
const MAX_STATE_RECIPIENTS: usize = 12;
/// Time to wait for quota units or retries from peers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// Time without further requests for a quota or retry budget after the peers could not grant enough
/// of it, in milliseconds.
const REQUEST_PAUSE_MS: Millis = 80;
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// The socket for messages between entries, and the pending requests to peers.
pub(crate) struct Peers {
    socket: UdpSocket,
    pending: RefCell<BTreeMap<u64, Rc<PendingRequest>>>,
    /// Number of the last request.
    last_number: Cell<u64>,
    /// End of the pause of requests on the boot clock, by organisation or service.
    paused_until: RefCell<BTreeMap<Name, Millis>>,
}

/// A request for quota units or retries that waits for replies.
#[derive(Default)]
struct PendingRequest {
    granted: Cell<f64>,
    /// Shortest time for which a pool that replied has had few units, in milliseconds.
    scarce_ms: Cell<Option<Millis>>,
    replies: Cell<usize>,
    updated: Notify,
}

impl Peers {
    pub(crate) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            pending: RefCell::default(),
            last_number: Cell::new(0),
            paused_until: RefCell::default(),
        }
    }

    /// Records a reply to a request for quota units or retries.
    fn record_reply(&self, number: u64, units: f64, scarce_ms: Option<Millis>) {
        if let Some(request) = self.pending.borrow().get(&number) {
            request.granted.set(request.granted.get() + units);
            let scarce_ms = request.scarce_ms.get().into_iter().chain(scarce_ms).min();
            request.scarce_ms.set(scarce_ms);
            request.replies.set(request.replies.get() + 1);
            request.updated.notify_one();
        }
    }

    /// Returns the number for a new request to peers.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Sends a message to an entry.
    pub(crate) fn send(&self, cx: &Context, to: &Entry, message: Message) {
        self.send_to_all(cx, std::iter::once(to), message);
    }

    /// Sends a message to the address from which another one came.
    pub(crate) fn reply(&self, cx: &Context, to: SocketAddr, message: Message) {
        if let Some(bytes) = encode(cx, message) {
            self.send_datagram(&bytes, to);
        }
    }

    fn send_datagram(&self, bytes: &[u8], to: SocketAddr) {
        // A datagram that does not fit into the send buffer is treated like a lost one.
        drop(self.socket.try_send_to(bytes, to));
    }

    /// Sends a message to several entries. It is encoded once.
    pub(crate) fn send_to_all<'a>(
        &self,
        cx: &Context,
        entries: impl Iterator<Item = &'a Entry>,
        message: Message,
    ) {
        let Some(bytes) = encode(cx, message) else { return };
        for to in entries {
            match to.peer.parse::<SocketAddr>() {
                Ok(address) => self.send_datagram(&bytes, address),
                Err(e) => warn!(cx.log, "message not sent"; "to" => %to.name,
                    "cause" => format!("the peer address {} is invalid: {e}", to.peer)),
            }
        }
    }
}

fn encode(cx: &Context, message: Message) -> Option<Vec<u8>> {
    let envelope =
        Envelope { from: cx.settings.name.clone(), incarnation: cx.incarnation, message };
    let encoded = serde_json::to_vec(&envelope);
    encoded
        .map_err(|e| {
            warn!(cx.log, "message not sent"; "cause" => format!("it cannot be encoded: {e}"));
        })
        .ok()
}

/// Sends the state of this entry to its peers at a fixed interval.
pub(crate) async fn broadcast_state(cx: Rc<Context>) {
    for round in 0_u64.. {
        tokio::time::sleep(STATE_INTERVAL).await;
        cx.picker.borrow_mut().forget_silent_peers(cx.silence_ms(), boot_ms());
        quarantine::update(&cx);
        paths::update_all(&cx);
        if round % DEPOSIT_PERIOD == 0 {
            quota_exchange::deposit(&cx);
        }
        send_state(&cx, round % COUNTS_PERIOD == 0);
    }
}

/// Sends the state of this entry to a random sample of the peers. If `with_counts`, also sends it
/// together with the usage counts to the leader and [`COUNT_KEEPERS`] random peers.
pub(crate) fn send_state(cx: &Context, with_counts: bool) {
    let state = Box::new(current_state(cx));
    let roster = cx.roster.borrow();
    let others: Vec<&Entry> =
        roster.present().filter(|entry| entry.name != cx.settings.name).collect();
    if with_counts {
        let counts = {
            let mut usage = cx.usage.borrow_mut();
            usage.prune(Clock::unix_ms());
            usage.recent().clone()
        };
        let state = Box::new(EntryState { counts, ..*state.clone() });
        let leader = cx.leader.borrow();
        let leader = others.iter().filter(|entry| Some(&entry.name) == leader.as_ref());
        let keepers = others.iter().sample(&mut rand::rng(), COUNT_KEEPERS);
        let recipients = leader.chain(keepers).copied();
        cx.peers().send_to_all(cx, recipients, Message::State(state));
    }
    let recipients = others.into_iter().sample(&mut rand::rng(), MAX_STATE_RECIPIENTS);
    cx.peers().send_to_all(cx, recipients.into_iter(), Message::State(state));
}

fn current_state(cx: &Context) -> EntryState {
    let picker = cx.picker.borrow();
    let loads = picker
        .local_loads()
        .map(|(id, load)| (id.clone(), (load.open, load.pending_prompt_tokens)));
    let demand = cx.demand.borrow();
    let work = demand.rates(boot_ms()).map(|(service, rate)| (service.clone(), rate));
    let now = boot_ms();
    let limits = cx.server_limits.borrow();
    let limits = limits
        .news()
        .map(|(server, news)| (server.clone(), (news.per_s, now.saturating_sub(news.at))));
    EntryState {
        limits: limits.collect(),
        brittle: brittle_news(cx, now),
        reached: paths::news(cx, now),
        cut: cx.server_paths.borrow().cut_services().cloned().collect(),
        quarantine: cx.quarantine.borrow().news(now),
        stopping: cx.stopping.get(),
        rules_age: cx.freshness.borrow().age(boot_ms()),
        open: cx.open_requests.get(),
        loads: loads.collect(),
        counts: BTreeMap::new(),
        work: work.collect(),
    }
}

/// Receives and handles messages of the peers.
pub(crate) async fn receive(cx: Rc<Context>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, source) = match cx.peers().socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // The socket also reports here that a stopped peer refused an earlier datagram.
                debug!(cx.log, "receive failed"; "cause" => %e);
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match serde_json::from_slice(&buf[..len]) {
            Ok(envelope) => handle(&cx, envelope, source),
            Err(e) => warn!(cx.log, "unreadable message"; "cause" => %e),
        }
    }
}

/// Handles a message that came from the address `source`. Questions of entries that are not registered get no reply.
fn handle(cx: &Rc<Context>, envelope: Envelope, source: SocketAddr) {
    let Envelope { from, incarnation, message } = envelope;
    if message.is_question() && cx.roster.borrow().get(&from).is_none() {
        return;
    }
    match message {
        Message::State(state) => handle_state(cx, from, incarnation, *state),
        Message::FreshnessQuery { asked_at, known, store_lost } => {
            reply_to_freshness_query(cx, source, asked_at, &known, store_lost)
        }
        Message::FreshnessReply { asked_at, .. } if asked_at > boot_ms() => {
            warn!(cx.log, "reply to a question that was not asked"; "other" => %from);
        }
        Message::FreshnessReply { asked_at, version, age, batches } => {
            handle_freshness_reply(cx, &from, asked_at, version, age);
            let mut has_more = false;
            for batch in batches {
                has_more |= readers::apply_batch(cx, batch, asked_at);
            }
            if has_more {
                query_freshness(cx, &[from]);
            }
        }
        Message::QuotaRequest { number, organisation, units } => {
            let rules = cx.rules.borrow().clone();
            let owner = rules.organisation_named(&organisation);
            let Some(quota) = owner.and_then(|owner| owner.quota) else { return };
            let now = boot_ms();
            let mut shares = cx.quota_shares.borrow_mut();
            let scarce_ms = cx.quota_pools.borrow().contains(&cx.settings.name).then(|| {
                // Before the grant, which may leave little.
                shares.scarce_ms(&organisation, &quota, now)
            });
            let granted = shares.grant(&organisation, &quota, units, now).units;
            drop(shares);
            let message = Message::QuotaGrant { number, organisation, units: granted, scarce_ms };
            cx.peers().reply(cx, source, message);
        }
        Message::QuotaDeposit(deposits) => quota_exchange::receive_deposits(cx, deposits),
        Message::QuotaGrant { number, organisation, units, scarce_ms } => {
            let rules = cx.rules.borrow().clone();
            let owner = rules.organisation_named(&organisation);
            if let Some(quota) = owner.and_then(|owner| owner.quota) {
                let transfer = Transfer { units };
                cx.quota_shares.borrow_mut().receive(&organisation, &quota, transfer, boot_ms());
            }
            cx.peers().record_reply(number, units, scarce_ms);
        }
        Message::RetryRequest { number, service, count } => {
            let count = cx.retry_budget.borrow_mut().grant(&service, count, boot_ms());
            cx.peers().reply(cx, source, Message::RetryGrant { number, service, count });
        }
        Message::StreamBegan { request, software_version } => {
            cx.origins.borrow_mut().record(&request, &software_version, boot_ms());
        }
        Message::RecordOrigins { software_version, requests } => {
            cx.origin_store.add(cx, &software_version, requests);
        }
        Message::StreamQuery { number, request } => {
            let software_version = cx.origins.borrow().get(&request).cloned();
            cx.peers().reply(cx, source, Message::StreamOrigin { number, software_version });
        }
        Message::SoleVersionQuery { number, service } => {
            origins::reply_with_sole_version(cx, source, number, service);
        }
        Message::StreamOrigin { number, software_version } => {
            origins::record_reply(cx, number, software_version);
        }
        Message::RetryGrant { number, service, count } => {
            cx.retry_budget.borrow_mut().receive(&service, count, boot_ms());
            cx.peers().record_reply(number, f64::from(count), None);
        }
    }
}

/// Queries [`FRESHNESS_QUERY_PEERS`] of the named entries, or of all live peers if none is named,
/// for the freshness of their rules and for changes in the store.
pub(crate) fn query_freshness(cx: &Context, named: &[Name]) {
    let asked_at = boot_ms();
    let asked = if named.is_empty() {
        sample_live_peers(cx, asked_at, FRESHNESS_QUERY_PEERS)
    } else {
        let roster = cx.roster.borrow();
        let readers = roster.present().filter(|entry| named.contains(&entry.name));
        readers.cloned().sample(&mut rand::rng(), FRESHNESS_QUERY_PEERS)
    };
    let store_lost = cx.store_health.get().is_lost();
    let wants_changes = store_lost || readers::readers_tell(cx);
    let known = if wants_changes { readers::known_revisions(cx) } else { BTreeMap::new() };
    let message = Message::FreshnessQuery { asked_at, known, store_lost };
    cx.peers().send_to_all(cx, asked.iter(), message);
}

fn reply_to_freshness_query(
    cx: &Context,
    to: SocketAddr,
    asked_at: Millis,
    revisions: &BTreeMap<WatchedPrefix, i64>,
    store_lost: bool,
) {
    let freshness = *cx.freshness.borrow();
    if let Some((version, age)) = freshness.version().zip(freshness.age(boot_ms())) {
        let batches = revisions.iter().filter_map(|(prefix, after)| {
            readers::changes_for_peer(cx, *prefix, *after, store_lost)
        });
        let message =
            Message::FreshnessReply { asked_at, version, age, batches: batches.collect() };
        cx.peers().reply(cx, to, message);
    }
}

/// Handles a peer's report on the freshness of its rules.
///
/// The age counts from the time this entry sent the query, by its own clock. Neither the time in
/// transit nor a suspension of this entry can therefore make the reply look fresher than it is.
fn handle_freshness_reply(cx: &Context, from: &Name, asked_at: Millis, version: u64, age: Millis) {
    let known = cx.freshness.borrow().version();
    if known == Some(version) {
        cx.freshness.borrow_mut().confirm(version, asked_at.saturating_sub(age));
    } else if known.is_none_or(|known| version > known) {
        debug!(cx.log, "a peer has newer rules"; "other" => %from, "version" => version,
            "known" => known);
        cx.newer_rules_exist.set(true);
        cx.poll_rules_now.notify_one();
    }
}

fn handle_state(cx: &Rc<Context>, from: Name, incarnation: u64, state: EntryState) {
    if !state.counts.is_empty() {
        let mut reports = cx.usage_reports.borrow_mut();
        reports.record(&from, incarnation, state.counts, Clock::unix_ms());
    }
    record_peer_limits(cx, &from, &state.limits);
    record_peer_brittle(cx, &from, &state.brittle);
    paths::check_for_peer(cx, &state.cut);
    quarantine::record_peer_news(cx, state.quarantine);
    let mut peer_status = cx.peer_status.borrow_mut();
    let known = peer_status.entry(from.clone()).or_default();
    if incarnation < known.incarnation {
        return;
    }
    if state.stopping != known.stopping || incarnation != known.incarnation {
        info!(cx.log, "entry heard"; "other" => %from, "incarnation" => incarnation,
            "stopping" => state.stopping);
    }
    let load = |(id, (open, unread))| (id, Load { open, pending_prompt_tokens: unread });
    let now = boot_ms();
    let reached_at = |(service, age)| (service, now.saturating_sub(age));
    let cut_since = (!state.cut.is_empty()).then(|| known.cut_since.unwrap_or(now));
    *known = PeerStatus {
        received_at: now,
        cut_since,
        reached_at: state.reached.into_iter().map(reached_at).collect(),
        incarnation,
        stopping: state.stopping,
        rules_age: state.rules_age,
        open: state.open,
        work: state.work,
        cut: state.cut,
    };
    let loads = state.loads.into_iter().map(load).collect();
    cx.picker.borrow_mut().record_peer_loads(&from, loads, now);
}

pub(crate) fn is_paused(cx: &Context, name: &Name) -> bool {
    let paused_until = cx.peers().paused_until.borrow();
    paused_until.get(name).is_some_and(|until| boot_ms() < *until)
}

/// Pauses requests for this quota or retry budget because the peers have too little left of it.
pub(crate) fn pause_requests(cx: &Context, name: &Name) {
    cx.peers().paused_until.borrow_mut().insert(name.clone(), boot_ms() + REQUEST_PAUSE_MS);
}

/// Returns a random sample of up to `limit` live peers: those that sent a message recently.
pub(crate) fn sample_live_peers(cx: &Context, now: Millis, limit: usize) -> Vec<Entry> {
    let silence = cx.silence_ms();
    let peer_status = cx.peer_status.borrow();
    let is_live = |entry: &&Entry| {
        peer_status
            .get(&entry.name)
            .is_some_and(|status| now.saturating_sub(status.received_at) < silence)
    };
    let roster = cx.roster.borrow();
    roster.present().filter(is_live).cloned().sample(&mut rand::rng(), limit)
}

/// What peers granted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Granted {
    /// Amount of units or retries.
    pub(crate) amount: f64,
    /// Shortest time for which a pool that replied has had few units, in milliseconds; `None` if no pool replied.
    pub(crate) scarce_ms: Option<Millis>,
}

/// Sends a request to peers and waits until they granted enough, all replied, or the timeout
/// [`REPLY_TIMEOUT`] passed.
pub(crate) async fn request_from_peers(
    cx: &Rc<Context>,
    live: &[Entry],
    message: impl FnOnce(u64) -> Message,
    wanted: f64,
) -> Granted {
    let peers = cx.peers();
    let number = peers.next_number();
    let request = Rc::new(PendingRequest::default());
    peers.pending.borrow_mut().insert(number, request.clone());
    peers.send_to_all(cx, live.iter(), message(number));
    let enough = async {
        while request.granted.get() < wanted && request.replies.get() < live.len() {
            request.updated.notified().await;
        }
    };
    let _ = tokio::time::timeout(REPLY_TIMEOUT, enough).await;
    peers.pending.borrow_mut().remove(&number);
    Granted { amount: request.granted.get(), scarce_ms: request.scarce_ms.get() }
}
