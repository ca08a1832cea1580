//! Simulation of the platform around the flow decisions.

mod callers;
mod faults;
mod network;

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        BackendHeartbeat,
        BackendState, //
    },
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowKey, FlowPacket, FlowRouter, FlowTracker, PacketKind, TrackerAction, TrackerSettings,
};
use compact_str::{
    format_compact,
    CompactString, //
};
use hashbrown::HashMap;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

use crate::{
    model_caller::{
        CallerRequest,
        IdleFlow, //
    },
    model_event::{
        ModelDatagram,
        ModelEvent, //
    },
    model_server::ModelServer,
    EventQueue,
    Experiment,
    ModelStats, //
};

const SERVICE: &str = "service";
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// One-way delays between two VMs of a data centre, between data centres, and to a caller.
const NEAR_DELAY: Millis = Millis(1);
const FAR_DELAY: Millis = Millis(5);
const CALLER_DELAY: Millis = Millis(3);

const TICK_INTERVAL: Millis = Millis(20);
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
const ACTIVITY_TIMEOUT: Millis = Millis(1_900);
const IDLE_TIMEOUT: Millis = Millis(15_000);
const FLOW_LIFETIME: Millis = Millis(60_000);
const TICKS_PER_PROBE: u64 = 10;
const TICKS_PER_WEIGHT_UPDATE: u64 = 5;

/// Remaining downtime of a balancer up to which the routers still use its VM.
const ROTATION_LAG: Millis = Millis(1_000);

#[derive(Debug)]
struct ModelBalancer {
    centre: u8,
    router: FlowRouter,
    /// Time at which the process runs again.
    down_until: Millis,
    /// Time at which the routers use it again.
    out_of_rotation_until: Millis,
}

#[derive(Debug)]
struct ModelAgent {
    centre: u8,
    address: SocketAddrV4,
    tracker: FlowTracker,
    server: ModelServer,
    down_until: Millis,
    /// Number of the server's restarts, by which events of an earlier run are recognised.
    incarnation: u16,
    heartbeats: u64,
}

/// Simulation of routers, callers, balancers, agents and backend servers.
#[derive(Debug)]
pub struct FlowModel {
    experiment: Experiment,
    random: SmallRng,
    queue: EventQueue<ModelEvent>,
    datagrams: Vec<Option<ModelDatagram>>,
    balancers: Vec<ModelBalancer>,
    agents: Vec<ModelAgent>,
    requests: Vec<CallerRequest>,
    by_key: HashMap<FlowKey, u32>,
    idle_flows: Vec<IdleFlow>,
    /// Number of open long flows of each data centre's callers.
    long_flows: Vec<u32>,
    config: Arc<SiteConfig>,
    load_factor: f64,
    /// Time of the next request, in milliseconds with fractions.
    next_arrival_ms: f64,
    next_port: u32,
    ticks: u64,
    now: Millis,
    stats: ModelStats,
}

impl FlowModel {
    /// Creates a simulation in which all processes run and no request has started. Runs of the same
    /// experiment and seed give the same result.
    pub fn new(experiment: Experiment, seed: u64) -> FlowModel {
        let config = Arc::new(site_config(&experiment, 1));
        let mut model = FlowModel {
            random: SmallRng::seed_from_u64(seed),
            queue: EventQueue::new(),
            datagrams: Vec::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            requests: Vec::new(),
            by_key: HashMap::new(),
            idle_flows: Vec::new(),
            long_flows: vec![0; usize::from(experiment.centres)],
            config,
            load_factor: 1.0,
            next_arrival_ms: 0.0,
            next_port: 0,
            ticks: 0,
            now: Millis(0),
            stats: ModelStats::default(),
            experiment,
        };
        for centre in 0..model.experiment.centres {
            for number in 0..model.experiment.agents {
                model.add_agent(centre, number);
            }
        }
        for index in 0..model.agents.len() {
            model.send_heartbeat(index);
        }
        for centre in 0..model.experiment.centres {
            for number in 0..model.experiment.balancers {
                model.add_balancer(centre, number);
            }
        }
        model
    }

    /// Runs the experiment and returns its statistics.
    pub fn run(mut self) -> ModelStats {
        self.queue.add(Millis(0), ModelEvent::Arrival);
        self.queue.add(TICK_INTERVAL, ModelEvent::Tick);
        for index in 0..self.experiment.faults.len() {
            let fault = self.experiment.faults[index];
            let key = index as u16;
            self.queue
                .add(Millis(fault.at_ms), ModelEvent::FaultBegins(key));
            let end = Millis(fault.at_ms + fault.for_ms);
            self.queue.add(end, ModelEvent::FaultEnds(key));
        }
        let end = Millis(self.experiment.length_ms + self.experiment.deadline_ms);
        while let Some((now, event)) = self.queue.next(end) {
            self.now = now;
            self.handle_event(event);
        }
        for index in 0..self.requests.len() {
            if !self.requests[index].done {
                let started_at = self.requests[index].started_at.0;
                self.stats.second(started_at).unserved += 1;
            }
        }
        self.stats
    }

    fn handle_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.start_request(),
            ModelEvent::Datagram(key) => {
                let datagram = self.datagrams.get_mut(key as usize).and_then(Option::take);
                if let Some(datagram) = datagram {
                    self.receive(datagram);
                }
            }
            ModelEvent::Attempt {
                request,
                attempt,
                step,
            } => self.continue_attempt(request, attempt, step),
            ModelEvent::WorkDone {
                agent,
                incarnation,
                key,
            } => self.work_done(agent, incarnation, key),
            ModelEvent::Tick => self.tick(),
            ModelEvent::FaultBegins(key) => self.begin_fault(key),
            ModelEvent::FaultEnds(key) => self.end_fault(key),
        }
    }

    fn add_agent(&mut self, centre: u8, number: u8) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, centre + 1, 1, number), 8_000);
        let index = self.agents.len() as u16;
        let server = ModelServer::new(index, self.experiment.slots, self.experiment.queue);
        self.agents.push(ModelAgent {
            centre,
            address,
            tracker: self.new_tracker(centre, address),
            server,
            down_until: Millis(0),
            incarnation: 0,
            heartbeats: 0,
        });
    }

    fn new_tracker(&self, centre: u8, address: SocketAddrV4) -> FlowTracker {
        let settings = TrackerSettings {
            address,
            server: address,
            centre: centre_name(centre),
            service: SERVICE.into(),
            activity_timeout: ACTIVITY_TIMEOUT,
            cold_factor: 1.5,
            cold_slack: 5.0,
            flow_lifetime: FLOW_LIFETIME,
            reset_lost: false,
            schedule_requests: false,
        };
        let mut tracker = FlowTracker::new(settings, u64::MAX, self.now);
        tracker.set_config(self.config.clone(), self.now);
        tracker
    }

    fn add_balancer(&mut self, centre: u8, number: u8) {
        let address = balancer_address(centre, number);
        self.balancers.push(ModelBalancer {
            centre,
            router: self.new_router(centre, address),
            down_until: Millis(0),
            out_of_rotation_until: Millis(0),
        });
    }

    fn new_router(&self, centre: u8, address: SocketAddrV4) -> FlowRouter {
        let mut router = FlowRouter::new(address, &centre_name(centre));
        router.config = Some(self.config.clone());
        router.options.weigh_servers = self.experiment.placement.weigh_servers;
        let records = self.agents.iter().map(|agent| AgentRecord {
            address: agent.address,
            centre: centre_name(agent.centre),
            service: SERVICE.into(),
            is_leaving: false,
        });
        router.agents.replace(records, self.now);
        router
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.queue
            .add(self.now.plus(TICK_INTERVAL), ModelEvent::Tick);
        let now = self.now;
        for index in 0..self.agents.len() {
            if self.agents[index].down_until > now {
                continue;
            }
            let mut actions = Vec::new();
            self.agents[index].tracker.check_openings(now, &mut actions);
            self.agents[index].tracker.expire(now);
            self.redirect_unanswered(index, actions);
            if self.ticks % (HEARTBEAT_INTERVAL.0 / TICK_INTERVAL.0) == index as u64 % 20 {
                self.send_heartbeat(index);
            }
        }
        if self.ticks % TICKS_PER_PROBE == 0 {
            self.send_probes();
        }
        if self.ticks % TICKS_PER_WEIGHT_UPDATE == 0 {
            self.update_weights();
        }
    }

    /// Redirects the opening packets that the agent's server didn't answer.
    fn redirect_unanswered(&mut self, index: usize, actions: Vec<TrackerAction>) {
        for action in actions {
            if let TrackerAction::Redirect { key, .. } = action {
                let packet = FlowPacket {
                    key,
                    kind: PacketKind::Open { retransmission: 0 },
                    returned: false,
                    sequence: 0,
                    acknowledged: 0,
                    data_len: 0,
                };
                self.act(index, vec![action], packet);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let slots = self.experiment.slots;
        let agent = &mut self.agents[index];
        agent.heartbeats += 1;
        let heartbeat = BackendHeartbeat {
            id: format_compact!("i-{index}-{}", agent.incarnation),
            address: agent.address,
            started_ms: u64::from(agent.incarnation) + 1,
            sequence: agent.heartbeats,
            service: SERVICE.into(),
            state: BackendState::Ready,
            slots,
            cold_remaining: Millis(0),
        };
        agent.tracker.handle_heartbeat(heartbeat, now);
    }

    fn update_weights(&mut self) {
        let now = self.now;
        for index in 0..self.balancers.len() {
            let entry = &mut self.balancers[index];
            if entry.down_until > now {
                continue;
            }
            entry.router.update_weights(now);
            self.stats.weight_changes += entry.router.weight_changes().len() as u32;
            let (centre, balancer) = (entry.centre, entry.router.address());
            for agent in entry.router.load_probes().to_vec() {
                let delay = delay_between(centre, agent.ip().octets()[1] - 1);
                self.send_datagram(ModelDatagram::Probe { balancer, agent }, delay);
            }
        }
    }

    fn send_probes(&mut self) {
        let now = self.now;
        for index in 0..self.balancers.len() {
            let entry = &mut self.balancers[index];
            if entry.down_until > now {
                continue;
            }
            let centre = entry.centre;
            let number = (index % usize::from(self.experiment.balancers)) as u8;
            let balancer = balancer_address(centre, number);
            for agent in entry.router.agents.next_probes(now) {
                let delay = delay_between(centre, agent.ip().octets()[1] - 1);
                self.send_datagram(ModelDatagram::Probe { balancer, agent }, delay);
            }
        }
    }
}

fn site_config(experiment: &Experiment, revision: u64) -> SiteConfig {
    let route = FlowRoute {
        address: ROUTE,
        shares: vec![ServiceShare {
            service: SERVICE.into(),
            weight: 1,
        }],
        priority: 1,
        latency_objective: Millis(experiment.objective_ms),
        is_idempotent: false,
    };
    let service = ServiceConfig {
        name: SERVICE.into(),
        cold_duration: Millis(0),
        cold_rate: None,
    };
    let mut config = SiteConfig::new(1, IDLE_TIMEOUT, [route], [service]);
    config.revision = revision;
    config
}

fn centre_name(centre: u8) -> CompactString {
    format_compact!("centre-{centre}")
}

fn balancer_address(centre: u8, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, centre + 1, 0, number), 7_000)
}

fn delay_between(from: u8, to: u8) -> Millis {
    if from == to {
        NEAR_DELAY
    } else {
        FAR_DELAY
    }
}
