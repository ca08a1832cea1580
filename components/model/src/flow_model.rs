//! The world of the model.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        BackendBeat,
        BackendState, //
    },
    request::ForwardHead,
    version::{
        FlowRoute,
        ServiceRules,
        ServiceShare,
        SiteRules, //
    },
    FlowKeeper,
    FlowKey,
    FlowPacket,
    FlowRouter,
    KeeperAction,
    KeeperSettings,
    PacketKind,
    RouteAction, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use hashbrown::HashMap;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

use crate::{
    model_caller::{
        CallerRequest,
        COPY_TIMES_MS,
        FIRST_RESEND,
        MAX_ATTEMPTS,
        OPEN_TIMEOUT, //
    },
    model_event::{
        ModelDatagram,
        ModelEvent, //
    },
    model_server::{
        ModelServer,
        ServerAction, //
    },
    EventQueue,
    Experiment,
    FaultKind,
    ModelTally, //
};

const SERVICE: &str = "service";
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// One way between two VMs of a data centre, between data centres, and to a caller.
const NEAR_DELAY: Millis = Millis(1);
const FAR_DELAY: Millis = Millis(5);
const CALLER_DELAY: Millis = Millis(3);

const TICK: Millis = Millis(20);
const BEAT_INTERVAL: Millis = Millis(1_000);
const FENCE: Millis = Millis(1_900);
const IDLE_TIME: Millis = Millis(15_000);
const PROBE_TICKS: u64 = 10;

/// Time after a process ends at which the routers no longer use its VM.
const ROTATION_LAG: Millis = Millis(1_000);

#[derive(Debug)]
struct ModelBalancer {
    centre: u8,
    router: FlowRouter,
    /// Time until which the process is down.
    down: Millis,
    /// Time until which the routers don't use it.
    resting: Millis,
}

#[derive(Debug)]
struct ModelAgent {
    centre: u8,
    address: SocketAddrV4,
    keeper: FlowKeeper,
    server: ModelServer,
    down: Millis,
    /// Counts the lives of the server, so that work of an earlier one is recognised.
    life: u16,
    beats: u64,
}

/// Routers, callers, balancers, agents and servers in simulated time.
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
    rules: Arc<SiteRules>,
    load_factor: f64,
    /// Time of the next request, with its fraction of a millisecond.
    next_arrival_ms: f64,
    next_port: u32,
    ticks: u64,
    now: Millis,
    tally: ModelTally,
}

impl FlowModel {
    /// Creates a world in which all processes run and no request has come.
    pub fn new(experiment: Experiment, seed: u64) -> FlowModel {
        let rules = Arc::new(site_rules(&experiment, 1));
        let mut model = FlowModel {
            random: SmallRng::seed_from_u64(seed),
            queue: EventQueue::new(),
            datagrams: Vec::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            requests: Vec::new(),
            by_key: HashMap::new(),
            rules,
            load_factor: 1.0,
            next_arrival_ms: 0.0,
            next_port: 0,
            ticks: 0,
            now: Millis(0),
            tally: ModelTally::default(),
            experiment,
        };
        for centre in 0..model.experiment.centres {
            for number in 0..model.experiment.agents {
                model.add_agent(centre, number);
            }
        }
        for centre in 0..model.experiment.centres {
            for number in 0..model.experiment.balancers {
                model.add_balancer(centre, number);
            }
        }
        model
    }

    /// Plays the experiment and returns what callers got.
    pub fn run(mut self) -> ModelTally {
        self.queue.add(Millis(0), ModelEvent::Arrival);
        self.queue.add(TICK, ModelEvent::Tick);
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
            self.take(event);
        }
        for index in 0..self.requests.len() {
            if !self.requests[index].done {
                let began = self.requests[index].began.0;
                self.tally.second(began).unserved += 1;
            }
        }
        self.tally
    }

    fn take(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.arrive(),
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
            } => self.look_at(request, attempt, step),
            ModelEvent::WorkDone { agent, life, key } => self.work_done(agent, life, key),
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
            keeper: self.new_keeper(centre, address),
            server,
            down: Millis(0),
            life: 0,
            beats: 0,
        });
    }

    fn new_keeper(&self, centre: u8, address: SocketAddrV4) -> FlowKeeper {
        let settings = KeeperSettings {
            address,
            centre: centre_name(centre),
            service: SERVICE.into(),
            fence: FENCE,
            cold_factor: 1.5,
            cold_slack: 5.0,
        };
        let mut keeper = FlowKeeper::new(settings, self.now);
        keeper.set_rules(self.rules.clone());
        keeper
    }

    fn add_balancer(&mut self, centre: u8, number: u8) {
        let address = balancer_address(centre, number);
        self.balancers.push(ModelBalancer {
            centre,
            router: self.new_router(centre, address),
            down: Millis(0),
            resting: Millis(0),
        });
    }

    fn new_router(&self, centre: u8, address: SocketAddrV4) -> FlowRouter {
        let mut router = FlowRouter::new(address, &centre_name(centre));
        router.rules = Some(self.rules.clone());
        let records = self.agents.iter().map(|agent| AgentRecord {
            address: agent.address,
            centre: centre_name(agent.centre),
            service: SERVICE.into(),
        });
        router.roster.replace(records, self.now);
        router
    }

    fn arrive(&mut self) {
        let rate = self.experiment.rate * self.load_factor;
        self.next_arrival_ms += -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / rate;
        let next = Millis(self.next_arrival_ms as u64);
        if next.0 < self.experiment.length_ms {
            self.queue.add(next, ModelEvent::Arrival);
        }
        let centre = self.random.random_range(0..self.experiment.centres);
        let key = self.new_key(centre);
        let request = self.requests.len() as u32;
        self.requests.push(CallerRequest {
            centre,
            began: self.now,
            attempt: 0,
            key,
            server: None,
            done: false,
        });
        self.tally.second(self.now.0).asked += 1;
        self.begin_attempt(request);
    }

    fn new_key(&mut self, centre: u8) -> FlowKey {
        self.next_port += 1;
        let host = (self.next_port >> 15) as u8;
        let port = 1_024 + (self.next_port & 0x7fff) as u16;
        FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64 + centre, 0, host), port),
            service: ROUTE,
        }
    }

    fn begin_attempt(&mut self, request: u32) {
        let entry = &self.requests[request as usize];
        let (attempt, key) = (entry.attempt, entry.key);
        self.by_key.insert(key, request);
        self.send_from_caller(request, PacketKind::Open { copy: 0 }, 0);
        let first = self.now.plus(Millis(COPY_TIMES_MS[0]));
        let step = 0;
        let event = ModelEvent::Attempt {
            request,
            attempt,
            step,
        };
        self.queue.add(first, event);
    }

    /// Sends what is due in an attempt, or gives it up.
    fn look_at(&mut self, request: u32, attempt: u8, step: u8) {
        let entry = &self.requests[request as usize];
        let age = self.now.since(entry.began);
        let over = age.0 >= self.experiment.deadline_ms;
        if entry.done || entry.attempt != attempt || over {
            return;
        }
        let pause = if entry.server.is_some() {
            self.send_from_caller(request, PacketKind::Middle, 100);
            Millis(FIRST_RESEND.0 << step.min(3))
        } else if let Some(copy) = [1u8, 2].get(usize::from(step)) {
            self.send_from_caller(request, PacketKind::Open { copy: *copy }, 0);
            let next = COPY_TIMES_MS.get(usize::from(*copy)).copied();
            Millis(next.unwrap_or(OPEN_TIMEOUT.0) - COPY_TIMES_MS[usize::from(step)])
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

    fn retry(&mut self, request: u32) {
        let entry = &self.requests[request as usize];
        let over = self.now.since(entry.began).0 >= self.experiment.deadline_ms;
        if entry.done || over || entry.attempt + 1 >= MAX_ATTEMPTS {
            return;
        }
        let key = self.new_key(entry.centre);
        let entry = &mut self.requests[request as usize];
        entry.attempt += 1;
        entry.key = key;
        entry.server = None;
        self.begin_attempt(request);
    }

    fn send_from_caller(&mut self, request: u32, kind: PacketKind, data_len: u16) {
        let entry = &self.requests[request as usize];
        let packet = FlowPacket {
            key: entry.key,
            kind,
            returned: false,
            sequence: 0,
            acknowledged: entry.server.unwrap_or(0),
            data_len,
        };
        let Some(balancer) = self.pick_balancer(entry.centre, entry.key) else {
            return;
        };
        let datagram = ModelDatagram::ToBalancer { balancer, packet };
        self.post(datagram, CALLER_DELAY);
    }

    /// Picks as the routers do: by a hash over the balancers in rotation.
    fn pick_balancer(&self, centre: u8, key: FlowKey) -> Option<u16> {
        let in_rotation = |balancer: &ModelBalancer| {
            balancer.resting <= self.now && balancer.down.since(self.now) <= ROTATION_LAG
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

    fn post(&mut self, datagram: ModelDatagram, delay: Millis) {
        if self.random.random::<f64>() < self.experiment.loss {
            return;
        }
        let key = self.datagrams.len() as u32;
        self.datagrams.push(Some(datagram));
        self.queue
            .add(self.now.plus(delay), ModelEvent::Datagram(key));
    }

    fn receive(&mut self, datagram: ModelDatagram) {
        match datagram {
            ModelDatagram::ToBalancer { balancer, packet } => self.route(balancer, packet),
            ModelDatagram::ToAgent { to, head, packet } => self.forward(to, head, packet),
            ModelDatagram::ToCaller { packet } => self.take_answer(packet),
            ModelDatagram::Report {
                balancer,
                agent,
                report,
            } => {
                let now = self.now;
                if let Some(found) = self.find_balancer(balancer) {
                    found.router.roster.take_report(agent, report, now);
                }
            }
            ModelDatagram::Owner {
                balancer,
                agent,
                key,
            } => {
                let now = self.now;
                if let Some(found) = self.find_balancer(balancer) {
                    found.router.hints.insert(key, agent, now);
                }
            }
            ModelDatagram::Probe { balancer, agent } => {
                if let Some(index) = self.find_agent(agent) {
                    self.send_report(index, balancer);
                }
            }
        }
    }

    /// Returns the balancer at an address, if it runs.
    fn find_balancer(&mut self, address: SocketAddrV4) -> Option<&mut ModelBalancer> {
        let centre = address.ip().octets()[1] - 1;
        let number = address.ip().octets()[3];
        let per_centre = usize::from(self.experiment.balancers);
        let index = usize::from(centre) * per_centre + usize::from(number);
        let now = self.now;
        let found = self.balancers.get_mut(index);
        found.filter(|balancer| balancer.down <= now)
    }

    /// Returns the index of the agent at an address, if it runs.
    fn find_agent(&self, address: SocketAddrV4) -> Option<usize> {
        let index = self
            .agents
            .iter()
            .position(|agent| agent.address == address)?;
        (self.agents[index].down <= self.now).then_some(index)
    }

    fn route(&mut self, balancer: u16, packet: FlowPacket) {
        let now = self.now;
        let entry = &mut self.balancers[usize::from(balancer)];
        if entry.down > now {
            return;
        }
        let centre = entry.centre;
        match entry.router.route(&packet, now) {
            RouteAction::Forward { to, head } => self.send_to_agent(centre, to, head, packet),
            RouteAction::Refuse(_) => self.refuse(packet.key),
            RouteAction::Drop(_) => {}
        }
    }

    fn send_to_agent(&mut self, from: u8, to: SocketAddrV4, head: ForwardHead, packet: FlowPacket) {
        let delay = delay_between(from, to.ip().octets()[1] - 1);
        self.post(ModelDatagram::ToAgent { to, head, packet }, delay);
    }

    fn refuse(&mut self, key: FlowKey) {
        let packet = FlowPacket {
            key,
            kind: PacketKind::Reset,
            returned: false,
            sequence: 0,
            acknowledged: 0,
            data_len: 0,
        };
        if self.agents.iter().any(|agent| agent.server.holds(key)) {
            self.tally.wrong_resets += 1;
        }
        self.post(ModelDatagram::ToCaller { packet }, CALLER_DELAY);
    }

    fn forward(&mut self, to: SocketAddrV4, head: ForwardHead, packet: FlowPacket) {
        let Some(index) = self.find_agent(to) else {
            return;
        };
        let balancer = head.balancer;
        let mut actions = Vec::new();
        let now = self.now;
        let keeper = &mut self.agents[index].keeper;
        keeper.take_forward(&packet, &Bytes::new(), head, now, &mut actions);
        self.act(index, actions, packet);
        self.send_report(index, balancer);
    }

    fn send_report(&mut self, index: usize, balancer: SocketAddrV4) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let report = agent.keeper.report(now);
        let delay = delay_between(agent.centre, balancer.ip().octets()[1] - 1);
        let agent = agent.address;
        let datagram = ModelDatagram::Report {
            balancer,
            agent,
            report,
        };
        self.post(datagram, delay);
    }

    fn act(&mut self, index: usize, actions: Vec<KeeperAction>, packet: FlowPacket) {
        let (centre, address) = (self.agents[index].centre, self.agents[index].address);
        for action in actions {
            match action {
                KeeperAction::Deliver => self.deliver(index, packet),
                KeeperAction::PassOn { key, to, head, .. } => {
                    let passed = FlowPacket {
                        returned: false,
                        key,
                        ..packet
                    };
                    self.send_to_agent(centre, to, head, passed);
                }
                KeeperAction::ToCaller => {
                    let delay = CALLER_DELAY;
                    self.post(ModelDatagram::ToCaller { packet }, delay);
                }
                KeeperAction::Refuse(key, _) => self.refuse(key),
                KeeperAction::Hint(balancer, key) => {
                    let delay = delay_between(centre, balancer.ip().octets()[1] - 1);
                    let datagram = ModelDatagram::Owner {
                        balancer,
                        agent: address,
                        key,
                    };
                    self.post(datagram, delay);
                }
                KeeperAction::Answered(..) => {
                    let failed = self.agents[index].server.failing;
                    let now = self.now;
                    self.agents[index].keeper.note_answer(failed, now);
                    self.tally.failed_answers += u32::from(failed);
                }
                KeeperAction::Drop(..) => {}
            }
        }
    }

    fn deliver(&mut self, index: usize, packet: FlowPacket) {
        if !packet.is_open() {
            let key = packet.key;
            let held = self.agents[index].server.holds(key);
            let elsewhere = self.agents.iter().any(|agent| agent.server.holds(key));
            self.tally.delivered += u32::from(held);
            self.tally.strayed += u32::from(!held && elsewhere);
        }
        let actions = self.agents[index].server.take(&packet);
        self.serve(index, actions);
    }

    fn serve(&mut self, index: usize, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Begin(key) => {
                    let spread = -(1.0 - self.random.random::<f64>()).ln();
                    let work_ms = self.experiment.work_ms * (0.5 + 0.5 * spread);
                    let done = self.now.plus(Millis(work_ms.round() as u64));
                    let (agent, life) = (index as u16, self.agents[index].life);
                    self.queue
                        .add(done, ModelEvent::WorkDone { agent, life, key });
                }
                ServerAction::Send(packet) => {
                    let mut actions = Vec::new();
                    let now = self.now;
                    let agent = &mut self.agents[index];
                    if agent.down <= now {
                        agent.keeper.take_backend(&packet, now, &mut actions);
                        self.act(index, actions, packet);
                    }
                }
            }
        }
    }

    fn work_done(&mut self, agent: u16, life: u16, key: FlowKey) {
        let index = usize::from(agent);
        if self.agents[index].life != life {
            return;
        }
        let actions = self.agents[index].server.finish(key);
        self.serve(index, actions);
    }

    fn take_answer(&mut self, packet: FlowPacket) {
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
                self.send_from_caller(request, PacketKind::Middle, 100);
            }
            _ if packet.data_len > 0 => self.finish(request),
            _ => {}
        }
    }

    fn finish(&mut self, request: u32) {
        let entry = &mut self.requests[request as usize];
        entry.done = true;
        let began = entry.began;
        let time = self.now.since(began).0;
        let objective_ms = self.experiment.objective_ms;
        let second = self.tally.second(began.0);
        if time <= objective_ms {
            second.in_time += 1;
        } else {
            second.late += 1;
        }
        self.send_from_caller(request, PacketKind::Finish, 0);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.queue.add(self.now.plus(TICK), ModelEvent::Tick);
        let now = self.now;
        for index in 0..self.agents.len() {
            if self.agents[index].down > now {
                continue;
            }
            let mut actions = Vec::new();
            self.agents[index].keeper.check_offers(now, &mut actions);
            self.agents[index].keeper.expire(now);
            self.pass_offers(index, actions);
            if self.ticks % (BEAT_INTERVAL.0 / TICK.0) == index as u64 % 20 {
                self.beat(index);
            }
        }
        if self.ticks % PROBE_TICKS == 0 {
            self.probe();
        }
    }

    /// Sends on the opening packets that servers didn't answer.
    fn pass_offers(&mut self, index: usize, actions: Vec<KeeperAction>) {
        for action in actions {
            if let KeeperAction::PassOn { key, .. } = action {
                let packet = FlowPacket {
                    key,
                    kind: PacketKind::Open { copy: 0 },
                    returned: false,
                    sequence: 0,
                    acknowledged: 0,
                    data_len: 0,
                };
                self.act(index, vec![action], packet);
            }
        }
    }

    fn beat(&mut self, index: usize) {
        let now = self.now;
        let slots = self.experiment.slots;
        let agent = &mut self.agents[index];
        agent.beats += 1;
        let beat = BackendBeat {
            id: format_compact!("i-{index}-{}", agent.life),
            born_ms: u64::from(agent.life) + 1,
            sequence: agent.beats,
            service: SERVICE.into(),
            state: BackendState::Ready,
            slots,
            cold_left: Millis(0),
        };
        agent.keeper.take_beat(beat, now);
    }

    fn probe(&mut self) {
        let now = self.now;
        for index in 0..self.balancers.len() {
            let entry = &mut self.balancers[index];
            if entry.down > now {
                continue;
            }
            let centre = entry.centre;
            let number = (index % usize::from(self.experiment.balancers)) as u8;
            let balancer = balancer_address(centre, number);
            for agent in entry.router.roster.take_probes(now) {
                let delay = delay_between(centre, agent.ip().octets()[1] - 1);
                self.post(ModelDatagram::Probe { balancer, agent }, delay);
            }
        }
    }

    fn begin_fault(&mut self, key: u16) {
        let fault = self.experiment.faults[usize::from(key)];
        let count = usize::from(fault.count);
        let end = self.now.plus(Millis(fault.for_ms));
        match fault.kind {
            FaultKind::Balancers => self.end_balancers(count, end),
            FaultKind::Rotation => {
                for balancer in self.balancers.iter_mut().take(count) {
                    balancer.resting = end;
                }
            }
            FaultKind::Agents => self.end_agents(count, end, false),
            FaultKind::Servers => self.end_agents(count, end, true),
            FaultKind::All => {
                self.end_balancers(usize::MAX, end);
                self.end_agents(usize::MAX, end, true);
            }
            FaultKind::Close => self.set_closed([centre_name(0)]),
            FaultKind::Failing => {
                for agent in self.agents.iter_mut().take(count) {
                    agent.server.failing = true;
                }
            }
            FaultKind::Burst => self.load_factor = f64::from(fault.count),
        }
    }

    fn end_fault(&mut self, key: u16) {
        let fault = self.experiment.faults[usize::from(key)];
        match fault.kind {
            FaultKind::Close => self.set_closed([]),
            FaultKind::Failing => {
                for agent in &mut self.agents {
                    agent.server.failing = false;
                }
            }
            FaultKind::Burst => self.load_factor = 1.0,
            _ => {}
        }
    }

    fn end_balancers(&mut self, count: usize, end: Millis) {
        for index in 0..self.balancers.len().min(count) {
            let centre = self.balancers[index].centre;
            let number = (index % usize::from(self.experiment.balancers)) as u8;
            let router = self.new_router(centre, balancer_address(centre, number));
            self.balancers[index].router = router;
            self.balancers[index].down = end;
        }
    }

    fn end_agents(&mut self, count: usize, end: Millis, servers: bool) {
        for index in 0..self.agents.len().min(count) {
            let (centre, address) = (self.agents[index].centre, self.agents[index].address);
            let started = self.now;
            self.now = end;
            let keeper = self.new_keeper(centre, address);
            self.now = started;
            let agent = &mut self.agents[index];
            agent.keeper = keeper;
            agent.down = end;
            if servers {
                agent.life += 1;
                agent.server =
                    ModelServer::new(index as u16, self.experiment.slots, self.experiment.queue);
            }
        }
    }

    fn set_closed(&mut self, centres: impl IntoIterator<Item = CompactString>) {
        let revision = self.rules.revision + 1;
        let mut rules = site_rules(&self.experiment, revision);
        rules.close_centres(centres);
        self.rules = Arc::new(rules);
        for agent in &mut self.agents {
            agent.keeper.set_rules(self.rules.clone());
        }
        for balancer in &mut self.balancers {
            balancer.router.rules = Some(self.rules.clone());
        }
    }
}

fn site_rules(experiment: &Experiment, revision: u64) -> SiteRules {
    let route = FlowRoute {
        address: ROUTE,
        shares: vec![ServiceShare {
            service: SERVICE.into(),
            weight: 1,
        }],
        priority: 1,
        objective: Millis(experiment.objective_ms),
    };
    let service = ServiceRules {
        name: SERVICE.into(),
        cold_time: Millis(0),
        cold_rate: None,
    };
    let mut rules = SiteRules::new(1, IDLE_TIME, [route], [service]);
    rules.revision = revision;
    rules
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
