//! Processing time of a backend server's requests, for the balancers.

use carobdrum_core::Millis;

/// Number of samples from which the average is reported. Fewer would make a server look fast or slow
/// by chance.
const MIN_SAMPLES: u32 = 16;

/// Limits of the number of samples over which the average extends. With 64 samples of exponentially
/// distributed times, its standard deviation is 9%.
const SHORTEST_WINDOW: u64 = 16;
const LONGEST_WINDOW: u64 = 64;

/// Time over which the average extends, within these limits, so that a server that gets few requests
/// soon shows that it has recovered.
const WINDOW: Millis = Millis(4_000);

/// Time after the first response from which an unknown average is computed from those of a queue. The
/// callers that open their flows when a server starts make a short queue, which tells less.
const SETTLING_TIME: Millis = Millis(1_000);

/// Time without a response after which the average is unknown.
const RETENTION: Millis = Millis(10_000);

/// Upper bound of a sample, as a multiple of the average; a longer time indicates a fault rather than
/// work.
const MAX_DEVIATION: u64 = 4;

/// Upper bound of the average, in microseconds.
const MAX_AVERAGE_US: u64 = 60_000_000;

/// Moving average of the time from a request to the start of its response.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    average_us: u64,
    /// Number of samples, up to [`LONGEST_WINDOW`].
    samples: u32,
    first_response: Option<Millis>,
    last_sample: Millis,
    last_response: Millis,
    /// Whether requests were queued at the last response.
    was_queued: bool,
}

impl WorkTime {
    /// Records that a response began after `time`. The time is no sample if other requests were queued,
    /// since it includes their delay then.
    ///
    /// A server that is overloaded from its start gives no such sample. While the average is unknown after
    /// a second, it is computed from the intervals between responses, in which all `slots` were in
    /// use. Once it is known it isn't, as an overloaded server also rejects requests at once.
    pub fn record(&mut self, time: Millis, is_queued: bool, slots: u32, now: Millis) {
        if now.since(self.last_response) >= RETENTION {
            *self = WorkTime::default();
        }
        let first_response = *self.first_response.get_or_insert(now);
        let has_settled = now.since(first_response) >= SETTLING_TIME;
        let was_queued = std::mem::replace(&mut self.was_queued, is_queued);
        let since_last = now.since(std::mem::replace(&mut self.last_response, now));
        let time = match (is_queued, was_queued) {
            (false, _) => time.0,
            (true, true) if self.samples < MIN_SAMPLES && has_settled => {
                since_last.0.saturating_mul(u64::from(slots))
            }
            _ => return,
        };
        let mut sample_us = time.saturating_mul(1_000).min(MAX_AVERAGE_US);
        if self.samples >= MIN_SAMPLES {
            // A time below a millisecond is measured as zero.
            sample_us = sample_us.min(self.average_us.max(1_000) * MAX_DEVIATION);
        }
        let interval = now.since(self.last_sample).0.max(1);
        let window = (WINDOW.0 / interval).clamp(SHORTEST_WINDOW, LONGEST_WINDOW);
        self.samples = self.samples.saturating_add(1).min(LONGEST_WINDOW as u32);
        let window = window.min(u64::from(self.samples));
        self.average_us = (self.average_us * (window - 1) + sample_us) / window;
        self.last_sample = now;
    }

    /// Returns the average in microseconds; zero while it is unknown.
    pub fn average_us(&self, now: Millis) -> u32 {
        let is_known = self.samples >= MIN_SAMPLES && now.since(self.last_response) < RETENTION;
        if is_known {
            u32::try_from(self.average_us).unwrap_or(u32::MAX)
        } else {
            0
        }
    }
}
