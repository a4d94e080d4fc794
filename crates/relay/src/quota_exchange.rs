//! Moves units of quotas between entries: deposits at the pools, and requests for units that are lacking.

use crate::context::Context;
use crate::message::Message;
use crate::peers::{Granted, is_paused, pause_requests, request_from_peers, sample_live_peers};
use coord::{Charge, Entry, QuotaStep, Shortage, Transfer, is_lasting_shortage};
use kernel::boot_ms;
use kernel::prelude::*;
use rand::seq::IteratorRandom;
use rules::Quota;
use std::rc::Rc;

/// Expected fill level of a peer's token bucket, as a fraction of its capacity.
const EXPECTED_FILL: f64 = 0.4;
/// Minimum number of peers that one request for quota units goes to.
const MIN_PEERS_ASKED: usize = 3;
/// Maximum number of peers that one request for quota units goes to.
const MAX_PEERS_ASKED: usize = 40;
/// Minimum and maximum retry-after time for a caller over its quota, in seconds.
const QUOTA_RETRY_AFTER_S: (f64, f64) = (0.2, 4.0);

/// A request that waits for quota units at this entry, which keeps them from being deposited elsewhere.
struct Waiting<'a> {
    cx: &'a Context,
    organisation: &'a Name,
    cost: f64,
}

impl<'a> Waiting<'a> {
    fn begin(cx: &'a Context, organisation: &'a Name, cost: f64) -> Self {
        cx.quota_shares.borrow_mut().begin_wait(organisation, cost);
        Self { cx, organisation, cost }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.cx.quota_shares.borrow_mut().end_wait(self.organisation, self.cost);
    }
}

/// Charges a request to the quota of an organisation. If this entry's share does not suffice, requests units
/// from other entries, and waits a little if units come back soon.
///
/// # Errors
/// [`Code::OverLimit`] if too few units are left.
pub(crate) async fn charge(
    cx: &Rc<Context>,
    organisation: &Name,
    quota: &Quota,
    cost: f64,
    target_latency_ms: Millis,
) -> Result<(), Failure> {
    let try_charge = || cx.quota_shares.borrow_mut().charge(organisation, quota, cost, boot_ms());
    let Charge::Short(mut units) = try_charge() else { return Ok(()) };
    let waiting = Waiting::begin(cx, organisation, cost);
    let began = boot_ms();
    let mut waited_ms = 0;
    loop {
        let scarce_ms = request(cx, organisation, quota, units).await;
        let Charge::Short(missing) = try_charge() else {
            debug!(cx.log, "quota units received"; "organisation" => %organisation,
                "units" => cost, "took_ms" => boot_ms().saturating_sub(began));
            return Ok(());
        };
        units = missing;
        match (Shortage { units, scarce_ms, waited_ms, target_latency_ms }).next_step(quota) {
            QuotaStep::Reject => break,
            QuotaStep::Wait(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                waited_ms += ms;
            }
        }
    }
    drop(waiting);
    // What was gathered in vain may be enough for a smaller request elsewhere.
    deposit_for(cx, |name| name == organisation);
    let (min_s, max_s) = QUOTA_RETRY_AFTER_S;
    let after = (units / quota.per_s.max(1.0)).clamp(min_s, max_s);
    let context = format!(
        "{organisation}: {units:.0} of {cost:.0} quota units are missing after {} ms; {:.0} a second, {:.0} at once",
        boot_ms().saturating_sub(began),
        quota.per_s,
        quota.burst
    );
    Err(Failure::new(Code::OverLimit, context).retry_after(Duration::from_secs_f64(after)))
}

/// Deposits quota units that this entry does not need at one of the pools.
pub(crate) fn deposit(cx: &Context) {
    deposit_for(cx, |_| true);
}

/// Deposits the units of these organisations that this entry does not need at one of the pools.
fn deposit_for(cx: &Context, is_due: impl Fn(&Name) -> bool) {
    let pool = cx.quota_pools.borrow().iter().choose(&mut rand::rng()).cloned();
    let roster = cx.roster.borrow();
    let Some(pool) = pool.as_ref().and_then(|pool| roster.get(pool)) else { return };
    let rules = cx.rules.borrow().clone();
    let now = boot_ms();
    let mut shares = cx.quota_shares.borrow_mut();
    let mut deposits = BTreeMap::new();
    for organisation in rules.organisations().filter(|organisation| is_due(&organisation.name)) {
        let Some(quota) = organisation.quota else { continue };
        let Transfer { units } = shares.take_deposit(&organisation.name, &quota, now);
        if units > 0.0 {
            deposits.insert(organisation.name.clone(), units);
        }
    }
    if !deposits.is_empty() {
        cx.peers().send(cx, pool, Message::QuotaDeposit(deposits));
    }
}

pub(crate) fn receive_deposits(cx: &Context, deposits: BTreeMap<Name, f64>) {
    let rules = cx.rules.borrow().clone();
    for (organisation, units) in deposits {
        let owner = rules.organisation_named(&organisation);
        if let Some(quota) = owner.and_then(|owner| owner.quota) {
            let deposit = Transfer { units };
            let mut shares = cx.quota_shares.borrow_mut();
            shares.receive_deposit(&organisation, &quota, deposit, boot_ms());
        }
    }
}

/// Requests the units that a request lacks of an organisation's quota from the peers, and waits for
/// their replies. The pools are asked first. Returns the time for which units have been scarce, in milliseconds.
async fn request(cx: &Rc<Context>, organisation: &Name, quota: &Quota, shortfall: f64) -> Millis {
    if is_paused(cx, organisation) {
        return 0;
    }
    let capacity = cx.quota_shares.borrow().capacity(quota).max(1.0);
    let from_pools = request_from_pools(cx, organisation, shortfall).await;
    let scarce_ms = if cx.quota_pools.borrow().is_empty() {
        cx.quota_shares.borrow_mut().scarce_ms(organisation, quota, boot_ms())
    } else {
        from_pools.scarce_ms.unwrap_or(0)
    };
    let mut granted = from_pools.amount;
    // What the depositors have left is for their own requests.
    let pools_have_little = from_pools.scarce_ms.is_some_and(is_lasting_shortage);
    if granted >= shortfall || pools_have_little {
        return scarce_ms;
    }
    // The first round asks as many peers as are expected to hold the missing units together. If
    // they grant too little, a second round asks twice as many.
    let first_round = (shortfall / (EXPECTED_FILL * capacity)).ceil() as usize;
    for peer_count in [first_round.max(MIN_PEERS_ASKED), 2 * first_round.max(MIN_PEERS_ASKED)] {
        let live = sample_live_peers(cx, boot_ms(), peer_count.min(MAX_PEERS_ASKED));
        if live.is_empty() {
            break;
        }
        let remaining = shortfall - granted;
        // Requests no more than twice an even share from each peer, to limit the units in transit.
        let share = (2.0 * remaining / live.len() as f64).clamp(1.0, remaining.max(1.0));
        let message = |number| Message::QuotaRequest {
            number,
            organisation: organisation.clone(),
            units: share,
        };
        granted += request_from_peers(cx, &live, message, remaining).await.amount;
        if granted >= shortfall {
            return scarce_ms;
        }
    }
    pause_requests(cx, organisation);
    scarce_ms
}

/// Requests units from the pools.
async fn request_from_pools(cx: &Rc<Context>, organisation: &Name, shortfall: f64) -> Granted {
    let pools: Vec<Entry> = {
        let (roster, pools) = (cx.roster.borrow(), cx.quota_pools.borrow());
        let others = pools.iter().filter(|name| **name != cx.settings.name);
        others.filter_map(|name| roster.get(name).cloned()).collect()
    };
    if pools.is_empty() {
        return Granted::default();
    }
    // No more than twice an even share from each pool, to limit the units in transit.
    let share = (2.0 * shortfall / pools.len() as f64).clamp(1.0, shortfall.max(1.0));
    let message =
        |number| Message::QuotaRequest { number, organisation: organisation.clone(), units: share };
    request_from_peers(cx, &pools, message, shortfall).await
}
