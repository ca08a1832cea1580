//! What a flow tracker knows of a flow whose packets may be sent again.

use carobdrum_core::Millis;

/// Terms under which packets of a flow may be sent to the caller again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyTerms {
    /// Whether the caller has continued the flow at this server.
    pub is_open: bool,
    /// Time up to which the acceptance may be sent again, because no other server can have got an
    /// opening packet.
    pub accept_until: Millis,
}
