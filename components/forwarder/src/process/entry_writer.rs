//! Store entry of an agent.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
};

use carobdrum_flows::process::AgentRecord;
use compact_str::CompactString;
use ractor::ActorRef;
use tracing::{
    info,
    warn, //
};

use super::lease_actor::LeaseMessage;

/// Writes the agent's store entry: once the server has sent a heartbeat, and whenever its service changes
/// or it begins or ends to leave.
///
/// Until the first heartbeat, the entry of an earlier process remains, which may show that the server
/// is leaving.
#[derive(Clone)]
pub(crate) struct EntryWriter {
    lease: ActorRef<LeaseMessage>,
    /// The entry, written or not.
    pub(crate) record: Rc<RefCell<AgentRecord>>,
    is_written: Rc<Cell<bool>>,
}

impl EntryWriter {
    /// Creates the writer of an entry that begins as `record`; nothing is written yet.
    pub(crate) fn new(lease: ActorRef<LeaseMessage>, record: AgentRecord) -> EntryWriter {
        EntryWriter {
            lease,
            record: Rc::new(RefCell::new(record)),
            is_written: Rc::default(),
        }
    }

    /// Writes the entry if it has changed. `service` is `None` if it remains.
    pub(crate) fn update(&self, service: Option<CompactString>, is_leaving: bool) {
        let mut record = self.record.borrow_mut();
        let service = service.unwrap_or_else(|| record.service.clone());
        let is_same = record.service == service && record.is_leaving == is_leaving;
        if is_same && self.is_written.get() {
            return;
        }
        info!(before = %record.service, after = %service, is_leaving, "store entry changes");
        record.service = service;
        record.is_leaving = is_leaving;
        self.is_written.set(true);
        let message = LeaseMessage::Write(record.clone());
        if self.lease.send_message(message).is_err() {
            warn!("store entry not written: the lease actor has ended");
        }
    }
}
