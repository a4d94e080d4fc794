//! Repairs the fleet: starts each missing VM exactly once, even if the process dies partway.
//!
//! Each wanted VM has a slot, a key in the key-value service that is written before the VM starts.
//! The slot holds an idempotency token: the cloud returns the same VM for the same token. A
//! successor finds the slot and continues with its token. A VM whose token has no slot is an
//! orphan and is stopped. This module does no I/O.

use kernel::Name;
use std::collections::BTreeMap;

/// A wanted VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Number of the slot, which is part of its key.
    pub number: u64,
    /// Offer that the VM is started from.
    pub offer: Name,
    /// Idempotency token of the start, generated anew for each slot.
    pub token: Name,
    /// Name of the VM, once it has started.
    pub vm: Option<Name>,
}

/// A stored slot with the revision of its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSlot {
    /// The slot.
    pub slot: Slot,
    /// Revision of the last write to the key.
    pub revision: i64,
}

/// A VM that the cloud has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Token with which the VM was started.
    pub token: Name,
}

/// The VMs as read from the cloud, and the slots as read from the key-value service.
///
/// Read the VMs before the slots. Otherwise, a VM may seem to have no slot because its slot was
/// written between the two reads.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetState {
    /// Running VMs.
    pub running: Vec<StartedVm>,
    /// Ended VMs.
    pub ended: Vec<StartedVm>,
    /// All slots.
    pub slots: Vec<StoredSlot>,
}

/// Next step of the repair. Read the fleet again after each step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RepairAction {
    /// Create this slot if its key does not exist.
    Create(Slot),
    /// Start the VM of this slot with its token.
    Start(StoredSlot),
    /// Write the name of the VM into the slot if the revision of the slot is unchanged.
    Record(StoredSlot),
    /// Remove the slot if its revision is unchanged.
    Remove(StoredSlot),
    /// Stop a VM without a slot.
    Stop(Name),
    /// No change is needed, or none is possible now.
    Nothing,
}

/// Returns the next step towards the wanted number of VMs of each offer.
///
/// `refused` lists the offers that the cloud currently refuses to start VMs from. `random` is a
/// random number for a new token.
pub fn repair(
    wanted: &BTreeMap<Name, usize>,
    refused: &[Name],
    fleet: &FleetState,
    random: u64,
) -> RepairAction {
    let slots = || fleet.slots.iter();
    if let Some(orphan) = fleet.running.iter().find(|vm| slots().all(|s| s.slot.token != vm.token))
    {
        return RepairAction::Stop(orphan.vm.clone());
    }
    // A VM may end before its name is written into its slot. Its token then starts no VM any more.
    let ended = |s: &&StoredSlot| fleet.ended.iter().any(|vm| vm.token == s.slot.token);
    if let Some(slot) = slots().find(ended) {
        return RepairAction::Remove(slot.clone());
    }
    if let Some(slot) = slots().find(|s| s.slot.vm.is_none()) {
        return continue_start(wanted, refused, fleet, slot);
    }
    let count = |offer: &Name| slots().filter(|s| s.slot.offer == *offer).count();
    let missing =
        wanted.iter().find(|(offer, wanted)| count(offer) < **wanted && !refused.contains(offer));
    match missing {
        Some((offer, _)) => RepairAction::Create(new_slot(fleet, offer, random)),
        None => RepairAction::Nothing,
    }
}

/// Continues the start of a VM for a slot that names none yet, whichever process created the slot.
fn continue_start(
    wanted: &BTreeMap<Name, usize>,
    refused: &[Name],
    fleet: &FleetState,
    slot: &StoredSlot,
) -> RepairAction {
    let offer = &slot.slot.offer;
    if let Some(vm) = fleet.running.iter().find(|vm| vm.token == slot.slot.token) {
        let vm = Some(vm.vm.clone());
        return RepairAction::Record(StoredSlot {
            slot: Slot { vm, ..slot.slot.clone() },
            ..*slot
        });
    }
    let count = fleet.slots.iter().filter(|s| s.slot.offer == *offer).count();
    if count > wanted.get(offer).copied().unwrap_or(0) || refused.contains(offer) {
        return RepairAction::Remove(slot.clone());
    }
    RepairAction::Start(slot.clone())
}

fn new_slot(fleet: &FleetState, offer: &Name, random: u64) -> Slot {
    let used = |number: &u64| fleet.slots.iter().any(|s| s.slot.number == *number);
    let number = (0..).find(|number| !used(number)).unwrap_or_default();
    Slot {
        number,
        offer: offer.clone(),
        token: Name::from(format!("{number}-{random:016x}")),
        vm: None,
    }
}
