//! Sequence numbers that a server has used in a flow.

/// Sequence numbers of one end of a flow, from its first packet to the last byte sent so far.
///
/// Two flows with the same endpoints differ in them, since each server chooses the first number anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceWindow {
    first: u32,
    /// Number after the last byte.
    end: u32,
}

impl SequenceWindow {
    /// Creates the window of a flow that has just been accepted with this sequence number.
    pub fn new(first: u32) -> SequenceWindow {
        SequenceWindow {
            first,
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
        if end.wrapping_sub(self.first) < u32::MAX / 2 && end.wrapping_sub(self.end) < u32::MAX / 2
        {
            self.end = end;
        }
    }

    /// Returns whether the peer can have acknowledged up to this number in the flow.
    pub fn is_acknowledged_by(&self, acknowledged: u32) -> bool {
        acknowledged.wrapping_sub(self.first) <= self.end.wrapping_sub(self.first)
    }
}
