//! Detection of repeated datagrams of one sender.

const WORD_BITS: u64 = 64;
/// Width of the window, in datagrams.
const WINDOW: u64 = 1_024;
/// One word more than the window fills, because a window that doesn't start at the border of a word
/// touches one more; its oldest and newest counters would share a word otherwise.
const WORDS: usize = (WINDOW / WORD_BITS) as usize + 1;

/// A sliding window over the counters of one sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    words: [u64; WORDS],
}

impl ReplayWindow {
    /// Records `counter` and returns whether it is new.
    ///
    /// Counters start at 1. One that has left the window counts as repeated, because the window
    /// can't tell any more.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter <= self.highest.saturating_sub(WINDOW) {
            return false;
        }
        if counter > self.highest {
            self.advance(counter);
        }
        let (word, bit) = position(counter);
        let fresh = self.words[word] & bit == 0;
        self.words[word] |= bit;
        fresh
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
