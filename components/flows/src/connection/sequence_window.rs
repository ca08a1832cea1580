//! Sequence numbers that a server has used in a flow.

/// Largest distance between the oldest acknowledgement that counts and the last byte sent. It lets flows
/// use up the sequence numbers without an end of the window.
const MAX_SPAN: u32 = 1 << 30;

/// Sequence numbers of one end of a flow, from its first packet to the last byte sent so far.
///
/// Two flows with the same endpoints differ in them, since each server chooses the first number anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceWindow {
    first: u32,
    /// Oldest number whose acknowledgement counts.
    oldest: u32,
    /// Number after the last byte.
    end: u32,
}

impl SequenceWindow {
    /// Creates the window of a flow that has just been accepted with this sequence number.
    pub fn new(first: u32) -> SequenceWindow {
        SequenceWindow {
            first,
            oldest: first,
            end: first.wrapping_add(1),
        }
    }

    /// Returns the first sequence number.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Extends the window by a packet with `len` bytes of data. The end of the data counts as a byte.
    pub fn extend(&mut self, sequence: u32, len: u16) {
        let end = sequence.wrapping_add(u32::from(len)).wrapping_add(1);
        if end.wrapping_sub(self.end) < MAX_SPAN {
            self.end = end;
        }
        if self.end.wrapping_sub(self.oldest) > MAX_SPAN {
            self.oldest = self.end.wrapping_sub(MAX_SPAN);
        }
    }

    /// Returns whether the peer can have acknowledged up to this number in the flow.
    pub fn is_acknowledged_by(&self, acknowledged: u32) -> bool {
        acknowledged.wrapping_sub(self.oldest) <= self.end.wrapping_sub(self.oldest)
    }
}
