//! What one entry does for all: reports usage and orders backend servers.

use crate::hub::Hub;
use crate::sync::LEADER;
use coord::{Counts, Window};
use infra::{Commit, Committed, Duties, Holder as Caller, Lease, Ordered, Put, ServerOrder, Swap};
use kernel::boot_ms;
use kernel::prelude::*;
use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, Observed, Offers, Permit,
    Placement, Scaler, ScalerSettings,
};
use rules::{Scaling, Service};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// Prefix of the counts that were decided, by window.
const DECIDED: &str = "fennelfold/usage/";
/// Prefix of the numbers of servers that were found at the start, by service.
const FOUND: &str = "fennelfold/found/";
/// Least time from the end of a window to its report, in milliseconds: requests that began just
/// before the end are counted when their answers begin.
const GATHER_MS: u64 = 1_000;
/// Time kept back from the due time of a window to decide and report it, in milliseconds.
const REPORT_MS: u64 = 3_500;
/// Time after which counts that an entry told last are forgotten, in milliseconds.
const TALLY_MS: u64 = 60_000;
/// Time between two looks of an entry that waits for the lease, in milliseconds; the end of the
/// lease is also told by the watch.
const LOOK_MS: Millis = 15_000;
/// Time between two looks at what is due.
const EVERY: Duration = Duration::from_millis(500);
/// Time for which decided windows are kept, so that a successor repeats them exactly, in
/// milliseconds.
const KEPT_MS: u64 = 60_000;
/// Time for which a successor reports windows again, in milliseconds.
const REPEATED_MS: u64 = 15_000;
/// Most changes of one commit.
const MOST_CHANGES: usize = 30;

/// What the holder writes under the key of the lease.
#[derive(Deserialize, Serialize)]
struct Mark {
    entry: Name,
    incarnation: u64,
    lease: i64,
}

/// The lease as the tasks of this entry share it.
pub(crate) struct Tenure {
    holder: RefCell<Holder>,
}

impl Tenure {
    pub(crate) fn new(lease: Duration) -> Self {
        let lease = lease.as_millis() as Millis;
        let times = LeaseTimes {
            ttl: lease,
            margin: lease / 6,
            renew_interval: lease / 4,
            order_timeout: lease / 2,
            retry_delay: lease / 10,
        };
        Self { holder: RefCell::new(Holder::new(times, boot_ms())) }
    }

    /// Returns the fencing number when this entry may act now.
    fn number(&self) -> Option<i64> {
        match self.holder.borrow().permit(Fencing::Ignored, boot_ms()) {
            Permit::Send(number) => Some(number),
            Permit::NotHeld | Permit::NotYet(_) => None,
        }
    }
}

/// Holds or seeks the lease.
pub(crate) async fn hold(hub: Rc<Hub>, tenure: Rc<Tenure>) {
    let mut event = LeaseEvent::Waited;
    let mut held = false;
    while !hub.stopping.get() {
        let is_taken = event == LeaseEvent::Found(KeyOwner::OtherEntry);
        let step = tenure.holder.borrow_mut().next(event, boot_ms());
        let holds =
            matches!(step, LeaseAction::Renew(_)) || (held && matches!(step, LeaseAction::Wait(_)));
        if holds != held {
            info!(hub.log, "lease of the duties"; "held" => holds);
            held = holds;
        }
        event = match step {
            LeaseAction::Wait(_) if is_taken => {
                let wait = tokio::time::sleep(Duration::from_millis(LOOK_MS));
                tokio::select! {
                    () = wait => {}
                    () = hub.leader_moved.notified() => {}
                }
                LeaseEvent::Waited
            }
            _ => perform(&hub, step).await,
        };
    }
}

/// Frees the lease of an entry that stops, so that another one need not wait for its end.
pub(crate) async fn resign(hub: Rc<Hub>, tenure: Rc<Tenure>) {
    let Some(number) = tenure.holder.borrow_mut().release(boot_ms()) else { return };
    let commit = Commit {
        expected: vec![(LEADER.to_owned(), number)],
        removes: vec![LEADER.to_owned()],
        ..Commit::default()
    };
    let freed = hub.store.commit(&commit).await;
    hub.note_store("resign", freed.as_ref().err());
    info!(hub.log, "lease of the duties"; "held" => false, "number" => number,
        "freed" => format!("{freed:?}"));
}

async fn perform(hub: &Hub, step: LeaseAction) -> LeaseEvent {
    let now = boot_ms();
    let failed = |failure: Failure| {
        hub.note_store("lease", Some(&failure));
        LeaseEvent::Failed
    };
    match step {
        LeaseAction::Wait(until) => {
            tokio::time::sleep(Duration::from_millis(until.saturating_sub(now))).await;
            LeaseEvent::Waited
        }
        LeaseAction::Grant => {
            let seconds = hub.settings.promises.lease.as_secs().max(1) as i64;
            match hub.store.grant(seconds).await {
                Ok(lease) => LeaseEvent::Granted { lease: lease.0, sent: now },
                Err(failure) => failed(failure),
            }
        }
        LeaseAction::Create(lease) => {
            let mark =
                Mark { entry: hub.settings.name.clone(), incarnation: hub.incarnation, lease };
            let value = serde_json::to_vec(&mark).unwrap_or_default();
            match hub.store.swap(LEADER, 0, value.into(), Some(Lease(lease))).await {
                Ok(Swap::Done(revision)) => LeaseEvent::Created(revision),
                Ok(Swap::Other(_)) => LeaseEvent::Waited,
                Err(failure) => failed(failure),
            }
        }
        LeaseAction::Read => match hub.store.get(LEADER).await {
            Ok(None) => LeaseEvent::Found(KeyOwner::Nobody),
            Ok(Some(stored)) => LeaseEvent::Found(found(hub, &stored)),
            Err(failure) => failed(failure),
        },
        LeaseAction::Renew(lease) => match hub.store.renew(Lease(lease)).await {
            Ok(true) => LeaseEvent::Renewed(now),
            Ok(false) => LeaseEvent::Expired,
            Err(failure) => failed(failure),
        },
    }
}

/// Returns the entry that a mark names.
pub(crate) fn holder_of(mark: &[u8]) -> Option<Name> {
    serde_json::from_slice::<Mark>(mark).ok().map(|mark| mark.entry)
}

fn found(hub: &Hub, stored: &infra::Stored) -> KeyOwner {
    match serde_json::from_slice::<Mark>(&stored.value) {
        Ok(mark) if mark.entry == hub.settings.name && mark.incarnation == hub.incarnation => {
            KeyOwner::ThisEntry { lease: mark.lease, revision: stored.revision }
        }
        _ => KeyOwner::OtherEntry,
    }
}

/// Does the duties while this entry holds the lease.
pub(crate) async fn act(hub: Rc<Hub>, duties: Arc<dyn Duties>, tenure: Rc<Tenure>) {
    let mut reported: BTreeMap<Window, ()> = BTreeMap::new();
    let mut scalers: BTreeMap<Name, Scaler> = BTreeMap::new();
    let mut number = None;
    let mut last = None;
    loop {
        tokio::time::sleep(EVERY).await;
        let holds = tenure.number();
        if holds != number {
            info!(hub.log, "duties"; "acting" => holds.is_some(), "number" => holds);
            number = holds;
        }
        // Under the same number nobody else has acted in between: what was done still stands.
        if number.is_some() && number != last {
            (reported, scalers) = (BTreeMap::new(), BTreeMap::new());
            last = number;
        }
        if number.is_none() || hub.stopping.get() {
            continue;
        }
        if hub.settings.promises.orders {
            order(&hub, &*duties, &tenure, &mut scalers).await;
        }
        if !hub.settings.promises.usage_window.is_zero() {
            report(&hub, &*duties, &tenure, &mut reported).await;
        }
    }
}

/// Decides and reports the windows that are due.
async fn report(
    hub: &Hub,
    duties: &dyn Duties,
    tenure: &Tenure,
    reported: &mut BTreeMap<Window, ()>,
) {
    let unix = Clock::unix_ms();
    hub.tallies.borrow_mut().prune(unix.saturating_sub(TALLY_MS));
    let length = hub.settings.promises.usage_window.as_millis() as u64;
    let last = (unix.saturating_sub(GATHER_MS) / length).saturating_sub(1);
    let first = last.saturating_sub(REPEATED_MS / length);
    let due: Vec<Window> = (first..=last).filter(|window| !reported.contains_key(window)).collect();
    let is_told = |window: &Window| is_told(hub, (window + 1) * length, unix);
    if !due.iter().any(is_told) {
        return;
    }
    let decided = hub.store.list(DECIDED).await;
    hub.note_store("decided", decided.as_ref().err());
    let Ok(decided) = decided else { return };
    let mut known: BTreeMap<Window, Counts> = BTreeMap::new();
    let mut old = Vec::new();
    for (key, stored) in &decided.items {
        let window = key.strip_prefix(DECIDED).and_then(|window| window.parse().ok());
        let counts = serde_json::from_slice(&stored.value);
        let (Some(window), Ok(counts)) = (window, counts) else { continue };
        if (window + 1) * length + KEPT_MS < unix {
            old.push(key.clone());
        }
        known.insert(window, counts);
    }
    for window in due.into_iter().filter(is_told) {
        let counts = match known.get(&window) {
            Some(counts) => counts.clone(),
            None => {
                let counts = total(hub, window);
                if !decide(hub, tenure, window, &counts).await {
                    return;
                }
                counts
            }
        };
        let Some(number) = tenure.number() else { return };
        let caller = Caller { entry: hub.settings.name.clone(), number };
        match duties.report_usage(&caller, window, &counts).await {
            Ok(()) => {
                info!(hub.log, "usage reported"; "window" => window, "number" => number,
                    "requests" => counts.values().sum::<u64>());
                reported.insert(window, ());
            }
            Err(failure) => {
                warn!(hub.log, "usage not reported"; "window" => window, "cause" => %failure);
            }
        }
    }
    clear(hub, old).await;
}

/// Tells whether all entries have told their counts of a window, or it cannot wait any longer.
fn is_told(hub: &Hub, end_ms: u64, unix: u64) -> bool {
    let due = hub.settings.promises.usage_due.as_millis() as u64;
    if unix + REPORT_MS >= end_ms + due {
        return true;
    }
    let tallies = hub.tallies.borrow();
    hub.roster.borrow().present().all(|entry| {
        entry.name == hub.settings.name
            || tallies.heard_after(&entry.name, entry.incarnation, end_ms + GATHER_MS / 2)
    })
}

fn total(hub: &Hub, window: Window) -> Counts {
    let mut tallies = hub.tallies.borrow().clone();
    let mine = hub.usage.borrow().recent().clone();
    tallies.hear(&hub.settings.name, hub.incarnation, mine, Clock::unix_ms());
    tallies.total(window)
}

/// Decides the counts of a window once and for all; tells whether they stand.
async fn decide(hub: &Hub, tenure: &Tenure, window: Window, counts: &Counts) -> bool {
    let Some(number) = tenure.number() else { return false };
    let key = format!("{DECIDED}{window}");
    let value = serde_json::to_vec(counts).unwrap_or_default();
    let commit = Commit {
        expected: vec![(LEADER.to_owned(), number), (key.clone(), 0)],
        puts: vec![Put { key, value: value.into(), lease: None }],
        removes: Vec::new(),
    };
    let committed = hub.store.commit(&commit).await;
    hub.note_store("decide", committed.as_ref().err());
    info!(hub.log, "usage decided"; "window" => window, "number" => number,
        "result" => format!("{committed:?}"));
    matches!(committed, Ok(Committed::Done(_)))
}

async fn clear(hub: &Hub, keys: Vec<String>) {
    for part in keys.chunks(MOST_CHANGES) {
        let commit = Commit { removes: part.to_vec(), ..Commit::default() };
        let cleared = hub.store.commit(&commit).await;
        hub.note_store("clear", cleared.as_ref().err());
    }
}

/// Gives one order for each service that is scaled, where one is due.
async fn order(
    hub: &Hub,
    duties: &dyn Duties,
    tenure: &Tenure,
    scalers: &mut BTreeMap<Name, Scaler>,
) {
    let rules = hub.rules.borrow().clone();
    let scaled = |service: &Arc<Service>| {
        service.scaling.clone().map(|scaling| (service.name.clone(), scaling))
    };
    let services: Vec<(Name, Scaling)> = rules.services().filter_map(scaled).collect();
    for (service, scaling) in services {
        if !scalers.contains_key(&service) {
            let Some(found) = servers_found(hub, tenure, &service).await else { continue };
            let fleet = hub.settings.fleet;
            let settings = ScalerSettings {
                target_load: fleet.used,
                on_demand: fleet.lasting,
                min_share: fleet.least,
                ..ScalerSettings::default()
            };
            scalers.insert(service.clone(), Scaler::new(settings, found));
        }
        let Some(scaler) = scalers.get_mut(&service) else { continue };
        // Each round gives what is due now, bounded by the number of places.
        for _ in 0..2 * scaling.prices.len() {
            let Some(number) = tenure.number() else { return };
            let seen = seen(hub, &service);
            let offers = Offers {
                bounds: (scaling.min, scaling.max),
                prices: scaling.prices.clone(),
                boot_ms: scaling.boot_ms,
            };
            let Some(next) = scaler.next(&offers, &seen, boot_ms()) else { break };
            let order = ServerOrder {
                service: service.clone(),
                data_centre: next.placement.data_centre.clone(),
                reclaimable: next.placement.reclaimable,
                count: next.count,
            };
            let caller = Caller { entry: hub.settings.name.clone(), number };
            let ordered = duties.order(&caller, &order).await;
            info!(hub.log, "servers ordered"; "service" => %service, "number" => number,
                "data_centre" => %order.data_centre, "reclaimable" => order.reclaimable,
                "count" => order.count, "needed" => scaler.servers_needed(&seen, boot_ms()),
                "work" => seen.work, "result" => format!("{ordered:?}"));
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

/// Returns how many servers of a service there were before the first order of any holder.
///
/// The first holder writes it down; its orders change what its successors find.
async fn servers_found(hub: &Hub, tenure: &Tenure, service: &Name) -> Option<u32> {
    let number = tenure.number()?;
    let key = format!("{FOUND}{service}");
    let known = hub.store.get(&key).await;
    hub.note_store("found", known.as_ref().err());
    if let Some(stored) = known.ok()? {
        return serde_json::from_slice(&stored.value).ok();
    }
    let found: u32 = seen(hub, service).serving.values().sum();
    if found == 0 {
        return None;
    }
    let put = Put { key: key.clone(), value: found.to_string().into(), lease: None };
    let commit = Commit {
        expected: vec![(LEADER.to_owned(), number), (key, 0)],
        puts: vec![put],
        removes: Vec::new(),
    };
    let committed = hub.store.commit(&commit).await;
    hub.note_store("found", committed.as_ref().err());
    info!(hub.log, "servers found"; "service" => %service, "count" => found,
        "result" => format!("{committed:?}"));
    matches!(committed, Ok(Committed::Done(_))).then_some(found)
}

fn seen(hub: &Hub, service: &Name) -> Observed {
    let mut seen = Observed { work: hub.work_asked(service), ..Observed::default() };
    for server in hub.picker.borrow().servers() {
        let listed = &server.listed;
        if listed.service != *service {
            continue;
        }
        if !listed.leaving {
            let place = Placement {
                data_centre: listed.data_centre.clone(),
                reclaimable: listed.reclaimable,
            };
            *seen.serving.entry(place).or_default() += 1;
        }
    }
    seen
}
