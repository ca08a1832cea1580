//! Wrapping and rotation of the key ring.

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

/// Rotations to try: each phase comes several times.
const ROTATIONS: u32 = 12;

fn vault() -> KeyWrapper {
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

/// Guards against a ring that changes on its way through the store.
#[test]
fn ring_survives_wrapping() {
    let mut random = SmallRng::seed_from_u64(1);
    let ring = vault().initial_ring(&mut random);
    let found = vault().unwrap(&vault().wrap(&ring, &mut random)).unwrap();
    assert_eq!(found.version(), ring.version());
    assert_eq!(found.issuing(), ring.issuing());
    assert!(found.keys() == ring.keys());
}

/// Guards against keys of another deployment, or damaged ones, that come into force.
#[test]
fn foreign_and_damaged_documents_are_refused() {
    let mut random = SmallRng::seed_from_u64(2);
    let ring = vault().initial_ring(&mut random);
    let document = vault().wrap(&ring, &mut random);
    assert!(is_wrong_secret(KeyWrapper::new(&[4; 32]).unwrap(&document)));
    for len in 0..document.len() {
        assert!(is_wrong_secret(vault().unwrap(&document[..len])), "{len}");
        let mut damaged = document.clone();
        damaged[len] ^= 1;
        assert!(is_wrong_secret(vault().unwrap(&damaged)), "byte {len}");
    }
}

/// Guards against a rotation that cuts the flows of the previous key, or issues IDs that a balancer
/// with the previous ring can't open.
#[test]
fn rotation_keeps_flows_and_issues_under_a_known_key() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut ring = vault().initial_ring(&mut random);
    for version in 2..ROTATIONS {
        let old_flow = ring.issuing_codec().unwrap().seal(&owner(), 1, 1);
        let rotated = vault().rotate(&ring, &mut random);
        assert_eq!(rotated.version(), version);
        assert_eq!(rotated.open(&old_flow), Some(owner()), "old flow");
        let new_flow = rotated.issuing_codec().unwrap().seal(&owner(), 2, 1);
        assert_ne!(new_flow.phase(), old_flow.phase());
        assert_eq!(ring.open(&new_flow), Some(owner()), "key not spread");
        assert_eq!(rotated.keys().len(), 3);
        ring = rotated;
    }
}
