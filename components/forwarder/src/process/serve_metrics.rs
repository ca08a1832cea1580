//! The address of the metrics.

use std::net::SocketAddrV4;

use carobdrum_telemetry::MetricsServer;
use prometheus_client::registry::Registry;
use snafu::ResultExt;

use super::{
    node_error::MetricsSnafu,
    NodeError, //
};

/// Serves the metrics, if the settings name an address.
pub(crate) fn serve_metrics(
    address: Option<SocketAddrV4>,
    registry: Registry,
) -> Result<Option<MetricsServer>, NodeError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let server = MetricsServer::spawn(address.into(), registry).context(MetricsSnafu)?;
    Ok(Some(server))
}
