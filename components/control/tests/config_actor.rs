//! The actor that owns the version in force and the key ring.

use carobdrum_control::{
    spawn_config,
    ConfigArguments,
    ConfigMessage,
    KeyWrapper,
    PublishedState, //
};
use carobdrum_core::version::ConfigVersion;
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchKeys,
        FetchVersion, //
    },
    ControlMessage,
};
use ractor::{
    rpc::CallResult,
    ActorRef, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use tokio::sync::watch;

const VERSIONS: u32 = 40;
const OFFERS: usize = 400;

async fn start() -> (ActorRef<ConfigMessage>, watch::Receiver<PublishedState>) {
    let (published, state) = watch::channel(PublishedState::default());
    let wrapper = KeyWrapper::new(&[3; 32]);
    let actor = spawn_config(ConfigArguments { wrapper, published }).await;
    (actor.unwrap(), state)
}

/// Sends a request to the actor. Once it has responded, it has handled all messages sent before.
async fn ask(actor: &ActorRef<ConfigMessage>, body: ControlBody) -> Option<ControlBody> {
    let request = ControlMessage::new(body);
    let response = actor
        .call(|reply| ConfigMessage::Serve(request, reply), None)
        .await;
    match response.unwrap() {
        CallResult::Success(response) => response.body,
        _ => panic!("no response from the actor"),
    }
}

fn version(number: u32, edit_id: &str) -> Box<ConfigVersion> {
    Box::new(ConfigVersion {
        number,
        edit_id: edit_id.into(),
        ..ConfigVersion::default()
    })
}

/// Guards against a return to an older configuration that a slow peer offers late.
#[tokio::test]
async fn version_never_decreases() {
    let (actor, state) = start().await;
    let mut random = SmallRng::seed_from_u64(41);
    let mut highest = 0;
    for _ in 0..OFFERS {
        let number = random.random_range(1..=VERSIONS.min(highest + 5));
        let offer = ConfigMessage::OfferVersion(version(number, "edit"));
        actor.cast(offer).unwrap();
        highest = highest.max(number);
        let fetch = ControlBody::FetchVersion(FetchVersion {
            known_version: highest - 1,
        });
        let Some(ControlBody::Version(found)) = ask(&actor, fetch).await else {
            panic!("version {highest} not served");
        };
        assert_eq!(state.borrow().config_number(), highest);
        assert_eq!(found.number, highest);
        let document: ConfigVersion = serde_json::from_slice(&found.document).unwrap();
        assert_eq!(document.number, highest);
    }
    assert_eq!(highest, VERSIONS);
    let fetch = ControlBody::FetchVersion(FetchVersion {
        known_version: VERSIONS,
    });
    let response = ask(&actor, fetch).await;
    assert!(matches!(response, Some(ControlBody::Nothing(_))));
}

/// Guards against two edits with the same number that replace each other endlessly.
#[tokio::test]
async fn first_edit_of_a_number_is_kept() {
    let (actor, state) = start().await;
    for edit in ["first", "second"] {
        let offer = ConfigMessage::OfferVersion(version(1, edit));
        actor.cast(offer).unwrap();
    }
    ask(
        &actor,
        ControlBody::FetchKeys(FetchKeys { known_version: 0 }),
    )
    .await;
    let config = state.borrow().config.clone().unwrap();
    assert_eq!(config.edit_id, "first");
}

/// Guards against a return to an older key ring, and against a ring wrapped under another secret.
#[tokio::test]
async fn key_ring_version_never_decreases() {
    let (actor, state) = start().await;
    let mut random = SmallRng::seed_from_u64(42);
    let wrapper = KeyWrapper::new(&[3; 32]);
    let first = wrapper.initial_ring(&mut random);
    let second = wrapper.rotate(&first, &mut random);
    let third = wrapper.rotate(&second, &mut random);
    let foreign = KeyWrapper::new(&[4; 32]).wrap(&third, &mut random);
    let offers = [
        wrapper.wrap(&second, &mut random),
        wrapper.wrap(&first, &mut random),
        foreign,
    ];
    for offer in offers {
        actor.cast(ConfigMessage::OfferKeys(offer)).unwrap();
        let response = ask(
            &actor,
            ControlBody::FetchKeys(FetchKeys { known_version: 1 }),
        )
        .await;
        let Some(ControlBody::Keys(found)) = response else {
            panic!("no key ring served");
        };
        assert_eq!(found.version, 2);
        assert_eq!(wrapper.unwrap(&found.document).unwrap().version(), 2);
        assert_eq!(state.borrow().key_version(), 2);
    }
}
