//! Generator of connection IDs that identify this agent.

use std::time::Duration;

use carobdrum_control::PublishedState;
use carobdrum_core::{
    connection::{
        FlowId,
        FlowOwner,
        FLOW_ID_LEN, //
    },
    version::{
        CentreId,
        ServiceId, //
    },
};
use quinn_proto::{
    ConnectionId,
    ConnectionIdGenerator,
    InvalidCid, //
};
use tokio::sync::watch;

/// Time after which callers are asked to use a new connection ID. It is less than the day between
/// key rotations, so that no active flow depends on a key that was removed from the ring.
const CONNECTION_ID_TTL: Duration = Duration::from_secs(6 * 60 * 60);

/// Issues the connection IDs of one agent.
pub(crate) struct FlowIssuer {
    published: watch::Receiver<PublishedState>,
    template: FlowOwner,
    name: compact_str::CompactString,
    data_centre: compact_str::CompactString,
    sequence: u16,
}

impl FlowIssuer {
    /// Creates the issuer of the agent at `template.agent`. Service and data centre are taken from
    /// the version in force when an ID is issued.
    pub(crate) fn new(
        published: watch::Receiver<PublishedState>,
        template: FlowOwner,
        name: compact_str::CompactString,
        data_centre: compact_str::CompactString,
    ) -> FlowIssuer {
        FlowIssuer {
            published,
            template,
            name,
            data_centre,
            sequence: rand::random(),
        }
    }

    fn owner(&self, state: &PublishedState) -> FlowOwner {
        let config = state.config.as_deref();
        let pool = config.and_then(|config| config.pools.pool_for_server(&self.name));
        let service = config
            .zip(pool)
            .and_then(|(config, pool)| config.service_id(&pool.service));
        let centre = config.and_then(|config| config.centre_id(&self.data_centre));
        FlowOwner {
            service: service.unwrap_or(ServiceId(0)),
            centre: centre.unwrap_or(CentreId(0)),
            ..self.template
        }
    }
}

impl ConnectionIdGenerator for FlowIssuer {
    /// # Panics
    ///
    /// Never: the endpoint is opened only after a key ring is in force.
    fn generate_cid(&mut self) -> ConnectionId {
        self.sequence = self.sequence.wrapping_add(1);
        let state = self.published.borrow();
        let owner = self.owner(&state);
        let issuing_codec = state.keys.as_ref().and_then(|keys| keys.issuing_codec());
        let codec = issuing_codec.expect("a key ring is in force before the endpoint opens");
        let flow = codec.seal(&owner, self.sequence, rand::random());
        ConnectionId::new(&flow.0)
    }

    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        // IDs of an earlier incarnation at this address are accepted, so that their callers get a
        // stateless reset.
        let flow = FlowId::from_slice(id).ok_or(InvalidCid)?;
        let state = self.published.borrow();
        let owner = state.keys.as_ref().and_then(|keys| keys.open(&flow));
        match owner {
            Some(owner) if owner.agent == self.template.agent => Ok(()),
            _ => Err(InvalidCid),
        }
    }

    fn cid_len(&self) -> usize {
        FLOW_ID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(CONNECTION_ID_TTL)
    }
}
