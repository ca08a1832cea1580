//! Grouping of datagrams, so that one system call sends several.

use std::net::SocketAddrV4;

/// Maximum number of datagrams in one segmented send; the kernel's limit for UDP segmentation is
/// 64.
const MAX_SEGMENTS: usize = 60;
/// Length in bytes from which a batch is sent, so that it stays in the CPU cache.
const FLUSH_LEN: usize = 64 * 1024;
/// Maximum length of one segmented send in bytes, below the limit of an IP packet.
const MAX_GROUP_LEN: usize = 65_000;

struct SendGroup {
    socket: u16,
    destination: SocketAddrV4,
    segment_len: usize,
    start: usize,
    segments: usize,
    closed: bool,
}

/// Datagrams to be sent, grouped by socket, destination and length.
#[derive(Default)]
pub(crate) struct SendBatch {
    buffer: Vec<u8>,
    committed: usize,
    groups: Vec<SendGroup>,
}

impl SendBatch {
    /// Returns the buffer to which the next datagram is appended; [`SendBatch::commit`] follows.
    pub(crate) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Adds the bytes appended since the last commit as one datagram to `destination`.
    pub(crate) fn commit(&mut self, socket: u16, destination: SocketAddrV4) {
        let start = self.committed;
        let len = self.buffer.len() - start;
        self.committed = self.buffer.len();
        if let Some(group) = self.groups.last_mut() {
            let fits = !group.closed
                && group.socket == socket
                && group.destination == destination
                && len <= group.segment_len
                && group.segments < MAX_SEGMENTS
                && self.buffer.len() - group.start <= MAX_GROUP_LEN;
            if fits {
                group.segments += 1;
                // Only the last segment of a send may be shorter than the others.
                group.closed = len < group.segment_len;
                return;
            }
        }
        self.groups.push(SendGroup {
            socket,
            destination,
            segment_len: len,
            start,
            segments: 1,
            closed: false,
        });
    }

    /// Returns the groups: socket, destination, bytes, and the segment length if the group has
    /// several datagrams.
    pub(crate) fn groups(
        &self,
    ) -> impl Iterator<Item = (u16, SocketAddrV4, &[u8], Option<usize>)> + '_ {
        let ends = self.groups.iter().skip(1).map(|group| group.start);
        let ends = ends.chain(std::iter::once(self.buffer.len()));
        self.groups.iter().zip(ends).map(|(group, end)| {
            let segment_len = (group.segments > 1).then_some(group.segment_len);
            let bytes = &self.buffer[group.start..end];
            (group.socket, group.destination, bytes, segment_len)
        })
    }

    /// Returns whether the batch should be sent before more datagrams are added.
    pub(crate) fn is_full(&self) -> bool {
        self.buffer.len() >= FLUSH_LEN
    }

    /// Removes all datagrams and keeps the memory.
    pub(crate) fn clear(&mut self) {
        self.buffer.clear();
        self.committed = 0;
        self.groups.clear();
    }
}
