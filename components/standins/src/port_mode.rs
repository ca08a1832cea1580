//! How a port handles connections.

/// How a port handles connections; a change closes those that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PortMode {
    /// Connections are accepted and served.
    #[default]
    Open,
    /// The kernel refuses connections, as for a server that is down.
    Refusing,
    /// Connections are accepted and closed at once.
    Closing,
    /// The port is closed for good; no mode set later has an effect.
    Stopped,
}
