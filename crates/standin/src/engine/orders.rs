//! Orders: which models and adapters are loaded, and which role the engine has.

use backend::{EngineState, Loaded, Order};
use kernel::{Code, Failure};

/// Refuses an order with an old fencing number, if the engine checks it.
pub(super) fn admit(
    state: &mut EngineState,
    fence: u64,
    checks_fencing: bool,
) -> Result<(), Failure> {
    if checks_fencing && fence < state.fence {
        let text = format!("order {fence} after order {}", state.fence);
        return Err(Failure::new(Code::OrderFenced, text));
    }
    state.fence = state.fence.max(fence);
    Ok(())
}

/// Carries an order out.
pub(super) fn carry_out(state: &mut EngineState, order: Order) -> Result<(), Failure> {
    match order {
        Order::Load { model, version } => {
            state.models.insert(model, Loaded { version, ..Loaded::default() });
        }
        Order::Unload { model } => drop(state.models.remove(&model)),
        Order::LoadAdapter { model, adapter } => {
            let loaded = state.models.get_mut(&model);
            let unknown = || Failure::new(Code::UnknownModel, model.as_str());
            loaded.ok_or_else(unknown)?.adapters.push(adapter);
        }
        Order::Role { role } => state.role = role,
    }
    Ok(())
}
