//! Times at which the control thread was seen to run.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use carobdrum_core::Millis;
use tokio::{
    task::spawn_local,
    time::sleep, //
};

use super::boot_clock::BootClock;

/// Interval of the ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Times of the last two ticks of the control thread.
///
/// A request that waited in a socket while the process was paused arrived after the last tick before the
/// pause. It is handled before the second tick after it.
#[derive(Clone, Debug)]
pub(crate) struct TickHistory {
    last: Rc<Cell<Millis>>,
    previous: Rc<Cell<Millis>>,
}

impl TickHistory {
    /// Starts the ticks on the current local task set.
    pub(crate) fn start() -> TickHistory {
        let now = BootClock.now();
        let history = TickHistory {
            last: Rc::new(Cell::new(now)),
            previous: Rc::new(Cell::new(now)),
        };
        let ticking = history.clone();
        spawn_local(async move {
            loop {
                sleep(TICK_INTERVAL).await;
                ticking.tick(BootClock.now());
            }
        });
        history
    }

    fn tick(&self, now: Millis) {
        self.previous.set(self.last.replace(now));
    }

    /// Returns the earliest time at which a request that is handled now can have been sent.
    pub(crate) fn earliest_arrival(&self) -> Millis {
        self.previous.get()
    }
}
