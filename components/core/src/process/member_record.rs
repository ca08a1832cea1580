//! The record of one member.

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

/// Warm-up level of a member that uses all of its slots, in 1/255 of the slots.
pub const FULL_WARMUP_LEVEL: u8 = 255;

/// Length of the fixed fields of an encoded record: address, port, role, state, their tags, and
/// the tag and length of the record itself.
const RECORD_FIXED_LEN: usize = 5 + 4 + 2 + 2 + 2;

/// A member as it announces itself, or as others report its failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the backend server for an agent, and of the balancer itself for a balancer.
    pub name: CompactString,
    /// Address and port of the tunnel and the control channel. It identifies the member.
    pub address: SocketAddrV4,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Name of the region.
    pub region: CompactString,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the record, raised by the member itself with each change and each refutation;
    /// starts at 1.
    pub sequence: u32,
    /// Number of requests that the backend server may run at once; 0 for a balancer.
    pub slots: u32,
    /// Whether the member is a balancer or an agent.
    pub role: MemberRole,
    /// State that the member announced, or that others reported since.
    pub state: MemberState,
    /// Share of its slots that the backend server can use now, in 1/255.
    pub warmup_level: u8,
}

impl MemberRecord {
    /// Creates a builder of a record with sequence 1, for a warm member without slots.
    /// `incarnation` is the start time of the process, in milliseconds since the Unix epoch.
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

    /// Compares two records of one address by incarnation, then sequence, then state. The newer
    /// record is the greater one.
    pub fn cmp_age(&self, other: &MemberRecord) -> Ordering {
        let own = (self.incarnation, self.sequence, self.state);
        own.cmp(&(other.incarnation, other.sequence, other.state))
    }

    /// Returns a copy with another state and the same sequence.
    pub fn with_state(&self, state: MemberState) -> MemberRecord {
        MemberRecord {
            state,
            ..self.clone()
        }
    }

    /// Returns a copy for messages.
    ///
    /// The copy of a failure report has only the fields that identify the reported process, because
    /// the receiver has the others from the member itself.
    pub fn message_copy(&self) -> MemberRecord {
        if !self.state.is_failure_report() {
            return self.clone();
        }
        let builder = MemberRecord::builder(self.role, self.address, self.incarnation);
        let builder = builder.sequence(self.sequence).state(self.state);
        builder.slots(0, 0).build()
    }

    /// Fills in the fields that [`MemberRecord::message_copy`] omits, from the record held for the
    /// address.
    pub fn complete_from(&mut self, held: &MemberRecord) {
        if !self.state.is_failure_report() || !self.name.is_empty() {
            return;
        }
        self.name = held.name.clone();
        self.data_centre = held.data_centre.clone();
        self.region = held.region.clone();
        self.slots = held.slots;
        self.warmup_level = held.warmup_level;
    }

    /// Makes this record newer than `other`, by a higher sequence or, if the clock was set back
    /// before this process started, by a higher incarnation.
    pub fn supersede(&mut self, other: &MemberRecord) {
        if other.incarnation > self.incarnation {
            self.incarnation = other.incarnation + 1;
            self.sequence = 1;
        } else {
            self.sequence = self.sequence.max(other.sequence) + 1;
        }
    }

    /// Returns 2 if both members are in the same data centre, 1 if they are only in the same
    /// region, and 0 otherwise.
    pub fn proximity(&self, other: &MemberRecord) -> u8 {
        match (
            self.data_centre == other.data_centre,
            self.region == other.region,
        ) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        }
    }

    /// Returns the weight of the member in the placement of new flows: its slots times its warm-up
    /// level in 1/255, or 0 if it takes no new flows.
    ///
    /// A suspected member keeps its weight, because most suspicions under packet loss are refuted.
    pub fn weight(&self) -> u32 {
        match self.state {
            MemberState::Draining | MemberState::Dead => 0,
            _ => self.slots * u32::from(self.warmup_level),
        }
    }

    /// Returns the encoded length in a message, in bytes.
    pub fn wire_len(&self) -> usize {
        RECORD_FIXED_LEN
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
    /// Sets the name of the backend server or balancer; empty by default.
    pub fn name(mut self, name: impl Into<CompactString>) -> MemberBuilder {
        self.record.name = name.into();
        self
    }

    /// Sets the names of the data centre and its region; empty by default.
    pub fn location(
        mut self,
        data_centre: impl Into<CompactString>,
        region: impl Into<CompactString>,
    ) -> MemberBuilder {
        self.record.data_centre = data_centre.into();
        self.record.region = region.into();
        self
    }

    /// Sets the sequence; 1 by default.
    pub fn sequence(mut self, sequence: u32) -> MemberBuilder {
        self.record.sequence = sequence;
        self
    }

    /// Sets the state; [`MemberState::Warm`] by default.
    pub fn state(mut self, state: MemberState) -> MemberBuilder {
        self.record.state = state;
        self
    }

    /// Sets the slots and the warm-up level, in 1/255 of them; no slots and
    /// [`FULL_WARMUP_LEVEL`] by default.
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
