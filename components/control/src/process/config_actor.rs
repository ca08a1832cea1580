//! The actor that owns the version in force and the key ring.

use std::sync::Arc;

use carobdrum_core::version::{
    ConfigVersion,
    KeyRing,
    OfferOutcome,
    VersionTracker, //
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchKeys,
        FetchVersion,
        KeyDocument,
        Nothing,
        VersionDocument, //
    },
    ControlMessage, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    RpcReplyPort, //
};
use tokio::sync::watch;
use tracing::{
    info,
    warn, //
};

use crate::{
    KeyWrapper,
    PublishedState, //
};

/// Messages to the [`ConfigActor`].
pub enum ConfigMessage {
    /// A version read from the store or received from another process.
    OfferVersion(Box<ConfigVersion>),
    /// A wrapped key ring read from the store or received from another process.
    OfferKeys(Vec<u8>),
    /// Another process requests the version or the key ring.
    Serve(ControlMessage, RpcReplyPort<ControlMessage>),
}

/// Arguments of the [`ConfigActor`].
pub struct ConfigArguments {
    /// Unwraps the offered key rings.
    pub wrapper: KeyWrapper,
    /// Receives the state whenever the version or the key ring changes.
    pub published: watch::Sender<PublishedState>,
}

/// State of the [`ConfigActor`].
pub struct ConfigState {
    arguments: ConfigArguments,
    tracker: VersionTracker,
    config_document: Vec<u8>,
    ring: Option<Arc<KeyRing>>,
    wrapped_keys: Vec<u8>,
}

/// Owns the version in force and the key ring, and serves them to other processes.
pub struct ConfigActor;

/// Starts a [`ConfigActor`] on the current runtime.
///
/// # Errors
///
/// Returns [`ractor::SpawnErr`] if the actor fails to start.
pub async fn spawn_config(
    arguments: ConfigArguments,
) -> Result<ActorRef<ConfigMessage>, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, ConfigActor, arguments).await?;
    Ok(actor)
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<ConfigMessage>,
        arguments: ConfigArguments,
    ) -> Result<ConfigState, ActorProcessingErr> {
        Ok(ConfigState {
            arguments,
            tracker: VersionTracker::default(),
            config_document: Vec::new(),
            ring: None,
            wrapped_keys: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigMessage::OfferVersion(version) => state.offer_version(*version),
            ConfigMessage::OfferKeys(document) => state.offer_keys(document),
            ConfigMessage::Serve(request, reply) => {
                // The send fails if the requester no longer waits for the response.
                let _ = reply.send(state.response_to(&request));
            }
        }
        Ok(())
    }
}

impl ConfigState {
    fn offer_version(&mut self, version: ConfigVersion) {
        let number = version.number;
        let edit_id = version.edit_id.clone();
        let document = match serde_json::to_vec(&version) {
            Ok(document) => document,
            Err(error) => {
                warn!(number, %error, "cannot serialise the configuration version as JSON");
                return;
            }
        };
        match self.tracker.offer(version) {
            OfferOutcome::Adopted => {
                info!(number, %edit_id, "configuration version in force");
                self.config_document = document;
                self.publish();
            }
            OfferOutcome::Conflicting => {
                warn!(number, %edit_id, "edit refused: another edit with this number is in force");
            }
            OfferOutcome::Older => {
                let current = self.tracker.number();
                warn!(number, current, "stale configuration version refused");
            }
            OfferOutcome::Unchanged => {}
        }
    }

    fn offer_keys(&mut self, document: Vec<u8>) {
        let ring = match self.arguments.wrapper.unwrap(&document) {
            Ok(ring) => ring,
            Err(error) => {
                warn!(%error, "key ring refused");
                return;
            }
        };
        let current = self.ring.as_ref().map_or(0, |ring| ring.version());
        if ring.version() <= current {
            return;
        }
        info!(version = ring.version(), "key ring in force");
        self.ring = Some(Arc::new(ring));
        self.wrapped_keys = document;
        self.publish();
    }

    fn publish(&self) {
        let config = self.tracker.current().cloned().map(Arc::new);
        let state = PublishedState {
            config,
            keys: self.ring.clone(),
        };
        self.arguments.published.send_replace(state);
    }

    fn response_to(&self, request: &ControlMessage) -> ControlMessage {
        let body = match request.body {
            Some(ControlBody::FetchVersion(FetchVersion { known_version }))
                if known_version < self.tracker.number() =>
            {
                ControlBody::Version(VersionDocument {
                    number: self.tracker.number(),
                    document: self.config_document.clone(),
                })
            }
            Some(ControlBody::FetchKeys(FetchKeys { known_version })) => match &self.ring {
                Some(ring) if ring.version() > known_version => ControlBody::Keys(KeyDocument {
                    version: ring.version(),
                    document: self.wrapped_keys.clone(),
                }),
                _ => ControlBody::Nothing(Nothing {}),
            },
            _ => ControlBody::Nothing(Nothing {}),
        };
        ControlMessage::new(body)
    }
}
