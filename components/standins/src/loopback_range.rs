//! Ranges of loopback addresses for tests that run at the same time.

use std::net::{
    Ipv4Addr,
    SocketAddrV4,
    TcpListener, //
};

use snafu::ResultExt;

use crate::{
    standin_error::BindSnafu,
    StandinError, //
};

/// Number of second octets that can be claimed, from 1.
const OCTETS: u8 = 254;
/// Third and fourth octet of the address at which a claim listens.
const CLAIM_HOST: [u8; 2] = [255, 254];
/// Port at which a claim listens.
const CLAIM_PORT: u16 = 7_999;

/// The addresses `127.N.x.y` with one second octet N, which no other process or test has as long as
/// they claim theirs, too. Dropping it ends the claim.
#[derive(Debug)]
pub struct LoopbackRange {
    octet: u8,
    _claim: TcpListener,
}

impl LoopbackRange {
    /// Claims the range with the second octet `preferred`, or else the next one that is free.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if no range is free.
    pub fn claim(preferred: u8) -> Result<LoopbackRange, StandinError> {
        let mut octet = preferred.clamp(1, OCTETS);
        let mut claimed = claim_octet(octet);
        for _ in 1..OCTETS {
            if claimed.is_ok() {
                break;
            }
            octet = octet % OCTETS + 1;
            claimed = claim_octet(octet);
        }
        claimed
    }

    /// Returns the second octet of the addresses.
    pub fn octet(&self) -> u8 {
        self.octet
    }

    /// Keeps the claim until the process ends and returns the second octet; for users whose sockets
    /// may be open after they are dropped.
    pub fn keep(self) -> u8 {
        let octet = self.octet;
        std::mem::forget(self);
        octet
    }
}

fn claim_octet(octet: u8) -> Result<LoopbackRange, StandinError> {
    let [third, fourth] = CLAIM_HOST;
    let address = SocketAddrV4::new(Ipv4Addr::new(127, octet, third, fourth), CLAIM_PORT);
    let _claim = TcpListener::bind(address).context(BindSnafu { address })?;
    Ok(LoopbackRange { octet, _claim })
}
