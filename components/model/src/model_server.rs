//! Backend server of the simulation.

use std::collections::VecDeque;

use carobdrum_flows::{
    FlowKey,
    FlowPacket,
    PacketKind, //
};
use hashbrown::HashMap;

/// Action of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerAction {
    /// Send a packet.
    Send(FlowPacket),
    /// Begin to process the request of a flow.
    Begin(FlowKey),
}

/// State of a flow at its server.
#[derive(Clone, Copy, Debug)]
struct ServerFlow {
    open: bool,
    /// Number of the last request.
    last_request: u32,
}

/// Backend server that processes as many requests at once as it has slots, and queues some more.
#[derive(Debug, Default)]
pub(crate) struct ModelServer {
    flows: HashMap<FlowKey, ServerFlow>,
    waiting: VecDeque<FlowKey>,
    busy: u32,
    slots: u32,
    queue: usize,
    number: u16,
    pub(crate) failing: bool,
}

impl ModelServer {
    pub(crate) fn new(number: u16, slots: u32, queue: usize) -> ModelServer {
        ModelServer {
            slots,
            queue,
            number,
            ..ModelServer::default()
        }
    }

    /// Returns the first sequence number of a flow at this server, which differs between servers.
    fn sequence(&self, key: FlowKey) -> u32 {
        (key.hash() as u32).wrapping_add(u32::from(self.number) << 22)
    }

    /// Returns whether the flow is open at this server.
    pub(crate) fn holds(&self, key: FlowKey) -> bool {
        self.flows.get(&key).is_some_and(|flow| flow.open)
    }

    pub(crate) fn handle_packet(&mut self, packet: &FlowPacket) -> Vec<ServerAction> {
        let key = packet.key;
        let sequence = self.sequence(key);
        if packet.is_open() {
            self.flows.entry(key).or_insert(ServerFlow {
                open: false,
                last_request: 0,
            });
            return vec![self.send(key, PacketKind::Accept, 0)];
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return vec![return_packet(packet)];
        };
        if !flow.open && packet.acknowledged != sequence {
            return vec![return_packet(packet)];
        }
        flow.open = true;
        if packet.data_len == 0 || packet.sequence <= flow.last_request {
            return Vec::new();
        }
        flow.last_request = packet.sequence;
        if self.busy < self.slots {
            self.busy += 1;
            return vec![ServerAction::Begin(key)];
        }
        if self.waiting.len() < self.queue {
            self.waiting.push_back(key);
            return Vec::new();
        }
        vec![self.send(key, PacketKind::Reset, 0)]
    }

    /// Responds to a processed request and begins the next one in the queue.
    pub(crate) fn finish_request(&mut self, key: FlowKey) -> Vec<ServerAction> {
        self.busy = self.busy.saturating_sub(1);
        let mut actions = Vec::new();
        if self.flows.contains_key(&key) {
            actions.push(self.send(key, PacketKind::Data, 1_000));
        }
        if let Some(next) = self.waiting.pop_front() {
            self.busy += 1;
            actions.push(ServerAction::Begin(next));
        }
        actions
    }

    fn send(&self, key: FlowKey, kind: PacketKind, data_len: u16) -> ServerAction {
        ServerAction::Send(FlowPacket {
            key,
            kind,
            returned: false,
            sequence: self.sequence(key),
            acknowledged: 0,
            data_len,
        })
    }
}

fn return_packet(packet: &FlowPacket) -> ServerAction {
    ServerAction::Send(FlowPacket {
        returned: true,
        ..*packet
    })
}
