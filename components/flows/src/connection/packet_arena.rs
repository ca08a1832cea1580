//! Storage of held packets.

use bytes::Bytes;

use crate::request::FlowPacket;

/// A held packet of a caller.
#[derive(Clone, Debug)]
pub(super) struct HeldPacket {
    /// Fields of the packet.
    pub(super) packet: FlowPacket,
    /// The packet itself.
    pub(super) bytes: Bytes,
}

/// Packets of one request, in order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PacketList {
    first: Option<u32>,
    last: Option<u32>,
    /// Number of packets.
    pub(super) len: u32,
}

#[derive(Clone, Debug)]
struct ArenaEntry {
    /// `None` while the entry is free.
    held: Option<HeldPacket>,
    /// Next packet of the list, or next free entry.
    next: Option<u32>,
}

/// Arena of lists of packets, whose entries are reused.
#[derive(Clone, Debug, Default)]
pub(super) struct PacketArena {
    entries: Vec<ArenaEntry>,
    free: Option<u32>,
    len: usize,
    bytes: usize,
}

impl PacketArena {
    /// Adds a packet to the end of a list.
    pub(super) fn push(&mut self, list: &mut PacketList, held: HeldPacket) {
        self.len += 1;
        self.bytes += held.bytes.len();
        let entry = ArenaEntry {
            held: Some(held),
            next: None,
        };
        let index = match self.free {
            Some(index) => {
                self.free = self.entries[index as usize].next;
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        match list.last {
            Some(last) => self.entries[last as usize].next = Some(index),
            None => list.first = Some(index),
        }
        list.last = Some(index);
        list.len += 1;
    }

    /// Removes and returns the first packet of a list.
    pub(super) fn pop(&mut self, list: &mut PacketList) -> Option<HeldPacket> {
        let index = list.first?;
        let entry = &mut self.entries[index as usize];
        let held = entry.held.take()?;
        list.first = entry.next;
        if list.first.is_none() {
            list.last = None;
        }
        list.len -= 1;
        entry.next = self.free;
        self.free = Some(index);
        self.len -= 1;
        self.bytes -= held.bytes.len();
        Some(held)
    }

    /// Returns the packets of a list in order.
    pub(super) fn iter(&self, list: PacketList) -> impl Iterator<Item = &HeldPacket> {
        let mut next = list.first;
        std::iter::from_fn(move || {
            let entry = &self.entries[next? as usize];
            next = entry.next;
            entry.held.as_ref()
        })
    }

    /// Returns the number of packets of all lists.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the length of the packets of all lists, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
