//! The batch: a bounded number of requests run, the others wait by priority.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Places for running requests.
#[derive(Debug)]
pub(super) struct Batch {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    free: usize,
    running: u32,
    arrivals: u64,
    waiting: BinaryHeap<Waiting>,
}

/// A request that waits: the highest priority first, then the earliest arrival.
#[derive(Debug)]
struct Waiting {
    rank: (u8, Reverse<u64>),
    tx: oneshot::Sender<()>,
}

impl Eq for Waiting {}
impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}
impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}
impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A place in the batch; dropping it gives it to the next request.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Arc<Batch>,
}

impl Batch {
    pub(super) fn new(places: usize) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(State { free: places, ..State::default() }) })
    }

    /// Returns how many requests run and how many wait.
    pub(super) fn counts(&self) -> (u32, u32) {
        let state = self.state();
        let waiting = state.waiting.iter().filter(|waiting| !waiting.tx.is_closed()).count();
        (state.running, waiting as u32)
    }

    /// Waits for a place.
    pub(super) async fn enter(self: &Arc<Self>, priority: u8) -> Option<Slot> {
        let rx = {
            let mut state = self.state();
            if state.free > 0 {
                state.free -= 1;
                state.running += 1;
                return Some(Slot { batch: self.clone() });
            }
            let (tx, rx) = oneshot::channel();
            state.arrivals += 1;
            let rank = (priority, Reverse(state.arrivals));
            state.waiting.push(Waiting { rank, tx });
            rx
        };
        // Whoever was sent a place holds it from then on, even if it stops waiting at that moment.
        let mut place = Place { batch: self, rx };
        let given = (&mut place.rx).await;
        given.ok().map(|()| Slot { batch: self.clone() })
    }

    /// Gives a free place to the next request that still waits.
    fn leave(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state();
                let next = state.waiting.pop();
                if next.is_none() {
                    state.free += 1;
                    state.running -= 1;
                }
                next
            };
            let Some(next) = next else { return };
            if next.tx.send(()).is_ok() {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for a place.
struct Place<'a> {
    batch: &'a Arc<Batch>,
    rx: oneshot::Receiver<()>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.rx.close();
        if self.rx.try_recv().is_ok() {
            self.batch.leave();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batch.clone().leave();
    }
}
