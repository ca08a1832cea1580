//! Execution of the actions that the membership logic returns.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::{
    process::{
        MemberAction,
        MemberEvent,
        MemberRecord, //
    },
    version::ConfigVersion,
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchKeys,
        FetchVersion,
        Gossip,
        SyncMembers, //
    },
    ControlMessage,
    TunnelKey, //
};
use ractor::ActorRef;
use tracing::debug;

use crate::{
    call_control,
    connection::{
        decode_records,
        encode_peer,
        encode_records, //
    },
    ConfigMessage,
    ControlSender,
    PublishedState, //
};

/// Callback that returns the results of control calls to the membership logic.
pub type EventSink = Arc<dyn Fn(MemberEvent) + Send + Sync>;

/// Executes the actions of the membership logic: sends datagrams and makes control calls.
pub struct ActionRunner {
    sender: ControlSender,
    key: TunnelKey,
    config: ActorRef<ConfigMessage>,
    events: EventSink,
}

impl ActionRunner {
    /// Creates a runner that reports the results of control calls through `events`.
    pub fn new(
        sender: ControlSender,
        key: TunnelKey,
        config: ActorRef<ConfigMessage>,
        events: EventSink,
    ) -> ActionRunner {
        ActionRunner {
            sender,
            key,
            config,
            events,
        }
    }

    /// Executes one action and returns the number of bytes sent in datagrams.
    ///
    /// `buckets` returns the digests of the member list's buckets; it is called for a sync only.
    pub fn run(
        &mut self,
        action: MemberAction,
        state: &PublishedState,
        buckets: impl FnOnce() -> Vec<u64>,
    ) -> usize {
        match action {
            MemberAction::Send { to, message } => {
                let sent = self
                    .sender
                    .send(to, state.config_number(), encode_peer(message));
                return sent.unwrap_or_else(|error| {
                    debug!(peer = %to, %error, "cannot send control datagram");
                    0
                });
            }
            MemberAction::FetchVersion { from } => self.fetch_version(from, state.config_number()),
            MemberAction::FetchKeys { from } => self.fetch_keys(from, state.key_version()),
            MemberAction::Sync { with } => self.sync(with, buckets()),
            MemberAction::Push { to, records } => self.push(to, &records),
            MemberAction::MemberChanged(_) | MemberAction::MemberPruned(_) => {}
        }
        0
    }

    fn fetch_version(&self, peer: SocketAddrV4, known_version: u32) {
        let request = ControlBody::FetchVersion(FetchVersion { known_version });
        let config = self.config.clone();
        self.call(peer, request, move |response| match response {
            Some(ControlBody::Version(found)) => {
                match serde_json::from_slice::<ConfigVersion>(&found.document) {
                    Ok(version) => {
                        let version = Box::new(version);
                        let _ = config.cast(ConfigMessage::OfferVersion(version));
                        None
                    }
                    Err(error) => {
                        debug!(%peer, %error, "malformed configuration version in a response");
                        Some(MemberEvent::VersionFetchFailed)
                    }
                }
            }
            _ => Some(MemberEvent::VersionFetchFailed),
        });
    }

    fn fetch_keys(&self, peer: SocketAddrV4, known_version: u32) {
        let request = ControlBody::FetchKeys(FetchKeys { known_version });
        let config = self.config.clone();
        self.call(peer, request, move |response| match response {
            Some(ControlBody::Keys(found)) => {
                let _ = config.cast(ConfigMessage::OfferKeys(found.document));
                None
            }
            _ => Some(MemberEvent::KeyFetchFailed),
        });
    }

    fn sync(&self, peer: SocketAddrV4, buckets: Vec<u64>) {
        let request = ControlBody::SyncMembers(SyncMembers {
            buckets,
            members: Vec::new(),
        });
        self.call(peer, request, move |response| match response {
            Some(ControlBody::Members(found)) => Some(MemberEvent::SyncCompleted {
                peer,
                records: decode_records(found.members),
            }),
            _ => Some(MemberEvent::SyncFailed),
        });
    }

    fn push(&self, peer: SocketAddrV4, records: &[MemberRecord]) {
        let request = ControlBody::Members(Gossip {
            members: encode_records(records),
            ..Gossip::default()
        });
        // The next comparison of digests finds records that a failed push didn't deliver.
        self.call(peer, request, |_| None);
    }

    /// Makes a control call in a task of its own. `outcome` turns the response (`None` if the call
    /// failed) into the event to report.
    fn call(
        &self,
        peer: SocketAddrV4,
        request: ControlBody,
        outcome: impl FnOnce(Option<ControlBody>) -> Option<MemberEvent> + Send + 'static,
    ) {
        let key = self.key.clone();
        let events = Arc::clone(&self.events);
        tokio::spawn(async move {
            let response = match call_control(peer, &key, ControlMessage::new(request)).await {
                Ok(response) => response.body,
                Err(error) => {
                    debug!(%peer, %error, "control call failed");
                    None
                }
            };
            if let Some(event) = outcome(response) {
                events(event);
            }
        });
    }
}
