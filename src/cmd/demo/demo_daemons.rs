//! Balancers and agents of the demo.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_agent::AgentHandle;
use carobdrum_balancer::BalancerHandle;
use carobdrum_settings::{
    AgentSettings,
    BalancerSettings,
    HedgeSettings,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};

use crate::{
    cmd::demo::{
        demo_addresses::{
            metrics_address,
            process_address,
            DemoAddresses, //
        },
        demo_files::DemoFiles,
        demo_platform::{
            DemoPlatform,
            DemoServer, //
        },
        demo_tables::CENTRES, //
    },
    demo_error::DemoError, //
};

/// Data centre of each balancer.
pub(super) const BALANCER_CENTRES: [&str; 3] = [CENTRES[0], CENTRES[0], CENTRES[1]];
/// Name of the deployment, which is part of its keys in the store.
pub(super) const DEPLOYMENT: &str = "demo";

const REGION: &str = "ie-west";
/// Longest time for which an agent that stops waits for its requests, in milliseconds.
const DRAIN_TIMEOUT_MS: u32 = 2_000;

/// The daemons, running on threads of this process.
pub(super) struct DemoDaemons {
    balancers: Vec<BalancerHandle>,
    agents: Vec<AgentHandle>,
    /// Metrics addresses of the balancers.
    pub(super) balancer_metrics: Vec<SocketAddrV4>,
    /// Metrics addresses of the agents.
    pub(super) agent_metrics: Vec<SocketAddrV4>,
}

impl DemoDaemons {
    /// Starts the balancers, and an agent beside each server.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Balancer`] or [`DemoError::Agent`].
    pub(super) fn start(
        addresses: &DemoAddresses,
        files: &DemoFiles,
        platform: &DemoPlatform,
    ) -> Result<DemoDaemons, DemoError> {
        let mut daemons = DemoDaemons {
            balancers: Vec::new(),
            agents: Vec::new(),
            balancer_metrics: Vec::new(),
            agent_metrics: Vec::new(),
        };
        for (index, data_centre) in BALANCER_CENTRES.iter().enumerate() {
            let ip = addresses.balancer(index);
            let name = format!("balancer-{index}");
            let settings = BalancerSettings {
                process: process_settings(&name, data_centre, ip, files),
                store: store_settings(platform),
                log: LogSettings::default(),
                listen_ip: Some(ip),
                threads: 1,
            };
            daemons.balancers.push(BalancerHandle::spawn(settings)?);
            daemons.balancer_metrics.push(metrics_address(ip));
        }
        for (index, server) in platform.servers.iter().enumerate() {
            let ip = addresses.agent(index);
            let settings = agent_settings(server, ip, files, platform);
            daemons.agents.push(AgentHandle::spawn(settings)?);
            daemons.agent_metrics.push(metrics_address(ip));
        }
        Ok(daemons)
    }

    /// Stops all agents concurrently, then all balancers.
    pub(super) fn stop(self) {
        std::thread::scope(|scope| {
            for agent in self.agents {
                scope.spawn(|| agent.stop());
            }
        });
        std::thread::scope(|scope| {
            for balancer in self.balancers {
                scope.spawn(|| balancer.stop());
            }
        });
    }
}

fn agent_settings(
    server: &DemoServer,
    ip: Ipv4Addr,
    files: &DemoFiles,
    platform: &DemoPlatform,
) -> AgentSettings {
    AgentSettings {
        process: process_settings(&server.name, server.data_centre, ip, files),
        store: store_settings(platform),
        log: LogSettings::default(),
        server: server.server.address(),
        certificate_file: files.certificate_file(),
        key_file: files.key_file(),
        drain_timeout_ms: DRAIN_TIMEOUT_MS,
        hedging: HedgeSettings::default(),
    }
}

fn process_settings(
    name: &str,
    data_centre: &str,
    ip: Ipv4Addr,
    files: &DemoFiles,
) -> ProcessSettings {
    ProcessSettings {
        name: name.into(),
        data_centre: data_centre.into(),
        region: REGION.into(),
        address: process_address(ip),
        secret_file: files.secret_file(),
        bootstrap: Vec::new(),
        metrics_address: Some(metrics_address(ip).into()),
    }
}

fn store_settings(platform: &DemoPlatform) -> StoreSettings {
    StoreSettings {
        address: platform.store.address(),
        deployment: DEPLOYMENT.into(),
    }
}
