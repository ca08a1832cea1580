//! Terms under which packets to callers may be sent again.

use super::FlowTracker;
use crate::{
    connection::{
        CopyTerms,
        FlowStage,
        ResendHold, //
    },
    request::{
        FlowKey,
        FIRST_COPY_LIFETIME, //
    },
};

impl FlowTracker {
    /// Returns the terms under which packets of a flow may be sent to the caller again; `None` unless
    /// the server holds the flow, the caller hasn't finished and requests of the route may be repeated.
    pub fn copy_terms(&self, key: FlowKey) -> Option<CopyTerms> {
        let entry = self.flows.get(&key)?;
        let is_open = entry.stage == FlowStage::Open;
        let is_held = is_open || entry.stage == FlowStage::Opening;
        if !is_held || entry.server_window.is_none() || entry.caller_done {
            return None;
        }
        let route = self.config.as_ref()?.route(key.service_address)?;
        // The caller sends a second opening packet, which may go to another server, after 200 ms.
        let accept_until = if entry.header.delivered {
            entry.first_used
        } else {
            entry.first_used.plus(FIRST_COPY_LIFETIME)
        };
        route.is_idempotent.then_some(CopyTerms {
            is_open,
            accept_until,
        })
    }

    /// Returns the reason for which no packet may be sent again now.
    pub fn copy_hold(&self) -> Option<ResendHold> {
        if self.stopping {
            return Some(ResendHold::Stopping);
        }
        self.is_evacuated().then_some(ResendHold::Evacuated)
    }
}
