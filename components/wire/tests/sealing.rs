//! Creation and authentication of datagrams between processes.

mod common;

use carobdrum_wire::{
    DatagramKind,
    OpenError,
    TunnelHeader,
    TunnelKey,
    TunnelOpener,
    TunnelSealer,
    HEADER_LEN,
    TAG_LEN, //
};
use common::seeded;
use proptest::prelude::*;

const SECRET: [u8; 32] = [3; 32];
/// Width of the replay window that the design document promises, in datagrams.
const WINDOW: u64 = 1_024;
/// Number of bytes of a flow's packet that the tag authenticates.
const AUTHENTICATED_LEN: usize = 32;

fn opener(capacity: usize) -> TunnelOpener {
    TunnelOpener::new(TunnelKey::new(&SECRET), capacity)
}

fn sealer(sender: u64) -> TunnelSealer {
    TunnelSealer::new(&TunnelKey::new(&SECRET), sender)
}

fn seal(sealer: &mut TunnelSealer, kind: DatagramKind, payload: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    sealer.seal(&TunnelHeader::new(kind), payload, &mut datagram);
    datagram
}

/// Returns the kinds, and whether the tag authenticates their whole payload.
fn kinds() -> impl Strategy<Value = (DatagramKind, bool)> {
    prop::sample::select(vec![
        (DatagramKind::Forward, false),
        (DatagramKind::Redirected, false),
        (DatagramKind::Response, false),
        (DatagramKind::Ping, true),
        (DatagramKind::Pong, true),
        (DatagramKind::Control, true),
    ])
}

proptest! {
    #![proptest_config(seeded(2_000))]

    /// Guards against a datagram that is accepted although it was changed on its way.
    #[test]
    fn flipped_bit_is_rejected(
        (kind, authenticates_all) in kinds(),
        payload in prop::collection::vec(any::<u8>(), 0..200),
        position in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let valid = seal(&mut sealer(1), kind, &payload);
        let authenticated = if authenticates_all {
            payload.len()
        } else {
            payload.len().min(AUTHENTICATED_LEN)
        };
        let mut position = position.index(HEADER_LEN + authenticated + TAG_LEN);
        if position >= HEADER_LEN + authenticated {
            position += payload.len() - authenticated;
        }
        let mut corrupted = valid.clone();
        corrupted[position] ^= 1 << bit;
        let mut opener = opener(4);
        prop_assert!(opener.open(&corrupted).is_err(), "bit {bit} of byte {position}");
        let (header, opened) = opener.open(&valid).unwrap();
        prop_assert_eq!(header.kind, kind);
        prop_assert_eq!(opened, &payload[..]);
    }
}

proptest! {
    #![proptest_config(seeded(300))]

    /// Guards against replayed datagrams that are accepted, and against new ones within the window
    /// that are dropped.
    #[test]
    fn counters_are_accepted_once_within_the_window(
        steps in prop::collection::vec(-1_100..1_100_i64, 1..300),
    ) {
        const HIGHEST: u64 = 6_000;
        let mut sealer = sealer(1);
        let datagrams: Vec<_> = (0..=HIGHEST)
            .map(|_| seal(&mut sealer, DatagramKind::Ping, &[]))
            .collect();
        let mut opener = opener(4);
        let mut seen = vec![false; datagrams.len() + 1];
        let mut counter = 1_i64;
        let mut highest = 0;
        for step in steps {
            counter = (counter + step).clamp(1, HIGHEST as i64);
            let number = counter as u64;
            let is_new = !seen[counter as usize] && number + WINDOW > highest;
            let opened = opener.open(&datagrams[counter as usize - 1]);
            prop_assert_eq!(opened.is_ok(), is_new, "{} after {}", number, highest);
            seen[counter as usize] = true;
            highest = highest.max(number);
        }
    }
}

/// Guards against a replayed datagram that is accepted after the window has moved on.
#[test]
fn replayed_counter_is_rejected_at_every_distance() {
    const DATAGRAMS: usize = 1_300;
    let mut sealer = sealer(1);
    let mut opener = opener(1);
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for _ in 0..DATAGRAMS {
        datagrams.push(seal(&mut sealer, DatagramKind::Ping, &[]));
        let newest = datagrams.len();
        assert!(opener.open(&datagrams[newest - 1]).is_ok());
        for (index, datagram) in datagrams.iter().enumerate() {
            let replayed = opener.open(datagram);
            assert!(replayed.is_err(), "{} after {newest}", index + 1);
        }
    }
}

/// Guards against memory that grows with every sender, and against an eviction of the senders that
/// were heard last.
#[test]
fn full_sender_table_evicts_the_oldest() {
    const CAPACITY: usize = 4;
    let mut opener = opener(CAPACITY);
    let datagrams: Vec<_> = (0..100)
        .map(|sender| seal(&mut sealer(sender), DatagramKind::Ping, &[]))
        .collect();
    for datagram in &datagrams {
        assert!(opener.open(datagram).is_ok());
    }
    for datagram in datagrams.iter().rev().take(CAPACITY) {
        let replayed = OpenError::Replayed { counter: 1 };
        assert_eq!(opener.open(datagram).unwrap_err(), replayed);
    }
    assert!(
        opener.open(&datagrams[0]).is_ok(),
        "the oldest sender wasn't evicted"
    );
}

/// Guards against senders without the key that take places in the table.
#[test]
fn forged_datagrams_evict_no_sender() {
    let mut opener = opener(1);
    let valid = seal(&mut sealer(1), DatagramKind::Ping, &[]);
    assert!(opener.open(&valid).is_ok());
    for sender in 2..100 {
        let other_key = TunnelKey::new(&[4; 32]);
        let forged = seal(
            &mut TunnelSealer::new(&other_key, sender),
            DatagramKind::Ping,
            &[],
        );
        assert_eq!(opener.open(&forged).unwrap_err(), OpenError::Forged);
    }
    let replayed = OpenError::Replayed { counter: 1 };
    assert_eq!(opener.open(&valid).unwrap_err(), replayed);
}
