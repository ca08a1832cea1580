//! What a port does with connections.

/// What a port does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PortMode {
    /// Connections are accepted and served.
    #[default]
    Open,
    /// Connections are refused, and established ones are closed.
    Refusing,
    /// Connections are accepted and closed at once, and established ones are closed.
    Closing,
    /// The port is given up for good.
    Stopped,
}
