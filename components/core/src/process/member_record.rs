//! What is known of one member.

use std::{
    cmp::Ordering,
    net::SocketAddrV4, //
};

use compact_str::CompactString;

use super::{
    wire_len::{
        text_len,
        varint_len, //
    },
    MemberRole,
    MemberState, //
};

/// Full warmth, in 1/255 of the slots.
pub const FULL_WARMUP_LEVEL: u8 = 255;

/// Length of the fixed fields of an encoded record: address, port, role, state, their tags, and
/// the tag and length of the record itself.
const FIXED_LEN: usize = 5 + 4 + 2 + 2 + 2;

/// One member as announced by itself or judged by others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name: the backend server's for an agent, the balancer's own otherwise.
    pub name: CompactString,
    /// Address and port of the tunnel and the control channel; identifies the member.
    pub address: SocketAddrV4,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Name of the region.
    pub region: CompactString,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Grows with each change that the member itself announces; starts at 1.
    pub sequence: u32,
    /// Requests that the server may run at once; 0 for a balancer.
    pub slots: u32,
    /// What the member does.
    pub role: MemberRole,
    /// State of the member.
    pub state: MemberState,
    /// Share of its slots that the server bears now, in 1/255.
    pub warmup_level: u8,
}

impl MemberRecord {
    /// Starts a record of a warm member without slots.
    pub fn builder(role: MemberRole, address: SocketAddrV4, incarnation: u64) -> MemberBuilder {
        MemberBuilder {
            record: MemberRecord {
                name: CompactString::default(),
                address,
                data_centre: CompactString::default(),
                region: CompactString::default(),
                incarnation,
                sequence: 1,
                slots: 0,
                role,
                state: MemberState::Warm,
                warmup_level: FULL_WARMUP_LEVEL,
            },
        }
    }

    /// Compares the age of two records of one address: incarnation, then sequence, then severity.
    pub fn cmp_age(&self, other: &MemberRecord) -> Ordering {
        let own = (self.incarnation, self.sequence, self.state);
        own.cmp(&(other.incarnation, other.sequence, other.state))
    }

    /// Returns a copy in another state, at the same sequence.
    pub fn with_state(&self, state: MemberState) -> MemberRecord {
        MemberRecord {
            state,
            ..self.clone()
        }
    }

    /// Returns a copy for messages: of an accusation only what identifies the accused process, which
    /// the receiver knows otherwise.
    pub fn for_message(&self) -> MemberRecord {
        if !self.state.is_accusation() {
            return self.clone();
        }
        let builder = MemberRecord::builder(self.role, self.address, self.incarnation);
        let builder = builder.sequence(self.sequence).state(self.state);
        builder.slots(0, 0).build()
    }

    /// Fills what [`MemberRecord::for_message`] left out from the record held for the address.
    pub fn complete_from(&mut self, held: &MemberRecord) {
        if !self.state.is_accusation() || !self.name.is_empty() {
            return;
        }
        self.name = held.name.clone();
        self.data_centre = held.data_centre.clone();
        self.region = held.region.clone();
        self.slots = held.slots;
        self.warmup_level = held.warmup_level;
    }

    /// Raises the sequence, or the incarnation after a clock went back, above those of `other`.
    pub fn supersede(&mut self, other: &MemberRecord) {
        if other.incarnation > self.incarnation {
            self.incarnation = other.incarnation + 1;
            self.sequence = 1;
        } else {
            self.sequence = self.sequence.max(other.sequence) + 1;
        }
    }

    /// Returns 2 for a member in the same data centre, 1 in the same region and 0 elsewhere.
    pub fn closeness(&self, other: &MemberRecord) -> u8 {
        match (
            self.data_centre == other.data_centre,
            self.region == other.region,
        ) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        }
    }

    /// Returns the share of new flows: slots times warmth, in 1/255, or 0 if none may be placed.
    ///
    /// A suspected member keeps its share, because most suspicions under packet loss are refuted.
    pub fn weight(&self) -> u32 {
        match self.state {
            MemberState::Draining | MemberState::Dead => 0,
            _ => self.slots * u32::from(self.warmup_level),
        }
    }

    /// Returns the encoded length in a message, in bytes.
    pub fn wire_len(&self) -> usize {
        FIXED_LEN
            + text_len(&self.name)
            + text_len(&self.data_centre)
            + text_len(&self.region)
            + varint_len(self.incarnation)
            + varint_len(self.sequence.into())
            + varint_len(self.slots.into())
            + varint_len(self.warmup_level.into())
    }
}

/// Collects the settings of a [`MemberRecord`].
#[derive(Clone, Debug)]
pub struct MemberBuilder {
    record: MemberRecord,
}

impl MemberBuilder {
    /// Sets the name.
    pub fn name(mut self, name: impl Into<CompactString>) -> MemberBuilder {
        self.record.name = name.into();
        self
    }

    /// Sets the data centre and its region.
    pub fn location(
        mut self,
        data_centre: impl Into<CompactString>,
        region: impl Into<CompactString>,
    ) -> MemberBuilder {
        self.record.data_centre = data_centre.into();
        self.record.region = region.into();
        self
    }

    /// Sets the sequence.
    pub fn sequence(mut self, sequence: u32) -> MemberBuilder {
        self.record.sequence = sequence;
        self
    }

    /// Sets the state.
    pub fn state(mut self, state: MemberState) -> MemberBuilder {
        self.record.state = state;
        self
    }

    /// Sets the slots and the share of them that the server bears now.
    pub fn slots(mut self, slots: u32, warmup_level: u8) -> MemberBuilder {
        self.record.slots = slots;
        self.record.warmup_level = warmup_level;
        self
    }

    /// Returns the record.
    pub fn build(self) -> MemberRecord {
        self.record
    }
}
