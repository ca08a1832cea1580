//! The tunnel to balancers, connection IDs, and connections to the backend server.

mod balancer_list;
mod caller_silence;
mod caller_table;
mod flow_issuer;
mod flow_task;
mod redirect_table;
mod reset_key;
mod server_connector;
mod tunnel_socket;
mod tunnel_state;

use balancer_list::BalancerList;
use caller_silence::CallerSilence;
pub(crate) use caller_table::{
    CallerRoute,
    CallerTable, //
};
pub(crate) use flow_issuer::FlowIssuer;
pub(crate) use flow_task::{
    FlowTask,
    H3_NO_ERROR,
    LINGER_TIMEOUT, //
};
pub(crate) use redirect_table::RedirectTable;
pub(crate) use reset_key::ResetKey;
pub(crate) use server_connector::{
    ServerBody,
    ServerConnector, //
};
pub(crate) use tunnel_socket::TunnelSocket;
pub(crate) use tunnel_state::{
    ControlDatagram,
    TunnelAction, //
    TunnelState,
};
