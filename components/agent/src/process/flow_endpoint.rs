//! The QUIC endpoint of an agent.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_control::PublishedState;
use carobdrum_core::{
    connection::FlowOwner,
    version::{
        CentreId,
        ServiceId, //
    },
};
use carobdrum_settings::ProcessSettings;
use quinn::{
    crypto::rustls::QuicServerConfig,
    Endpoint,
    EndpointConfig,
    IdleTimeout,
    MtuDiscoveryConfig,
    ServerConfig,
    TokioRuntime,
    TransportConfig,
    VarInt, //
};
use ring::hkdf;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::sync::watch;

use super::{
    agent_error::{
        NoKeysSnafu,
        SocketFailedSnafu, //
    },
    AgentError, //
};
use crate::connection::{
    FlowIssuer,
    ResetKey,
    TunnelSocket, //
};

/// Maximum UDP payload sent to callers: an Ethernet frame of 1,500 bytes less the IP and UDP
/// headers (28) and the tunnel's header and tag (64).
const MAX_UDP_PAYLOAD: u16 = 1_408;
/// Time without a packet after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 128;
/// Flow-control window of one connection in bytes, which allows 100 MB/s at a round-trip time of 20
/// ms.
const WINDOW_LEN: u32 = 2 << 20;

/// Opens the QUIC endpoint on the tunnel.
///
/// # Errors
///
/// Returns an [`AgentError`] if the endpoint can't be opened.
pub(crate) fn open_endpoint(
    tunnel: TunnelSocket,
    settings: &ProcessSettings,
    incarnation: u64,
    published: &watch::Receiver<PublishedState>,
) -> Result<Endpoint, AgentError> {
    let address = settings.address;
    let issuer_factory = {
        let published = published.clone();
        let template = owner_template(address, incarnation);
        let name = settings.name.clone();
        let centre = settings.data_centre.clone();
        move || {
            let issuer = FlowIssuer::new(published.clone(), template, name.clone(), centre.clone());
            Box::new(issuer) as Box<dyn quinn::ConnectionIdGenerator>
        }
    };
    let mut config = EndpointConfig::new(Arc::new(ResetKey::new(published.clone())));
    config.cid_generator(issuer_factory);
    // The setter fails only below the minimum of 1,200, and the constant is above it.
    let _ = config.max_udp_payload_size(MAX_UDP_PAYLOAD);
    let runtime = Arc::new(TokioRuntime);
    Endpoint::new_with_abstract_socket(config, None, Arc::new(tunnel), runtime)
        .context(SocketFailedSnafu { address })
}

/// Builds the QUIC server configuration from the TLS configuration and the key ring.
///
/// # Errors
///
/// Returns [`AgentError::NoKeys`] if no key ring is in force.
pub(crate) fn server_config(
    tls: Arc<QuicServerConfig>,
    state: &PublishedState,
) -> Result<ServerConfig, AgentError> {
    let keys = state.keys.as_ref().context(NoKeysSnafu)?;
    let issuing = keys.key(keys.issuing()).context(NoKeysSnafu)?;
    let secret = issuing.derive32(b"retry token");
    let token_key = hkdf::Prk::new_less_safe(hkdf::HKDF_SHA256, &secret);
    let mut config = ServerConfig::new(tls, Arc::new(token_key));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_UDP_PAYLOAD);
    let mut transport = TransportConfig::default();
    transport
        .mtu_discovery_config(Some(mtu))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .send_window(u64::from(WINDOW_LEN))
        .receive_window(VarInt::from_u32(WINDOW_LEN));
    transport
}

fn owner_template(agent: SocketAddrV4, incarnation: u64) -> FlowOwner {
    FlowOwner {
        agent,
        service: ServiceId(0),
        centre: CentreId(0),
        incarnation: incarnation as u16,
    }
}
