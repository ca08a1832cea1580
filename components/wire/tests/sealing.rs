//! Sealing and opening of datagrams between processes.

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
/// Width of the replay window that the design page promises.
const WINDOW: u64 = 1_024;
/// Bytes of a flow's packet that the tag covers.
const COVERED_LEN: usize = 32;

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

/// Returns the kinds, and whether the tag covers their whole payload.
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

    /// Guards against a change on the way that a receiver takes for the sender's word.
    #[test]
    fn flipped_bit_is_refused(
        (kind, covers_all) in kinds(),
        payload in prop::collection::vec(any::<u8>(), 0..200),
        place in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let sound = seal(&mut sealer(1), kind, &payload);
        let covered = if covers_all { payload.len() } else { payload.len().min(COVERED_LEN) };
        let mut place = place.index(HEADER_LEN + covered + TAG_LEN);
        if place >= HEADER_LEN + covered {
            place += payload.len() - covered;
        }
        let mut spoiled = sound.clone();
        spoiled[place] ^= 1 << bit;
        let mut opener = opener(4);
        prop_assert!(opener.open(&spoiled).is_err(), "bit {bit} of byte {place}");
        let (header, opened) = opener.open(&sound).unwrap();
        prop_assert_eq!(header.kind, kind);
        prop_assert_eq!(opened, &payload[..]);
    }
}

proptest! {
    #![proptest_config(seeded(300))]

    /// Guards against repeated datagrams that are taken twice, and fresh ones that are dropped
    /// though they are within the window.
    #[test]
    fn counters_are_taken_once_within_the_window(
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
            let is_fresh = !seen[counter as usize] && number + WINDOW > highest;
            let opened = opener.open(&datagrams[counter as usize - 1]);
            prop_assert_eq!(opened.is_ok(), is_fresh, "{} after {}", number, highest);
            seen[counter as usize] = true;
            highest = highest.max(number);
        }
    }
}

/// Guards against a repeated datagram that counts as fresh because the window has moved on.
#[test]
fn repeated_counter_is_refused_at_every_distance() {
    const DATAGRAMS: usize = 1_300;
    let mut sealer = sealer(1);
    let mut opener = opener(1);
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for _ in 0..DATAGRAMS {
        datagrams.push(seal(&mut sealer, DatagramKind::Ping, &[]));
        let newest = datagrams.len();
        assert!(opener.open(&datagrams[newest - 1]).is_ok());
        for (index, datagram) in datagrams.iter().enumerate() {
            let repeated = opener.open(datagram);
            assert!(repeated.is_err(), "{} after {newest}", index + 1);
        }
    }
}

/// Guards against memory that grows with every sender, and a flood that makes the receiver forget
/// the senders that it hears.
#[test]
fn full_sender_table_forgets_the_oldest() {
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
    assert!(opener.open(&datagrams[0]).is_ok(), "more senders than room");
}

/// Guards against strangers that fill the table without the key.
#[test]
fn forged_datagrams_take_no_room() {
    let mut opener = opener(1);
    let sound = seal(&mut sealer(1), DatagramKind::Ping, &[]);
    assert!(opener.open(&sound).is_ok());
    for sender in 2..100 {
        let stranger = TunnelKey::new(&[4; 32]);
        let forged = seal(
            &mut TunnelSealer::new(&stranger, sender),
            DatagramKind::Ping,
            &[],
        );
        assert_eq!(opener.open(&forged).unwrap_err(), OpenError::Forged);
    }
    let replayed = OpenError::Replayed { counter: 1 };
    assert_eq!(opener.open(&sound).unwrap_err(), replayed);
}
