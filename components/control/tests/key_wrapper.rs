//! Encryption and rotation of the key ring.

use carobdrum_control::{
    KeyWrapper,
    WrapError, //
};
use carobdrum_core::{
    connection::FlowOwner,
    version::{
        CentreId,
        KeyRing,
        ServiceId, //
    },
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

/// Number of rotations, enough that each phase is used several times.
const ROTATIONS: u32 = 12;

fn wrapper() -> KeyWrapper {
    KeyWrapper::new(&[3; 32])
}

fn owner() -> FlowOwner {
    FlowOwner {
        agent: "127.41.0.1:7500".parse().unwrap(),
        service: ServiceId(2),
        centre: CentreId(1),
        incarnation: 9,
    }
}

fn is_wrong_secret(unwrapped: Result<KeyRing, WrapError>) -> bool {
    matches!(unwrapped, Err(WrapError::WrongSecret))
}

/// Guards against a ring that is changed by wrapping and unwrapping.
#[test]
fn unwrapping_returns_the_wrapped_ring() {
    let mut random = SmallRng::seed_from_u64(1);
    let ring = wrapper().initial_ring(&mut random);
    let found = wrapper()
        .unwrap(&wrapper().wrap(&ring, &mut random))
        .unwrap();
    assert_eq!(found.version(), ring.version());
    assert_eq!(found.issuing(), ring.issuing());
    assert!(found.keys() == ring.keys());
}

/// Guards against the use of keys that are damaged or come from another deployment.
#[test]
fn foreign_and_damaged_documents_are_refused() {
    let mut random = SmallRng::seed_from_u64(2);
    let ring = wrapper().initial_ring(&mut random);
    let document = wrapper().wrap(&ring, &mut random);
    assert!(is_wrong_secret(KeyWrapper::new(&[4; 32]).unwrap(&document)));
    for len in 0..document.len() {
        assert!(is_wrong_secret(wrapper().unwrap(&document[..len])), "{len}");
        let mut damaged = document.clone();
        damaged[len] ^= 1;
        assert!(is_wrong_secret(wrapper().unwrap(&damaged)), "byte {len}");
    }
}

/// Guards against a rotation that breaks the flows of the previous key, or issues IDs that a
/// balancer with the previous ring can't decrypt.
#[test]
fn rotation_keeps_flows_and_issues_under_a_known_key() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut ring = wrapper().initial_ring(&mut random);
    for version in 2..ROTATIONS {
        let old_flow = ring.issuing_codec().unwrap().seal(&owner(), 1, 1);
        let rotated = wrapper().rotate(&ring, &mut random);
        assert_eq!(rotated.version(), version);
        assert_eq!(rotated.open(&old_flow), Some(owner()), "old flow");
        let new_flow = rotated.issuing_codec().unwrap().seal(&owner(), 2, 1);
        assert_ne!(new_flow.phase(), old_flow.phase());
        assert_eq!(
            ring.open(&new_flow),
            Some(owner()),
            "ID issued under a key that the previous ring lacks"
        );
        assert_eq!(rotated.keys().len(), 3);
        ring = rotated;
    }
}
