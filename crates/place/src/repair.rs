//! Repair of the fleet: starts what is missing, once, also when the process dies partway; pure.
//!
//! Each VM that shall run has a slot, a key in the key-value service, written before the start. It
//! holds the token of the start: the cloud answers the same token with the same VM. Whoever comes
//! next finds the slot and goes on with its token. A VM whose token has no slot is not wanted.

use kernel::Name;
use std::collections::BTreeMap;

/// A VM that shall run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Number of the slot, a part of its key.
    pub number: u64,
    /// What is started.
    pub offer: Name,
    /// Token of the start, drawn anew for each slot.
    pub token: Name,
    /// The VM, once it has started.
    pub vm: Option<Name>,
}

/// A slot as read, with the revision of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSlot {
    /// The slot.
    pub slot: Slot,
    /// Revision of the last change.
    pub revision: i64,
}

/// A VM that the cloud has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// Name of the VM.
    pub vm: Name,
    /// Token that it was started with.
    pub token: Name,
}

/// The fleet as read. The VMs must have been read before the slots, so that a VM without a slot is
/// not one whose slot is just being written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// VMs that run.
    pub running: Vec<Running>,
    /// VMs that have ended.
    pub ended: Vec<Running>,
    /// Every slot.
    pub slots: Vec<StoredSlot>,
}

/// What to do next; after each step the fleet is read again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Create this slot, if no key stands there.
    Create(Slot),
    /// Start the VM of this slot, with its token.
    Start(StoredSlot),
    /// Write the VM into the slot, if its revision is still this one.
    Record(StoredSlot),
    /// Remove the slot, if its revision is still this one.
    Remove(StoredSlot),
    /// Stop a VM that has no slot.
    Stop(Name),
    /// The fleet is as wanted.
    Nothing,
}

/// Returns the next step towards the wanted number of VMs of each offer. `refused` are offers that
/// the cloud does not start at present; `draw` is a random number for a new token.
pub fn repair(
    wanted: &BTreeMap<Name, usize>,
    refused: &[Name],
    fleet: &Fleet,
    draw: u64,
) -> Action {
    let slots = || fleet.slots.iter();
    if let Some(orphan) = fleet.running.iter().find(|vm| slots().all(|s| s.slot.token != vm.token))
    {
        return Action::Stop(orphan.vm.clone());
    }
    // A VM may have ended before its slot names it; its token would start nothing any more.
    let ended = |s: &&StoredSlot| fleet.ended.iter().any(|vm| vm.token == s.slot.token);
    if let Some(slot) = slots().find(ended) {
        return Action::Remove(slot.clone());
    }
    if let Some(slot) = slots().find(|s| s.slot.vm.is_none()) {
        return go_on(wanted, refused, fleet, slot);
    }
    let count = |offer: &Name| slots().filter(|s| s.slot.offer == *offer).count();
    let missing = wanted.iter().find(|(offer, n)| count(offer) < **n && !refused.contains(offer));
    match missing {
        Some((offer, _)) => Action::Create(new_slot(fleet, offer, draw)),
        None => Action::Nothing,
    }
}

/// Goes on with a slot that has no VM yet, whoever has created it.
fn go_on(
    wanted: &BTreeMap<Name, usize>,
    refused: &[Name],
    fleet: &Fleet,
    slot: &StoredSlot,
) -> Action {
    let offer = &slot.slot.offer;
    if let Some(vm) = fleet.running.iter().find(|vm| vm.token == slot.slot.token) {
        let vm = Some(vm.vm.clone());
        return Action::Record(StoredSlot { slot: Slot { vm, ..slot.slot.clone() }, ..*slot });
    }
    let held = fleet.slots.iter().filter(|s| s.slot.offer == *offer).count();
    if held > wanted.get(offer).copied().unwrap_or(0) || refused.contains(offer) {
        return Action::Remove(slot.clone());
    }
    Action::Start(slot.clone())
}

fn new_slot(fleet: &Fleet, offer: &Name, draw: u64) -> Slot {
    let used = |number: &u64| fleet.slots.iter().any(|s| s.slot.number == *number);
    let number = (0..).find(|number| !used(number)).unwrap_or_default();
    Slot {
        number,
        offer: offer.clone(),
        token: Name::from(format!("{number}-{draw:016x}")),
        vm: None,
    }
}
