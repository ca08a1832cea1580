//! Share of packets that are acknowledged late.

use carobdrum_core::Millis;

/// Length of one step of the windows, in milliseconds.
const STEP_MS: u64 = 100;

/// Number of steps that are kept.
const STEPS: usize = LONG_WINDOW.steps as usize;

/// Inverse of the share of late packets above which the link counts as congested.
const CONGESTED_RATIO: u32 = 10;

/// Period whose packets are counted.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Number of steps, with the current one.
    steps: u64,
    /// Number of late packets up to which the link doesn't count as congested: among few packets, some
    /// that are lost are a large share.
    tolerated: u32,
}

/// Window for links with few packets: 2 s.
const LONG_WINDOW: Window = Window {
    steps: 20,
    tolerated: 1,
};

/// Window for links with many packets: 500 ms. In the long one, the packets from before a congestion
/// outnumber the late ones for some time.
const SHORT_WINDOW: Window = Window {
    steps: 5,
    tolerated: 4,
};

#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    step: u64,
    packets: u32,
    late: u32,
}

/// Share of the recent packets whose acknowledgement didn't come within the delay.
///
/// Lost packets are a small share. On a congested link nearly all packets are late, and copies would
/// add to the load.
#[derive(Clone, Debug, Default)]
pub(super) struct LateShare {
    steps: [StepCounts; STEPS],
}

impl LateShare {
    /// Counts a packet once it is acknowledged or late.
    pub(super) fn record(&mut self, is_late: bool, now: Millis) {
        let step = now.0 / STEP_MS;
        let counts = &mut self.steps[step as usize % STEPS];
        if counts.step != step {
            *counts = StepCounts {
                step,
                ..StepCounts::default()
            };
        }
        counts.packets = counts.packets.saturating_add(1);
        counts.late = counts.late.saturating_add(u32::from(is_late));
    }

    /// Returns whether more than a tenth of the packets are late.
    pub(super) fn is_congested(&self, now: Millis) -> bool {
        self.is_congested_in(LONG_WINDOW, now) || self.is_congested_in(SHORT_WINDOW, now)
    }

    fn is_congested_in(&self, window: Window, now: Millis) -> bool {
        let oldest = (now.0 / STEP_MS).saturating_sub(window.steps - 1);
        let recent = self.steps.iter().filter(|counts| counts.step >= oldest);
        let (packets, late) = recent.fold((0_u32, 0_u32), |(packets, late), counts| {
            let packets = packets.saturating_add(counts.packets);
            (packets, late.saturating_add(counts.late))
        });
        late > window.tolerated && late.saturating_mul(CONGESTED_RATIO) > packets
    }
}
