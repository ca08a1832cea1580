//! Share of a server's slots that a class of requests may use.

use carobdrum_core::Millis;

/// Time after a request during which less urgent classes leave the reserve free.
const RESERVE_DURATION: Millis = Millis(200);

/// Divisor that gives the reserve from the number of slots.
const RESERVE_DIVISOR: u32 = 4;

/// Last arrival of a request of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClassArrival {
    class: u8,
    last: Option<Millis>,
}

/// Decides how many slots the requests of a class may use.
///
/// A share of the slots is kept for the more urgent classes while they have requests: a long
/// request of another class can't be interrupted, so an urgent one would wait for its end.
#[derive(Clone, Debug, Default)]
pub struct SlotPolicy {
    /// Classes of the routes to the server's service, the most urgent one first.
    arrivals: Vec<ClassArrival>,
}

impl SlotPolicy {
    /// Replaces the classes; the last arrivals of those that stay are kept.
    pub fn set_classes(&mut self, classes: impl IntoIterator<Item = u8>) {
        let last = |class| {
            let found = self.arrivals.iter().find(|arrival| arrival.class == class);
            found.and_then(|arrival| arrival.last)
        };
        let mut arrivals: Vec<ClassArrival> = classes
            .into_iter()
            .map(|class| ClassArrival {
                class,
                last: last(class),
            })
            .collect();
        arrivals.sort_by_key(|arrival| arrival.class);
        arrivals.dedup_by_key(|arrival| arrival.class);
        self.arrivals = arrivals;
    }

    /// Returns whether there are requests of different urgency.
    pub fn has_several_classes(&self) -> bool {
        self.arrivals.len() > 1
    }

    /// Records the arrival of a request. Classes that aren't known have no reserve.
    pub fn note_arrival(&mut self, class: u8, now: Millis) {
        let found = self
            .arrivals
            .binary_search_by_key(&class, |arrival| arrival.class);
        if let Ok(index) = found {
            self.arrivals[index].last = Some(now);
        }
    }

    /// Returns up to how many requests in progress one of this class may start at `now`.
    pub fn limit(&self, class: u8, slots: u32, now: Millis) -> u32 {
        let is_reserved = self.reserve_end(class).is_some_and(|end| now < end);
        if is_reserved {
            slots - reserve(slots)
        } else {
            slots
        }
    }

    /// Returns when the reserve for the classes more urgent than this one ends, or has ended;
    /// `None` if they have had no request.
    pub fn reserve_end(&self, class: u8) -> Option<Millis> {
        let more_urgent = self
            .arrivals
            .iter()
            .take_while(|arrival| arrival.class < class);
        let last = more_urgent.filter_map(|arrival| arrival.last).max();
        last.map(|last| last.plus(RESERVE_DURATION))
    }
}

/// Returns the number of slots that are kept for more urgent classes; none of a single slot.
fn reserve(slots: u32) -> u32 {
    if slots < 2 {
        return 0;
    }
    (slots / RESERVE_DIVISOR).max(1)
}
