//! Behaviour of callers.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    FlowKey,
    FlowPacket,
    PacketKind, //
};
use rand::Rng;

use super::{
    FlowModel,
    ModelBalancer,
    CALLER_DELAY,
    ROTATION_LAG,
    ROUTE, //
};
use crate::{
    model_caller::{
        CallerRequest,
        IdleFlow,
        INITIAL_RESEND_DELAY,
        MAX_ATTEMPTS,
        OPEN_TIMEOUT, //
        RETRANSMISSION_TIMES_MS,
    },
    model_event::{
        ModelDatagram,
        ModelEvent, //
    },
};

impl FlowModel {
    pub(super) fn start_request(&mut self) {
        let rate = self.experiment.rate * self.load_factor;
        self.next_arrival_ms += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / rate;
        let next = Millis(self.next_arrival_ms as u64);
        if next.0 < self.experiment.length_ms {
            self.queue.add(next, ModelEvent::Arrival);
        }
        let centre = self.pick_centre();
        let request = self.requests.len() as u32;
        self.stats.second(self.now.0).started += 1;
        if let Some(flow) = self.take_idle_flow(centre) {
            self.requests.push(CallerRequest {
                centre,
                started_at: self.now,
                attempt: 0,
                key: flow.key,
                server: Some(flow.server),
                number: flow.requests + 1,
                done: false,
            });
            self.by_key.insert(flow.key, request);
            self.continue_attempt(request, 0, 0);
            return;
        }
        let key = self.new_key(centre);
        self.requests.push(CallerRequest {
            centre,
            started_at: self.now,
            attempt: 0,
            key,
            server: None,
            number: 1,
            done: false,
        });
        self.begin_attempt(request);
    }

    fn pick_centre(&mut self) -> u8 {
        let centres = self.experiment.centres;
        let percent = self.experiment.placement.first_centre_percent;
        if percent == 0 {
            return self.random.random_range(0..centres);
        }
        if self.random.random_range(0..100) < percent {
            0
        } else {
            self.random.random_range(1..centres)
        }
    }

    /// Returns an idle flow for a request; `None` if the request opens one.
    fn take_idle_flow(&mut self, centre: u8) -> Option<IdleFlow> {
        let open = &mut self.long_flows[usize::from(centre)];
        let idle = self.idle_flows.iter().enumerate();
        let idle: Vec<usize> = idle
            .filter(|(_, flow)| flow.centre == centre)
            .map(|(index, _)| index)
            .collect();
        if *open < self.experiment.placement.long_flows || idle.is_empty() {
            *open += 1;
            return None;
        }
        let index = idle[self.random.random_range(0..idle.len())];
        Some(self.idle_flows.swap_remove(index))
    }

    /// Keeps the flow of a served request open, or ends it.
    fn keep_or_finish(&mut self, request: u32) {
        let entry = &self.requests[request as usize];
        let centre = entry.centre;
        let idle = IdleFlow {
            centre,
            key: entry.key,
            server: entry.server.unwrap_or(0),
            requests: entry.number,
        };
        let placement = self.experiment.placement;
        let open = &mut self.long_flows[usize::from(centre)];
        let ends = *open > placement.long_flows
            || self.random.random_range(0..placement.flow_requests.max(1)) == 0;
        if ends {
            *open = open.saturating_sub(1);
            self.send_from_caller(request, PacketKind::Finish, 0);
        } else {
            self.idle_flows.push(idle);
        }
    }

    pub(super) fn new_key(&mut self, centre: u8) -> FlowKey {
        self.next_port += 1;
        let host = (self.next_port >> 15) as u8;
        let port = 1_024 + (self.next_port & 0x7fff) as u16;
        FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64 + centre, 0, host), port),
            service_address: ROUTE,
        }
    }

    pub(super) fn begin_attempt(&mut self, request: u32) {
        let entry = &self.requests[request as usize];
        let (attempt, key) = (entry.attempt, entry.key);
        self.by_key.insert(key, request);
        self.send_from_caller(request, PacketKind::Open { retransmission: 0 }, 0);
        let first = self.now.plus(Millis(RETRANSMISSION_TIMES_MS[0]));
        let step = 0;
        let event = ModelEvent::Attempt {
            request,
            attempt,
            step,
        };
        self.queue.add(first, event);
    }

    /// Sends the packet that is due in an attempt, or retries the request with a new flow.
    pub(super) fn continue_attempt(&mut self, request: u32, attempt: u8, step: u8) {
        let entry = &self.requests[request as usize];
        let age = self.now.since(entry.started_at);
        let is_over = age.0 >= self.experiment.deadline_ms;
        if entry.done || entry.attempt != attempt || is_over {
            return;
        }
        let pause = if entry.server.is_some() {
            self.send_from_caller(request, PacketKind::Data, 100);
            Millis(INITIAL_RESEND_DELAY.0 << step.min(3))
        } else if let Some(retransmission) = [1u8, 2].get(usize::from(step)) {
            self.send_from_caller(
                request,
                PacketKind::Open {
                    retransmission: *retransmission,
                },
                0,
            );
            let next = RETRANSMISSION_TIMES_MS
                .get(usize::from(*retransmission))
                .copied();
            Millis(next.unwrap_or(OPEN_TIMEOUT.0) - RETRANSMISSION_TIMES_MS[usize::from(step)])
        } else {
            self.retry(request);
            return;
        };
        let step = step.saturating_add(1);
        let event = ModelEvent::Attempt {
            request,
            attempt,
            step,
        };
        self.queue.add(self.now.plus(pause), event);
    }

    pub(super) fn retry(&mut self, request: u32) {
        let entry = &self.requests[request as usize];
        let is_over = self.now.since(entry.started_at).0 >= self.experiment.deadline_ms;
        if entry.done || is_over || entry.attempt + 1 >= MAX_ATTEMPTS {
            return;
        }
        let key = self.new_key(entry.centre);
        let entry = &mut self.requests[request as usize];
        entry.attempt += 1;
        entry.key = key;
        entry.server = None;
        entry.number = 1;
        self.begin_attempt(request);
    }

    pub(super) fn send_from_caller(&mut self, request: u32, kind: PacketKind, data_len: u16) {
        let entry = &self.requests[request as usize];
        let packet = FlowPacket {
            key: entry.key,
            kind,
            returned: false,
            sequence: entry.number,
            acknowledged: entry.server.unwrap_or(0),
            data_len,
        };
        let Some(balancer) = self.pick_balancer(entry.centre, entry.key) else {
            return;
        };
        let datagram = ModelDatagram::ToBalancer { balancer, packet };
        self.send_datagram(datagram, CALLER_DELAY);
    }

    /// Picks a balancer as the routers do: by a hash over those in rotation, in the caller's data
    /// centre if there are any.
    pub(super) fn pick_balancer(&self, centre: u8, key: FlowKey) -> Option<u16> {
        let in_rotation = |balancer: &ModelBalancer| {
            balancer.out_of_rotation_until <= self.now
                && balancer.down_until.since(self.now) <= ROTATION_LAG
        };
        let all = || self.balancers.iter().enumerate();
        let local =
            all().filter(|(_, balancer)| balancer.centre == centre && in_rotation(balancer));
        let mut picks: Vec<usize> = local.map(|(index, _)| index).collect();
        if picks.is_empty() {
            let others = all().filter(|(_, balancer)| in_rotation(balancer));
            picks = others.map(|(index, _)| index).collect();
        }
        let count = picks.len() as u64;
        (count > 0).then(|| picks[(key.hash() % count) as usize] as u16)
    }

    pub(super) fn handle_response(&mut self, packet: FlowPacket) {
        let Some(request) = self.by_key.get(&packet.key).copied() else {
            return;
        };
        let entry = &mut self.requests[request as usize];
        if entry.done || entry.key != packet.key {
            return;
        }
        match packet.kind {
            PacketKind::Reset => self.retry(request),
            PacketKind::Accept if entry.server.is_none() => {
                entry.server = Some(packet.sequence);
                self.send_from_caller(request, PacketKind::Data, 100);
            }
            _ if packet.data_len > 0 => self.finish_request(request),
            _ => {}
        }
    }

    pub(super) fn finish_request(&mut self, request: u32) {
        let entry = &mut self.requests[request as usize];
        entry.done = true;
        let started_at = entry.started_at;
        let time = self.now.since(started_at).0;
        let objective_ms = self.experiment.objective_ms;
        let second = self.stats.second(started_at.0);
        if time <= objective_ms {
            second.in_time += 1;
        } else {
            second.late += 1;
        }
        self.keep_or_finish(request);
    }
}
