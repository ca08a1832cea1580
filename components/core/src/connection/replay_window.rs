//! Replay protection for the datagrams of one sender.

const WORD_BITS: u64 = 64;
/// Width of the window, in counters.
const WINDOW: u64 = 1_024;
/// Words of the bitmap: one more than the window fills, because a window that doesn't start at a
/// word boundary extends over one more. Otherwise its oldest and newest counters would share a
/// word.
const WORDS: usize = (WINDOW / WORD_BITS) as usize + 1;

/// Sliding window over the datagram counters of one sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    words: [u64; WORDS],
}

impl ReplayWindow {
    /// Records `counter` and returns whether it is new.
    ///
    /// Counters start at 1. One below the window counts as repeated, because it is no longer known
    /// whether it was received.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter <= self.highest.saturating_sub(WINDOW) {
            return false;
        }
        if counter > self.highest {
            self.advance(counter);
        }
        let (word, bit) = position(counter);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    fn advance(&mut self, counter: u64) {
        let old_word = self.highest / WORD_BITS;
        let new_word = counter / WORD_BITS;
        let steps = (new_word - old_word).min(WORDS as u64);
        for step in 1..=steps {
            self.words[((old_word + step) as usize) % WORDS] = 0;
        }
        if new_word - old_word > steps {
            self.words = [0; WORDS];
        }
        self.highest = counter;
    }
}

fn position(counter: u64) -> (usize, u64) {
    let word = (counter / WORD_BITS) as usize % WORDS;
    (word, 1 << (counter % WORD_BITS))
}
