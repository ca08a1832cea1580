//! Execution of what the membership logic decides.

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

/// Takes the results of bulk calls back to the membership logic.
pub type EventReturn = Arc<dyn Fn(MemberEvent) + Send + Sync>;

/// Executes the actions of the membership logic: sends datagrams and makes bulk calls.
pub struct ActionRunner {
    sender: ControlSender,
    key: TunnelKey,
    config: ActorRef<ConfigMessage>,
    events: EventReturn,
}

impl ActionRunner {
    /// Creates a runner that brings the results of bulk calls back through `events`.
    pub fn new(
        sender: ControlSender,
        key: TunnelKey,
        config: ActorRef<ConfigMessage>,
        events: EventReturn,
    ) -> ActionRunner {
        ActionRunner {
            sender,
            key,
            config,
            events,
        }
    }

    /// Executes one action and returns the bytes that went out in datagrams.
    ///
    /// `buckets` are the digests of the member list, for a sync.
    pub fn run(
        &mut self,
        action: MemberAction,
        state: &PublishedState,
        buckets: impl FnOnce() -> Vec<u64>,
    ) -> usize {
        match action {
            MemberAction::Send { to, message } => {
                let sent = self.sender.send(to, state.number(), encode_peer(message));
                return sent.unwrap_or_else(|error| {
                    debug!(peer = %to, %error, "control datagram not sent");
                    0
                });
            }
            MemberAction::FetchVersion { from } => self.fetch_version(from, state.number()),
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
        self.call(peer, request, move |answer| match answer {
            Some(ControlBody::Version(found)) => {
                match serde_json::from_slice::<ConfigVersion>(&found.document) {
                    Ok(version) => {
                        let version = Box::new(version);
                        let _ = config.cast(ConfigMessage::OfferVersion(version));
                        None
                    }
                    Err(error) => {
                        debug!(%peer, %error, "malformed version from a process");
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
        self.call(peer, request, move |answer| match answer {
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
        self.call(peer, request, move |answer| match answer {
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
        // Digests find what a lost push would have brought.
        self.call(peer, request, |_| None);
    }

    /// Makes a bulk call and returns what `outcome` makes of the answer as an event.
    fn call(
        &self,
        peer: SocketAddrV4,
        request: ControlBody,
        outcome: impl FnOnce(Option<ControlBody>) -> Option<MemberEvent> + Send + 'static,
    ) {
        let key = self.key.clone();
        let events = Arc::clone(&self.events);
        tokio::spawn(async move {
            let answer = match call_control(peer, &key, ControlMessage::new(request)).await {
                Ok(answer) => answer.body,
                Err(error) => {
                    debug!(%peer, %error, "bulk call failed");
                    None
                }
            };
            if let Some(event) = outcome(answer) {
                events(event);
            }
        });
    }
}
