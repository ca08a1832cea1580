//! Requests on open flows that are held until the server has a slot for them.

use bytes::Bytes;
use carobdrum_core::Millis;

use super::{
    later::next_redirect,
    FlowTracker, //
};
use crate::{
    connection::{
        FlowStage,
        RedirectCause,
        ReleaseCause,
        RequestTerms, //
        TrackerAction,
    },
    request::{
        FlowKey,
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
};

impl FlowTracker {
    /// Sends the held requests that are due, in order.
    pub fn send_held(&mut self, now: Millis, actions: &mut Vec<TrackerAction>) {
        if self.requests.is_empty() {
            return;
        }
        if !self.holds_requests() {
            while let Some(key) = self.requests.first() {
                self.release(key, ReleaseCause::Stopping, now, actions);
            }
            return;
        }
        while let Some((key, cause)) = self.requests.next_due(&self.load, now) {
            self.release(key, cause, now, actions);
        }
    }

    /// Returns when [`FlowTracker::send_held`] is due next, unless a request ends before; `None` if
    /// no request is held.
    pub fn next_held_deadline(&self, now: Millis) -> Option<Millis> {
        if self.requests.is_empty() {
            return None;
        }
        if !self.holds_requests() {
            return Some(now);
        }
        self.requests.next_deadline(&self.load, now)
    }

    /// Decides anew whether requests are held, and orders those that are, after a change of the
    /// configuration, the settings or the service.
    pub(super) fn update_scheduling(&mut self) {
        self.is_scheduling = false;
        let Some(config) = &self.config else {
            return;
        };
        if self.settings.schedule_requests {
            let routes = config.routes().iter().filter(|route| {
                let mut shares = route.shares.iter();
                shares.any(|share| share.service == self.settings.service)
            });
            let policy = self.requests.policy();
            policy.set_classes(routes.map(|route| route.priority));
            self.is_scheduling = policy.has_several_classes();
        }
        if self.is_scheduling && !self.requests.is_empty() {
            self.requests.reorder(|key| {
                let route = config.route(key.service_address);
                route.map(RequestTerms::new)
            });
        }
    }

    /// Returns the expected queueing delay of a flow whose opening packet has arrived, in
    /// microseconds.
    pub(super) fn expected_wait_us(&mut self, key: FlowKey, now: Millis) -> u32 {
        let mut held = 0;
        if self.is_scheduling {
            if let Some(terms) = self.terms(key) {
                self.requests.policy().note_arrival(terms.class, now);
                held = self.requests.count_before(terms.class);
            }
        }
        self.load.wait_us(held)
    }

    /// Holds or delivers a later packet of a flow that the server may hold.
    pub(super) fn schedule_later(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        if !self.holds_requests() {
            self.send_held(now, actions);
        } else if packet.kind == PacketKind::Reset {
            self.release(packet.key, ReleaseCause::Aborted, now, actions);
        } else if self.hold(packet, bytes, now, actions) {
            self.send_held(now, actions);
            return;
        }
        if let Some(entry) = self.flows.get_mut(&packet.key) {
            entry.note_delivered(packet, &mut self.load, now);
        }
        actions.push(TrackerAction::Deliver);
        self.send_held(now, actions);
    }

    /// Holds a packet, or drops a copy of a held one; returns whether it did.
    fn hold(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) -> bool {
        let Some(entry) = self.flows.get(&packet.key) else {
            return false;
        };
        if entry.stage != FlowStage::Open {
            return false;
        }
        let is_repeated = packet.data_len > 0 && entry.is_repeated(packet);
        if self.requests.holds(packet.key) {
            let is_behind = packet.data_len > 0 || packet.kind == PacketKind::Finish;
            if !is_behind || is_repeated {
                return false;
            }
            return self.hold_behind(packet, bytes, now, actions);
        }
        if packet.data_len == 0 || is_repeated || entry.request_started.is_some() {
            return false;
        }
        let Some(terms) = self.terms(packet.key) else {
            return false;
        };
        self.requests.policy().note_arrival(terms.class, now);
        if self.requests.admits(terms.class, &self.load, now) {
            return false;
        }
        while self.requests.is_full(bytes.len()) {
            let Some(oldest) = self.requests.overflow(terms.class) else {
                return false;
            };
            self.release(oldest, ReleaseCause::Full, now, actions);
        }
        self.requests.hold(*packet, bytes.clone(), terms, now);
        true
    }

    /// Holds a further packet of a held request, or drops a copy of one; returns false if the request
    /// had to be sent to make room.
    fn hold_behind(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) -> bool {
        if self.requests.has_copy(packet) {
            actions.push(TrackerAction::Drop(packet.key, RedirectCause::Duplicate));
            return true;
        }
        while self.requests.is_full(bytes.len()) {
            let class = self.requests.class(packet.key).unwrap_or_default();
            let Some(oldest) = self.requests.overflow(class) else {
                return false;
            };
            self.release(oldest, ReleaseCause::Full, now, actions);
            if oldest == packet.key {
                return false;
            }
        }
        self.requests.append(*packet, bytes.clone());
        true
    }

    /// Sends the held packets of a flow to the server.
    fn release(
        &mut self,
        key: FlowKey,
        cause: ReleaseCause,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let Some(mut taken) = self.requests.take(key) else {
            return;
        };
        let mut release = Some(taken.release(cause, now));
        while let Some((packet, bytes)) = self.requests.pop(&mut taken) {
            if let Some(entry) = self.flows.get_mut(&key) {
                entry.note_delivered(&packet, &mut self.load, now);
            }
            actions.push(TrackerAction::DeliverHeld {
                key,
                packet: bytes,
                release: release.take(),
            });
        }
    }

    /// Drops the held packets of a flow that is no longer open at the server, and sends the requests
    /// that have a slot now that the server has sent a packet of that flow.
    pub(super) fn settle_held(
        &mut self,
        key: FlowKey,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let is_open = |tracker: &FlowTracker| {
            let entry = tracker.flows.get(&key);
            entry.is_some_and(|entry| entry.stage == FlowStage::Open)
        };
        if self.requests.holds(key) && !is_open(self) {
            self.drop_held(key, actions);
        }
        self.send_held(now, actions);
    }

    /// Drops the held packets of a flow that has been reset or whose server has lost it.
    pub(super) fn drop_held(&mut self, key: FlowKey, actions: &mut Vec<TrackerAction>) {
        let Some(mut taken) = self.requests.take(key) else {
            return;
        };
        while self.requests.pop(&mut taken).is_some() {
            actions.push(TrackerAction::Drop(key, RedirectCause::NotHeld));
        }
    }

    /// Redirects the held packets of a flow that another server may hold.
    pub(super) fn redirect_held(
        &mut self,
        key: FlowKey,
        header: &ForwardHeader,
        actions: &mut Vec<TrackerAction>,
    ) {
        let Some(mut taken) = self.requests.take(key) else {
            return;
        };
        while let Some((_, bytes)) = self.requests.pop(&mut taken) {
            let mut action = next_redirect(key, header.clone(), RedirectCause::NotHeld)
                .unwrap_or(TrackerAction::Drop(key, RedirectCause::NotHeld));
            if let TrackerAction::Redirect { stored, .. } = &mut action {
                *stored = Some(bytes);
            }
            actions.push(action);
        }
    }

    /// Returns whether requests are held now. A server that gets no new flows, or an agent that ends
    /// soon, has no use for the order.
    fn holds_requests(&self) -> bool {
        self.is_scheduling && !self.stopping && !self.is_leaving() && !self.is_evacuated()
    }

    /// Returns the urgency of a flow's requests; `None` if no route leads to its address.
    fn terms(&self, key: FlowKey) -> Option<RequestTerms> {
        let config = self.config.as_ref()?;
        config.route(key.service_address).map(RequestTerms::new)
    }
}
