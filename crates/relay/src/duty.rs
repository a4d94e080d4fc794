//! Duties that one entry, the leader, performs for all: reporting usage and ordering backend
//! servers.

use crate::context::Context;
use crate::origin_store;
use crate::readers::is_reader;
use crate::start_kind::StartKind;
use crate::sync::LEADER_KEY;
use crate::usage_report::UsageDuty;
use coord::Restore;
use infra::{Commit, Committed, Duties, Holder as Leader, Lease, Ordered, Put, ServerOrder, Swap};
use kernel::boot_ms;
use kernel::prelude::*;
use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, Observed, Offers, Permit,
    Placement, Scaler, ScalerSettings,
};
use rules::{Scaling, Service};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Prefix of the keys that hold the number of servers a service had before any order.
const INITIAL_COUNT_PREFIX: &str = "fennelfold/found/";
/// Time without a new registration after which all servers that run at the first start count as
/// registered, in milliseconds. They register one after the other when they start.
const REGISTRATION_PAUSE_MS: Millis = 1_500;
/// Time to live of the lease, as a fraction of the minimum time between two leaders.
const LEASE_TTL_FRACTION: f64 = 0.7;
/// Poll interval of an entry that waits for the lease, in milliseconds. The watch of the lease
/// record also reports the end of the lease.
const LEASE_POLL_MS: Millis = 15_000;
/// Time after which the other entries request a lease that no candidate has taken.
const CANDIDATES_HEAD_START: Duration = Duration::from_secs(3);
/// Interval between two checks for due duties.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);

/// The value that the leader stores under [`LEADER_KEY`].
#[derive(Deserialize, Serialize)]
struct LeaseRecord {
    entry: Name,
    incarnation: u64,
    /// Address for callers, which tells VMs apart that had the same name one after the other.
    front: Option<SocketAddr>,
    lease: i64,
    /// Number of restores of the store before the record was written.
    #[serde(default)]
    restores: u64,
}

/// State of the leader lease, shared by the tasks of this entry.
pub(crate) struct LeaderLease {
    cx: Rc<Context>,
    times: LeaseTimes,
    holder: RefCell<Holder>,
    /// The restore of the store that the holder knows of.
    restore: Cell<Option<Restore>>,
}

impl LeaderLease {
    /// Creates the state of an entry that does not hold the lease.
    pub(crate) fn new(cx: Rc<Context>) -> Self {
        let separation = cx.settings.promises.lease;
        let ttl = 1_000 * ttl_s(separation) as Millis;
        let times = LeaseTimes {
            ttl,
            margin: ttl / 6,
            separation: separation.as_millis() as Millis,
            renew_interval: ttl / 4,
            order_timeout: ttl / 3,
            retry_delay: ttl / 8,
        };
        let holder = RefCell::new(Holder::new(times, boot_ms()));
        Self { cx, times, holder, restore: Cell::new(None) }
    }

    /// Waits until it is known whether an earlier process may have held the lease.
    async fn prepare(&self) {
        if self.cx.wait_for_start_kind().await == StartKind::First {
            // Else a process that starts after this one would take its start for the first as well.
            origin_store::wait_for_deployment_mark(&self.cx).await;
            self.holder.replace(Holder::at_first_start(self.times, boot_ms()));
        }
    }

    /// Returns the next action after an event.
    fn next(&self, event: LeaseEvent) -> LeaseAction {
        self.observe_restores();
        self.holder.borrow_mut().next(event, boot_ms())
    }

    fn observe_restores(&self) {
        let restore = self.cx.observe_restores();
        if self.restore.replace(restore) != restore {
            self.holder.borrow_mut().record_restore(boot_ms());
        }
    }

    /// Returns the fencing number if this entry may act as the leader now.
    pub(crate) fn fencing_number(&self) -> Option<i64> {
        self.observe_restores();
        match self.holder.borrow().permit(Fencing::Ignored, boot_ms()) {
            Permit::Send(number) => Some(number),
            Permit::NotHeld | Permit::NotYet(_) => None,
        }
    }
}

/// Returns the time to live of the lease in seconds, the unit of the store. It is shorter than the
/// separation, so that another entry replaces a lost leader before that time is over.
fn ttl_s(separation: Duration) -> i64 {
    ((separation.as_secs_f64() * LEASE_TTL_FRACTION) as i64).max(1)
}

/// Acquires the leader lease and renews it until the entry stops.
pub(crate) async fn hold_lease(cx: Rc<Context>, lease: Rc<LeaderLease>) {
    lease.prepare().await;
    let mut event = LeaseEvent::Waited;
    let mut held = false;
    let mut is_creating = false;
    while !cx.stopping.get() {
        let is_taken = event == LeaseEvent::Found(KeyOwner::OtherEntry);
        // An entry that may have created the record finds out at once.
        is_creating &= matches!(event, LeaseEvent::Waited | LeaseEvent::Failed);
        let step = lease.next(event);
        is_creating |= matches!(step, LeaseAction::Create { .. });
        let holds =
            matches!(step, LeaseAction::Renew(_)) || (held && matches!(step, LeaseAction::Wait(_)));
        if holds != held {
            info!(cx.log, "lease of the duties"; "held" => holds);
            held = holds;
        }
        event = match step {
            LeaseAction::Wait(_) if is_taken => wait_for_vacancy(&cx).await,
            LeaseAction::Read if !is_creating => read_owner(&cx).await,
            _ => run_step(&cx, step).await,
        };
    }
}

/// Waits until the lease may be free.
async fn wait_for_vacancy(cx: &Context) -> LeaseEvent {
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(LEASE_POLL_MS)) => return LeaseEvent::Waited,
        () = cx.leader_vacant.notified() => {}
    }
    if is_candidate(cx) {
        return LeaseEvent::Waited;
    }
    tokio::time::sleep(CANDIDATES_HEAD_START).await;
    match *cx.leader.borrow() {
        Some(_) => LeaseEvent::Found(KeyOwner::OtherEntry),
        None => LeaseEvent::Waited,
    }
}

/// Reads who holds the lease. If nobody does, the candidates may take it first.
async fn read_owner(cx: &Context) -> LeaseEvent {
    let event = run_step(cx, LeaseAction::Read).await;
    if event != LeaseEvent::Found(KeyOwner::Nobody) || is_candidate(cx) {
        return event;
    }
    tokio::time::sleep(CANDIDATES_HEAD_START).await;
    run_step(cx, LeaseAction::Read).await
}

/// Whether this entry is one of the few that request a free lease at once. If all did, each change of the
/// leader would cost several calls of every entry.
fn is_candidate(cx: &Context) -> bool {
    cx.is_first_start() || is_reader(cx)
}

/// Releases the lease when the entry stops, so that another entry need not wait until it expires.
pub(crate) async fn release_lease(cx: Rc<Context>, lease: Rc<LeaderLease>) {
    let Some(number) = lease.holder.borrow_mut().release(boot_ms()) else { return };
    let commit = Commit {
        expected: vec![(LEADER_KEY.to_owned(), number)],
        removes: vec![LEADER_KEY.to_owned()],
        ..Commit::default()
    };
    let sent = boot_ms();
    let released = cx.store.commit(&commit).await;
    cx.record_store_call("resign", sent, released.as_ref().err());
    info!(cx.log, "lease of the duties"; "held" => false, "number" => number,
        "freed" => format!("{released:?}"));
}

async fn run_step(cx: &Context, step: LeaseAction) -> LeaseEvent {
    let now = boot_ms();
    let failed = |failure: Failure| {
        cx.record_store_call("lease", now, Some(&failure));
        LeaseEvent::Failed
    };
    match step {
        LeaseAction::Wait(until) => {
            tokio::time::sleep(Duration::from_millis(until.saturating_sub(now))).await;
            LeaseEvent::Waited
        }
        LeaseAction::Grant => match cx.store.grant(ttl_s(cx.settings.promises.lease)).await {
            Ok(lease) => LeaseEvent::Granted { lease: lease.0, sent: now },
            Err(failure) => failed(failure),
        },
        LeaseAction::Create { lease, replaces } => {
            let record = LeaseRecord {
                entry: cx.settings.name.clone(),
                incarnation: cx.incarnation,
                front: Some(cx.settings.front),
                lease,
                restores: cx.restores(),
            };
            let value = serde_json::to_vec(&record).unwrap_or_default();
            match cx.store.swap(LEADER_KEY, replaces, value.into(), Some(Lease(lease))).await {
                Ok(Swap::Done(revision)) => LeaseEvent::Created(revision),
                Ok(Swap::Other(_)) => LeaseEvent::Waited,
                Err(failure) => failed(failure),
            }
        }
        LeaseAction::Read => match cx.store.get(LEADER_KEY).await {
            Ok(None) => LeaseEvent::Found(KeyOwner::Nobody),
            Ok(Some(stored)) => LeaseEvent::Found(parse_lease(cx, &stored)),
            Err(failure) => failed(failure),
        },
        LeaseAction::Renew(lease) => match cx.store.renew(Lease(lease)).await {
            Ok(true) => LeaseEvent::Renewed(now),
            Ok(false) => LeaseEvent::Expired,
            Err(failure) => failed(failure),
        },
    }
}

/// Returns the entry named in a lease record.
pub(crate) fn lease_holder(record: &[u8]) -> Option<Name> {
    serde_json::from_slice::<LeaseRecord>(record).ok().map(|record| record.entry)
}

fn parse_lease(cx: &Context, stored: &infra::Stored) -> KeyOwner {
    match serde_json::from_slice::<LeaseRecord>(&stored.value) {
        Ok(record) if record.entry == cx.settings.name && record.incarnation == cx.incarnation => {
            KeyOwner::ThisEntry { lease: record.lease, revision: stored.revision }
        }
        Ok(record)
            if record.entry == cx.settings.name
                && record.front == Some(cx.settings.front)
                && record.restores == cx.restores() =>
        {
            KeyOwner::EarlierProcess { revision: stored.revision }
        }
        _ => KeyOwner::OtherEntry,
    }
}

/// Performs the duties while this entry holds the lease.
pub(crate) async fn run_duties(cx: Rc<Context>, duties: Arc<dyn Duties>, lease: Rc<LeaderLease>) {
    let mut usage = UsageDuty::default();
    let mut scalers: BTreeMap<Name, Scaler> = BTreeMap::new();
    let mut number = None;
    let mut last_number = None;
    loop {
        tokio::time::sleep(DUTY_INTERVAL).await;
        let current = lease.fencing_number();
        if current != number {
            info!(cx.log, "duties"; "acting" => current.is_some(), "number" => current);
            number = current;
        }
        // An unchanged fencing number means that no other leader has acted in between, so the
        // results so far are still valid.
        if number.is_some() && number != last_number {
            usage.report_again();
            scalers = BTreeMap::new();
            last_number = number;
        }
        if number.is_none() || cx.stopping.get() {
            continue;
        }
        if cx.settings.promises.orders {
            order_servers(&cx, &*duties, &lease, &mut scalers).await;
        }
        if !cx.settings.promises.usage_window.is_zero() {
            usage.report(&cx, &*duties, &lease).await;
        }
    }
}

/// Orders backend servers for each scaled service where an order is due.
async fn order_servers(
    cx: &Context,
    duties: &dyn Duties,
    lease: &LeaderLease,
    scalers: &mut BTreeMap<Name, Scaler>,
) {
    let rules = cx.rules.borrow().clone();
    let scaled = |service: &Arc<Service>| {
        service.scaling.clone().map(|scaling| (service.name.clone(), scaling))
    };
    let services: Vec<(Name, Scaling)> = rules.services().filter_map(scaled).collect();
    for (service, scaling) in services {
        if !scalers.contains_key(&service) {
            let Some(found) = initial_server_count(cx, lease, &service).await else { continue };
            let fleet = cx.settings.fleet;
            let settings = ScalerSettings {
                target_load: fleet.used,
                min_share: fleet.least,
                ..ScalerSettings::default()
            };
            scalers.insert(service.clone(), Scaler::new(settings, found));
        }
        let Some(scaler) = scalers.get_mut(&service) else { continue };
        // Each iteration sends one order that is due now. Their number is limited to the number of
        // placements: two in each data centre, for the two kinds of servers.
        for _ in 0..2 * scaling.prices.len() {
            let Some(number) = lease.fencing_number() else { return };
            let observed = observe(cx, &service);
            let offers = Offers {
                bounds: (scaling.min, scaling.max),
                prices: scaling.prices.clone(),
                boot_ms: scaling.boot_ms,
            };
            let Some(next) = scaler.next(&offers, &observed, boot_ms()) else { break };
            let order = ServerOrder {
                service: service.clone(),
                data_centre: next.placement.data_centre.clone(),
                reclaimable: next.placement.reclaimable,
                count: next.count,
            };
            let leader = Leader { entry: cx.settings.name.clone(), number };
            let ordered = duties.order(&leader, &order).await;
            info!(cx.log, "servers ordered"; "service" => %service, "number" => number,
                "data_centre" => %order.data_centre, "reclaimable" => order.reclaimable,
                "count" => order.count, "needed" => scaler.servers_needed(&observed, boot_ms()),
                "work" => observed.work, "result" => format!("{ordered:?}"));
            match ordered {
                Ok(Ordered::Taken) => {}
                Ok(Ordered::NoneLeft) => scaler.record_refusal(&next.placement, boot_ms()),
                Err(_) => {
                    scaler.record_unknown_outcome(&next.placement);
                    break;
                }
            }
        }
    }
}

/// Returns the number of servers that a service had before the first order of any leader; `None` if
/// it is not known yet.
///
/// The first leader stores the number, because its orders change what later leaders count.
async fn initial_server_count(cx: &Context, lease: &LeaderLease, service: &Name) -> Option<u32> {
    let number = lease.fencing_number()?;
    let key = format!("{INITIAL_COUNT_PREFIX}{service}");
    let sent = boot_ms();
    let existing = cx.store.get(&key).await;
    cx.record_store_call("found", sent, existing.as_ref().err());
    if let Some(stored) = existing.ok()? {
        return serde_json::from_slice(&stored.value).ok();
    }
    let found: u32 = observe(cx, service).serving.values().sum();
    // Readers tell of new servers with a delay.
    let last_news = cx.server_added_at.get().max(cx.servers_followed_at.get());
    if found == 0 || boot_ms().saturating_sub(last_news) < REGISTRATION_PAUSE_MS {
        return None;
    }
    let put = Put { key: key.clone(), value: found.to_string().into(), lease: None };
    let commit = Commit {
        expected: vec![(LEADER_KEY.to_owned(), number), (key, 0)],
        puts: vec![put],
        removes: Vec::new(),
    };
    let sent = boot_ms();
    let committed = cx.store.commit(&commit).await;
    cx.record_store_call("found", sent, committed.as_ref().err());
    info!(cx.log, "servers found"; "service" => %service, "count" => found,
        "result" => format!("{committed:?}"));
    matches!(committed, Ok(Committed::Done(_))).then_some(found)
}

/// Returns the work requested from a service and the number of its servers by placement, without
/// those that are leaving.
fn observe(cx: &Context, service: &Name) -> Observed {
    let mut observed = Observed { work: cx.requested_work(service), ..Observed::default() };
    for server in cx.picker.borrow().servers() {
        let info = &server.info;
        if info.service != *service {
            continue;
        }
        if !info.leaving {
            let placement =
                Placement { data_centre: info.data_centre.clone(), reclaimable: info.reclaimable };
            *observed.serving.entry(placement).or_default() += 1;
        }
    }
    observed
}
