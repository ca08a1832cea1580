//! Stateless resets (RFC 9000, section 10.3).

use carobdrum_core::{
    connection::FlowId,
    version::{
        KeyRing,
        RESET_TOKEN_LEN, //
    },
};
use rand::Rng;

/// Maximum length of a reset, at which it still looks like a short data packet.
const MAX_LEN: usize = 42;
/// Minimum length of a reset that callers accept.
const MIN_LEN: usize = 21;
const FIXED_BIT: u8 = 0x40;

/// Builds the reset of a flow in response to a packet of `trigger_len` bytes.
///
/// Returns `None` for a short packet: a reset must be shorter than the packet that triggers it, so
/// that two endpoints don't answer each other's resets endlessly.
pub(crate) fn reset_packet(
    keys: &KeyRing,
    flow: &FlowId,
    trigger_len: usize,
    random: &mut impl Rng,
) -> Option<Vec<u8>> {
    let len = trigger_len.saturating_sub(1).min(MAX_LEN);
    if len < MIN_LEN {
        return None;
    }
    let token = keys.reset_token(flow)?;
    let mut packet = vec![0; len];
    random.fill(&mut packet[..len - RESET_TOKEN_LEN]);
    packet[0] = (packet[0] & 0x3f) | FIXED_BIT;
    packet[len - RESET_TOKEN_LEN..].copy_from_slice(&token);
    Some(packet)
}
