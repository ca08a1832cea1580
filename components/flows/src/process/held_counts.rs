//! Held requests of an agent by priority class.

/// Limit of the classes that are told apart, so that reports stay small.
const MAX_CLASSES: usize = 4;

/// Number of held requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldCount {
    class: u8,
    /// Zero for an unused entry.
    count: u16,
}

/// Numbers of the requests that an agent holds, by priority class.
///
/// Of more than four classes, the least urgent ones are counted as the last of them. A request is never
/// counted as more urgent than it is, since balancers refuse flows by these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldCounts {
    counts: [HeldCount; MAX_CLASSES],
}

impl HeldCounts {
    /// Creates the numbers of an agent that holds no request.
    pub const fn new() -> HeldCounts {
        let unused = HeldCount { class: 0, count: 0 };
        HeldCounts {
            counts: [unused; MAX_CLASSES],
        }
    }

    /// Adds the held requests of a class that is less urgent than those added before.
    pub fn push(&mut self, class: u8, count: u32) {
        let count = u16::try_from(count).unwrap_or(u16::MAX);
        let unused = self.counts.iter().position(|held| held.count == 0);
        if let Some(index) = unused {
            self.counts[index] = HeldCount { class, count };
            return;
        }
        let last = &mut self.counts[MAX_CLASSES - 1];
        last.class = last.class.max(class);
        last.count = last.count.saturating_add(count);
    }

    /// Returns the number of held requests that run before a new one of this class.
    pub fn count_before(&self, class: u8) -> u32 {
        let before = self.iter().filter(|(held, _)| *held <= class);
        before.map(|(_, count)| count).sum()
    }

    /// Returns the classes and their numbers of held requests, the most urgent one first.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u32)> + '_ {
        let used = self.counts.iter().filter(|held| held.count > 0);
        used.map(|held| (held.class, u32::from(held.count)))
    }
}
