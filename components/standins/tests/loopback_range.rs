//! Claims of loopback addresses.

use carobdrum_standins::LoopbackRange;

/// Guards against two tests with the same addresses, and against a claim that outlives its test.
#[test]
fn a_claimed_range_is_not_given_twice() {
    // Another run of this test at the same time should start elsewhere.
    let preferred = 225 + (std::process::id() % 25) as u8;
    let first = LoopbackRange::claim(preferred).unwrap();
    let second = LoopbackRange::claim(first.octet()).unwrap();
    let third = LoopbackRange::claim(second.octet()).unwrap();
    assert_ne!(first.octet(), second.octet());
    assert_ne!(second.octet(), third.octet());
    assert_ne!(first.octet(), third.octet());
    let octet = second.octet();
    drop(second);
    let again = LoopbackRange::claim(octet).unwrap();
    assert_eq!(again.octet(), octet);
}
