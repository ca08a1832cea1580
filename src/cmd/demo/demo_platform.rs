//! Stand-ins for the store, the fabric and the backend servers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use carobdrum_standins::{
    BackendServer,
    BackendSettings,
    FabricRelay,
    RelaySettings,
    ServiceTime,
    StoreServer, //
};
use compact_str::CompactString;

use crate::{
    cmd::demo::{
        demo_addresses::DemoAddresses,
        demo_daemons::BALANCER_CENTRES,
        demo_tables::{
            CENTRES,
            SERVICE,
            SLOTS, //
        },
        flow_ids::FlowIds, //
    },
    demo_error::DemoError, //
};

/// Backend servers in each data centre.
const SERVERS_PER_CENTRE: usize = 2;
/// Mean service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// A backend server and its data centre.
pub(super) struct DemoServer {
    pub(super) name: CompactString,
    pub(super) data_centre: &'static str,
    pub(super) server: BackendServer,
}

/// The store, the fabric and the backend servers.
pub(super) struct DemoPlatform {
    /// Stand-in of the store.
    pub(super) store: StoreServer,
    /// Stand-ins of the backend servers.
    pub(super) servers: Vec<DemoServer>,
    /// Connection IDs of the callers' flows.
    pub(super) flow_ids: FlowIds,
    /// Relays datagrams to the balancers until it is dropped.
    _fabric: FabricRelay,
}

impl DemoPlatform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Standin`].
    pub(super) async fn start(
        addresses: &DemoAddresses,
        seed: u64,
    ) -> Result<DemoPlatform, DemoError> {
        let store = StoreServer::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let balancers = (0..BALANCER_CENTRES.len()).map(|index| addresses.balancer(index));
        let flow_ids = FlowIds::default();
        let recorder = flow_ids.clone();
        let settings = RelaySettings::new([addresses.service()], balancers)
            .seed(seed)
            .observer(move |caller, packet| recorder.record(caller, packet));
        let mut servers = Vec::new();
        for data_centre in CENTRES {
            for number in 1..=SERVERS_PER_CENTRE {
                servers.push(start_server(data_centre, number, seed).await?);
            }
        }
        Ok(DemoPlatform {
            store,
            servers,
            flow_ids,
            _fabric: FabricRelay::start(settings)?,
        })
    }
}

async fn start_server(
    data_centre: &'static str,
    number: usize,
    seed: u64,
) -> Result<DemoServer, DemoError> {
    let name = CompactString::from(format!("{data_centre}-{number}"));
    let settings = BackendSettings::new(name.clone(), SERVICE, SLOTS)
        .service_time(ServiceTime::Exponential(SERVICE_TIME))
        .seed(seed + number as u64);
    Ok(DemoServer {
        name,
        data_centre,
        server: BackendServer::start(settings).await?,
    })
}
